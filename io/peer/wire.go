package peer

import (
	"time"

	"papayaquay/core/config"
	"papayaquay/core/control"
	"papayaquay/core/home"
	"papayaquay/core/ledger"
	"papayaquay/core/member"
	"papayaquay/core/outcome"
	"papayaquay/io/record"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// packet is the wire format of control.Packet.
type packet struct {
	From           string          `cbor:"1,keyasint"`
	To             string          `cbor:"2,keyasint"`
	MemberMessages []memberMessage `cbor:"3,keyasint,omitempty"`
	LedgerMessages []ledgerMessage `cbor:"4,keyasint,omitempty"`
	Calls          []forwardedCall `cbor:"5,keyasint,omitempty"`
	Responses      []callResponse  `cbor:"6,keyasint,omitempty"`
	ConfigPulls    []configPull    `cbor:"7,keyasint,omitempty"`
	ConfigUpdates  []configUpdate  `cbor:"8,keyasint,omitempty"`
	LoadReports    []loadReport    `cbor:"9,keyasint,omitempty"`
	CrashCounts    []crashCount    `cbor:"10,keyasint,omitempty"`
	HasNewItems    bool            `cbor:"11,keyasint,omitempty"`
}

// configPull is the wire format of control.ConfigPull.
type configPull struct {
	_        struct{} `cbor:",toarray"`
	Number   uint64
	Revision uint64
}

// configUpdate is the wire format of control.ConfigUpdate.
type configUpdate struct {
	_        struct{} `cbor:",toarray"`
	Number   uint64
	Revision uint64
	Full     bool
	Objects  []record.Object
}

// loadReport is the wire format of control.LoadReport.
type loadReport struct {
	_       struct{} `cbor:",toarray"`
	Backend string
	Online  int
}

// crashCount is the wire format of control.CrashCount.
type crashCount struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint uint64
	Crashes     int
}

// Encode encodes a packet. It returns ErrFrameTooLarge for one that no other instance would receive.
func Encode(p control.Packet) ([]byte, error) {
	wire := packet{From: p.From(), To: p.To(), HasNewItems: p.HasNewItems()}
	for _, m := range p.MemberMessages() {
		wire.MemberMessages = append(wire.MemberMessages, toMember(m))
	}
	for _, m := range p.LedgerMessages() {
		wire.LedgerMessages = append(wire.LedgerMessages, toLedger(m))
	}
	for _, c := range p.Calls() {
		call, err := toForwardedCall(c)
		if err != nil {
			return nil, err
		}
		wire.Calls = append(wire.Calls, call)
	}
	for _, r := range p.Responses() {
		wire.Responses = append(wire.Responses, toCallResponse(r))
	}
	for _, x := range p.ConfigPulls() {
		wire.ConfigPulls = append(wire.ConfigPulls, configPull{Number: x.Number(), Revision: x.Revision()})
	}
	for _, x := range p.ConfigUpdates() {
		wire.ConfigUpdates = append(wire.ConfigUpdates, configUpdate{Number: x.Number(), Revision: x.Revision(), Full: x.Full(), Objects: record.ToObjects(x.Objects())})
	}
	for _, report := range p.LoadReports() {
		wire.LoadReports = append(wire.LoadReports, loadReport{Backend: report.Backend(), Online: report.OnlineRequests()})
	}
	for _, count := range p.CrashCounts() {
		wire.CrashCounts = append(wire.CrashCounts, crashCount{Fingerprint: count.Fingerprint(), Crashes: count.Crashes()})
	}
	data, err := cbor.Marshal(wire)
	if err != nil {
		return nil, errors.Wrap(err, "encode packet")
	}
	return data, checkSize(data)
}

// Decode is the inverse of Encode. It adds the remaining time of each call to now,
// which gives its deadline on this instance's clock.
func Decode(data []byte, now time.Time) (control.Packet, error) {
	var wire packet
	if err := record.Decode(data, &wire); err != nil {
		return control.Packet{}, err
	}
	members := make([]member.Message, 0, len(wire.MemberMessages))
	for _, m := range wire.MemberMessages {
		members = append(members, m.message(wire.From, wire.To))
	}
	ledgers := make([]ledger.Message, 0, len(wire.LedgerMessages))
	for _, m := range wire.LedgerMessages {
		ledgers = append(ledgers, m.message(wire.From, wire.To))
	}
	calls := make([]control.ForwardedCall, 0, len(wire.Calls))
	for _, c := range wire.Calls {
		call, err := c.call(now)
		if err != nil {
			return control.Packet{}, err
		}
		calls = append(calls, call)
	}
	responses := make([]control.CallResponse, 0, len(wire.Responses))
	for _, r := range wire.Responses {
		responses = append(responses, r.response())
	}
	return control.NewPacket(wire.From, wire.To, control.WithMemberMessages(members), control.WithLedgerMessages(ledgers),
		control.WithCalls(calls, responses), wire.configOption(), wire.loadReportsOption(), wire.crashCountsOption(), control.WithNewItems(wire.HasNewItems)), nil
}

// PacketHandler returns a function for NewServer that decodes packets for the
// control world of the named instance and passes them to deliver. The function
// returns ErrMisdirected for a packet with another sender or receiver, and ErrUnreadable for one
// that cannot be decoded.
func PacketHandler(name string, deliver func(control.Packet)) func(from string, data []byte) error {
	return func(from string, data []byte) error {
		p, err := Decode(data, time.Now())
		if err != nil {
			return errors.Wrapf(ErrUnreadable, "%v", err)
		}
		if p.From() != from || p.To() != name {
			return errors.Wrapf(ErrMisdirected, "from %s to %s", p.From(), p.To())
		}
		deliver(p)
		return nil
	}
}

// configOption returns the configuration pulls and updates of a packet.
func (p packet) configOption() control.PacketOption {
	var pulls []control.ConfigPull
	for _, x := range p.ConfigPulls {
		pulls = append(pulls, control.NewConfigPull(x.Number, x.Revision))
	}
	var updates []control.ConfigUpdate
	for _, x := range p.ConfigUpdates {
		updates = append(updates, control.NewConfigUpdate(x.Number, x.Revision, x.Full, record.Objects(x.Objects)))
	}
	return control.WithConfig(pulls, updates)
}

// loadReportsOption returns the load reports of a packet.
func (p packet) loadReportsOption() control.PacketOption {
	var reports []control.LoadReport
	for _, r := range p.LoadReports {
		reports = append(reports, control.NewLoadReport(r.Backend, r.Online))
	}
	return control.WithLoadReports(reports)
}

// crashCountsOption returns the crash counts of a packet.
func (p packet) crashCountsOption() control.PacketOption {
	var counts []control.CrashCount
	for _, c := range p.CrashCounts {
		counts = append(counts, control.NewCrashCount(c.Fingerprint, c.Crashes))
	}
	return control.WithCrashCounts(counts)
}

// forwardedCall is the wire format of control.ForwardedCall. RemainingMillis is the
// time until the deadline in milliseconds. A remaining time does not depend on the
// clocks of both instances, which may differ.
type forwardedCall struct {
	Number          uint64     `cbor:"1,keyasint"`
	Kind            uint8      `cbor:"2,keyasint"`
	Ledger          string     `cbor:"3,keyasint"`
	RemainingMillis int64      `cbor:"4,keyasint"`
	Command         []byte     `cbor:"5,keyasint,omitempty"`
	Change          []byte     `cbor:"6,keyasint,omitempty"`
	Key             record.Key `cbor:"7,keyasint"`
	Claimant        string     `cbor:"8,keyasint,omitempty"`
	Wait            bool       `cbor:"9,keyasint,omitempty"`
	From            int        `cbor:"10,keyasint,omitempty"`
	Limit           int        `cbor:"11,keyasint,omitempty"`
}

// toForwardedCall returns the wire format of a forwarded call.
func toForwardedCall(f control.ForwardedCall) (forwardedCall, error) {
	c := f.Call()
	wire := forwardedCall{Number: f.Number(), Kind: uint8(c.Kind()), Ledger: string(c.Ledger()),
		RemainingMillis: time.Until(c.Deadline()).Milliseconds(), Key: record.ToKey(c.Key()), Claimant: c.Claimant(),
		Wait: c.Wait(), From: c.From(), Limit: c.Limit()}
	var err error
	switch c.Kind() {
	case control.CallApply:
		wire.Command, err = record.EncodeCommand(c.Command())
	case control.CallChange:
		wire.Change, err = record.EncodeChange(c.Change())
	}
	return wire, err
}

// call returns the forwarded call.
func (c forwardedCall) call(now time.Time) (control.ForwardedCall, error) {
	var command home.Command
	var change config.Change
	var err error
	if len(c.Command) > 0 {
		if command, err = record.DecodeCommand(c.Command); err != nil {
			return control.ForwardedCall{}, err
		}
	}
	if len(c.Change) > 0 {
		if change, err = record.DecodeChange(c.Change); err != nil {
			return control.ForwardedCall{}, err
		}
	}
	deadline := now.Add(time.Duration(c.RemainingMillis) * time.Millisecond)
	call := control.NewCall(control.CallKind(c.Kind), ledger.ID(c.Ledger), deadline,
		control.WithCommand(command), control.WithChange(change), control.WithKey(c.Key.Key()),
		control.WithClaimant(c.Claimant, c.Wait), control.WithPage(c.From, c.Limit))
	return control.NewForwardedCall(c.Number, call), nil
}

// callResponse is the wire format of control.CallResponse.
type callResponse struct {
	Number         uint64         `cbor:"1,keyasint"`
	Redirect       bool           `cbor:"2,keyasint,omitempty"`
	Leader         string         `cbor:"3,keyasint,omitempty"`
	Error          string         `cbor:"4,keyasint,omitempty"`
	Reply          *reply         `cbor:"5,keyasint,omitempty"`
	Applied        bool           `cbor:"6,keyasint,omitempty"`
	Revision       uint64         `cbor:"7,keyasint,omitempty"`
	Reason         string         `cbor:"8,keyasint,omitempty"`
	Events         []record.Event `cbor:"9,keyasint,omitempty"`
	ClaimedByOther bool           `cbor:"10,keyasint,omitempty"`
}

// toCallResponse returns the wire format of the response to a call.
func toCallResponse(response control.CallResponse) callResponse {
	if response.Redirect() {
		return callResponse{Number: response.Number(), Redirect: true, Leader: response.Leader()}
	}
	r := response.Result()
	wire := callResponse{Number: response.Number(), Applied: r.ChangeResult().Applied(), Revision: r.ChangeResult().Revision(),
		Reason: r.ChangeResult().Reason(), Events: record.ToEvents(r.Events()), ClaimedByOther: r.ClaimedByOther()}
	if r.Err() != nil {
		wire.Error = r.Err().Error()
	}
	if r.Reply().Code() != 0 || r.Reply().Reason() != "" {
		wire.Reply = toReply(r.Reply())
	}
	return wire
}

// response returns the response to a call.
func (r callResponse) response() control.CallResponse {
	if r.Redirect {
		return control.NewRedirect(r.Number, r.Leader)
	}
	options := []control.ResultOption{
		control.WithChangeResult(config.NewChangeResult(r.Applied, r.Revision, r.Reason)),
		control.WithEvents(record.Events(r.Events)), control.WithClaimedByOther(r.ClaimedByOther),
	}
	if r.Reply != nil {
		options = append(options, control.WithReply(r.Reply.reply()))
	}
	return control.NewCallResponse(r.Number, control.NewResult(remoteError(r.Error), options...))
}

// remoteError returns the outcome error with the given text, another error if
// there is none, and nil for an empty text.
func remoteError(text string) error {
	if text == "" {
		return nil
	}
	for _, err := range []error{outcome.ErrTimeout, outcome.ErrNotFound, outcome.ErrInvalid, outcome.ErrRetryLater} {
		if err.Error() == text {
			return err
		}
	}
	return errors.Newf("remote: %s", text)
}

// leasedItem is the wire format of home.LeasedItem.
type leasedItem struct {
	_       struct{} `cbor:",toarray"`
	Job     record.Key
	Index   int
	Service string
	Once    bool // run at most once
	Item    record.Item
}

// jobStatus is the wire format of home.JobStatus.
type jobStatus struct {
	_         struct{} `cbor:",toarray"`
	Key       record.Key
	Service   string
	Total     int
	Received  int
	Leased    int
	Done      int
	Failed    int
	Cancelled bool
}

// reply is the wire format of home.Reply.
type reply struct {
	Code      uint8               `cbor:"1,keyasint"`
	Reason    string              `cbor:"2,keyasint,omitempty"`
	Answer    *record.Answer      `cbor:"3,keyasint,omitempty"`
	Status    *jobStatus          `cbor:"4,keyasint,omitempty"`
	Leased    []leasedItem        `cbor:"5,keyasint,omitempty"`
	Cancelled []record.Key        `cbor:"6,keyasint,omitempty"`
	Results   []record.Completion `cbor:"7,keyasint,omitempty"`
	Count     int                 `cbor:"8,keyasint,omitempty"`
}

// toReply returns the wire format of a home ledger's reply.
func toReply(r home.Reply) *reply {
	wire := &reply{Code: uint8(r.Code()), Reason: r.Reason(), Results: record.ToCompletions(r.Results()), Count: r.Count()}
	if r.Answer().Code() != outcome.Pending {
		answer := record.ToAnswer(r.Answer())
		wire.Answer = &answer
	}
	if s := r.Status(); s.Total() > 0 {
		wire.Status = &jobStatus{Key: record.ToKey(s.Key()), Service: s.Service(), Total: s.Total(), Received: s.Received(),
			Leased: s.Leased(), Done: s.Done(), Failed: s.Failed(), Cancelled: s.Cancelled()}
	}
	for _, l := range r.Leased() {
		wire.Leased = append(wire.Leased, leasedItem{Job: record.ToKey(l.Job()), Index: l.Index(), Service: l.Service(),
			Once: l.AtMostOnce(), Item: record.Item{Prompt: l.Item().Prompt(), MaxTokens: l.Item().MaxTokens()}})
	}
	for _, k := range r.Cancelled() {
		wire.Cancelled = append(wire.Cancelled, record.ToKey(k))
	}
	return wire
}

// reply returns the home ledger's reply.
func (r reply) reply() home.Reply {
	options := []home.ReplyOption{home.WithResults(record.Completions(r.Results)), home.WithCount(r.Count)}
	if r.Answer != nil {
		options = append(options, home.WithStoredAnswer(r.Answer.Answer()))
	}
	if s := r.Status; s != nil {
		options = append(options, home.WithStatus(home.NewJobStatus(s.Key.Key(), s.Service, s.Total, s.Received,
			s.Leased, s.Done, s.Failed, s.Cancelled)))
	}
	var items []home.LeasedItem
	for _, l := range r.Leased {
		items = append(items, home.NewLeasedItem(l.Job.Key(), l.Index, l.Service, l.Once, home.NewItem(l.Item.Prompt, l.Item.MaxTokens)))
	}
	var cancelled []home.Key
	for _, k := range r.Cancelled {
		cancelled = append(cancelled, k.Key())
	}
	return home.NewReply(outcome.Code(r.Code), r.Reason, append(options, home.WithLeased(items), home.WithCancelled(cancelled))...)
}
