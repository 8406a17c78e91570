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

// packet is the wire form of control.Packet.
type packet struct {
	From       string          `cbor:"1,keyasint"`
	To         string          `cbor:"2,keyasint"`
	Members    []memberMessage `cbor:"3,keyasint,omitempty"`
	Ledgers    []ledgerMessage `cbor:"4,keyasint,omitempty"`
	Calls      []forward       `cbor:"5,keyasint,omitempty"`
	Answers    []backward      `cbor:"6,keyasint,omitempty"`
	Pulls      []pull          `cbor:"7,keyasint,omitempty"`
	Pushes     []push          `cbor:"8,keyasint,omitempty"`
	Demands    []demand        `cbor:"9,keyasint,omitempty"`
	Suspicions []suspicion     `cbor:"10,keyasint,omitempty"`
	Work       bool            `cbor:"11,keyasint,omitempty"`
}

// pull is the wire form of control.ConfigPull.
type pull struct {
	_        struct{} `cbor:",toarray"`
	Number   uint64
	Revision uint64
}

// push is the wire form of control.ConfigUpdate.
type push struct {
	_        struct{} `cbor:",toarray"`
	Number   uint64
	Revision uint64
	Full     bool
	Objects  []record.Object
}

// demand is the wire form of control.LoadReport.
type demand struct {
	_       struct{} `cbor:",toarray"`
	Backend string
	Online  int
}

// suspicion is the wire form of control.CrashCount.
type suspicion struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint uint64
	Crashes     int
}

// Encode encodes a packet.
func Encode(p control.Packet) ([]byte, error) {
	wire := packet{From: p.From(), To: p.To(), Work: p.HasNewItems()}
	for _, m := range p.MemberMessages() {
		wire.Members = append(wire.Members, toMember(m))
	}
	for _, m := range p.LedgerMessages() {
		wire.Ledgers = append(wire.Ledgers, toLedger(m))
	}
	for _, f := range p.Calls() {
		call, err := toCall(f)
		if err != nil {
			return nil, err
		}
		wire.Calls = append(wire.Calls, call)
	}
	for _, b := range p.Responses() {
		wire.Answers = append(wire.Answers, toBackward(b))
	}
	for _, x := range p.ConfigPulls() {
		wire.Pulls = append(wire.Pulls, pull{Number: x.Number(), Revision: x.Revision()})
	}
	for _, x := range p.ConfigUpdates() {
		wire.Pushes = append(wire.Pushes, push{Number: x.Number(), Revision: x.Revision(), Full: x.Full(), Objects: record.ToObjects(x.Objects())})
	}
	for _, d := range p.LoadReports() {
		wire.Demands = append(wire.Demands, demand{Backend: d.Backend(), Online: d.Online()})
	}
	for _, s := range p.CrashCounts() {
		wire.Suspicions = append(wire.Suspicions, suspicion{Fingerprint: s.Fingerprint(), Crashes: s.Crashes()})
	}
	data, err := cbor.Marshal(wire)
	return data, errors.Wrap(err, "encode packet")
}

// Decode is the inverse of Encode. now turns the time that a call has left
// into a deadline on this instance's clock.
func Decode(data []byte, now time.Time) (control.Packet, error) {
	var wire packet
	if err := record.Decode(data, &wire); err != nil {
		return control.Packet{}, err
	}
	members := make([]member.Message, 0, len(wire.Members))
	for _, m := range wire.Members {
		members = append(members, m.message(wire.From, wire.To))
	}
	ledgers := make([]ledger.Message, 0, len(wire.Ledgers))
	for _, m := range wire.Ledgers {
		ledgers = append(ledgers, m.message(wire.From, wire.To))
	}
	calls := make([]control.ForwardedCall, 0, len(wire.Calls))
	for _, c := range wire.Calls {
		call, err := c.forward(now)
		if err != nil {
			return control.Packet{}, err
		}
		calls = append(calls, call)
	}
	answers := make([]control.CallResponse, 0, len(wire.Answers))
	for _, b := range wire.Answers {
		answers = append(answers, b.backward())
	}
	return control.NewPacket(wire.From, wire.To, control.WithMemberMessages(members), control.WithLedgerMessages(ledgers),
		control.WithCalls(calls, answers), wire.config(), wire.demands(), wire.suspicions(), control.WithNewItems(wire.Work)), nil
}

// PacketHandler returns a function for NewServer that decodes packets to the named
// instance of a control world.
func PacketHandler(name string, deliver func(control.Packet)) func(from string, data []byte) error {
	return func(from string, data []byte) error {
		p, err := Decode(data, time.Now())
		if err != nil {
			return err
		}
		if p.From() != from || p.To() != name {
			return errors.Wrapf(ErrMisdirected, "from %s to %s", p.From(), p.To())
		}
		deliver(p)
		return nil
	}
}

// config returns the configuration part of a packet.
func (p packet) config() control.PacketOption {
	var pulls []control.ConfigPull
	for _, x := range p.Pulls {
		pulls = append(pulls, control.NewConfigPull(x.Number, x.Revision))
	}
	var pushes []control.ConfigUpdate
	for _, x := range p.Pushes {
		pushes = append(pushes, control.NewConfigUpdate(x.Number, x.Revision, x.Full, record.Objects(x.Objects)))
	}
	return control.WithConfig(pulls, pushes)
}

// demands returns the reports of online load.
func (p packet) demands() control.PacketOption {
	var demands []control.LoadReport
	for _, d := range p.Demands {
		demands = append(demands, control.NewLoadReport(d.Backend, d.Online))
	}
	return control.WithLoadReports(demands)
}

// suspicions returns the crash counts.
func (p packet) suspicions() control.PacketOption {
	var spread []control.CrashCount
	for _, s := range p.Suspicions {
		spread = append(spread, control.NewCrashCount(s.Fingerprint, s.Crashes))
	}
	return control.WithCrashCounts(spread)
}

// forward is the wire form of control.ForwardedCall. The deadline travels as the
// milliseconds left.
type forward struct {
	Number   uint64     `cbor:"1,keyasint"`
	Kind     uint8      `cbor:"2,keyasint"`
	Ledger   string     `cbor:"3,keyasint"`
	Left     int64      `cbor:"4,keyasint"`
	Command  []byte     `cbor:"5,keyasint,omitempty"`
	Change   []byte     `cbor:"6,keyasint,omitempty"`
	Key      record.Key `cbor:"7,keyasint"`
	Claimant string     `cbor:"8,keyasint,omitempty"`
	Wait     bool       `cbor:"9,keyasint,omitempty"`
	From     int        `cbor:"10,keyasint,omitempty"`
	Limit    int        `cbor:"11,keyasint,omitempty"`
}

// toCall returns the wire form of a forwarded call.
func toCall(f control.ForwardedCall) (forward, error) {
	c := f.Call()
	wire := forward{Number: f.Number(), Kind: uint8(c.Kind()), Ledger: string(c.Ledger()),
		Left: time.Until(c.Deadline()).Milliseconds(), Key: record.ToKey(c.Key()), Claimant: c.Claimant(),
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

// forward returns the call.
func (f forward) forward(now time.Time) (control.ForwardedCall, error) {
	var command home.Command
	var change config.Change
	var err error
	if len(f.Command) > 0 {
		if command, err = record.DecodeCommand(f.Command); err != nil {
			return control.ForwardedCall{}, err
		}
	}
	if len(f.Change) > 0 {
		if change, err = record.DecodeChange(f.Change); err != nil {
			return control.ForwardedCall{}, err
		}
	}
	deadline := now.Add(time.Duration(f.Left) * time.Millisecond)
	call := control.NewCall(control.CallKind(f.Kind), ledger.ID(f.Ledger), deadline,
		control.WithCommand(command), control.WithChange(change), control.WithKey(f.Key.Key()),
		control.WithClaimant(f.Claimant, f.Wait), control.WithPage(f.From, f.Limit))
	return control.NewForwardedCall(f.Number, call), nil
}

// backward is the wire form of control.CallResponse.
type backward struct {
	Number    uint64         `cbor:"1,keyasint"`
	Redirect  bool           `cbor:"2,keyasint,omitempty"`
	Leader    string         `cbor:"3,keyasint,omitempty"`
	Error     string         `cbor:"4,keyasint,omitempty"`
	Reply     *reply         `cbor:"5,keyasint,omitempty"`
	Applied   bool           `cbor:"6,keyasint,omitempty"`
	Revision  uint64         `cbor:"7,keyasint,omitempty"`
	Reason    string         `cbor:"8,keyasint,omitempty"`
	Events    []record.Event `cbor:"9,keyasint,omitempty"`
	Elsewhere bool           `cbor:"10,keyasint,omitempty"`
}

// toBackward returns the wire form of the answer to a call.
func toBackward(b control.CallResponse) backward {
	if b.Redirect() {
		return backward{Number: b.Number(), Redirect: true, Leader: b.Leader()}
	}
	r := b.Result()
	wire := backward{Number: b.Number(), Applied: r.ChangeResult().Applied(), Revision: r.ChangeResult().Revision(),
		Reason: r.ChangeResult().Reason(), Events: record.ToEvents(r.Events()), Elsewhere: r.ClaimedByOther()}
	if r.Err() != nil {
		wire.Error = r.Err().Error()
	}
	if r.Reply().Code() != 0 || r.Reply().Reason() != "" {
		wire.Reply = toReply(r.Reply())
	}
	return wire
}

// backward returns the answer to a call.
func (b backward) backward() control.CallResponse {
	if b.Redirect {
		return control.NewRedirect(b.Number, b.Leader)
	}
	options := []control.ResultOption{
		control.WithChangeResult(config.NewChangeResult(b.Applied, b.Revision, b.Reason)),
		control.WithEvents(record.Events(b.Events)), control.WithClaimedByOther(b.Elsewhere),
	}
	if b.Reply != nil {
		options = append(options, control.WithReply(b.Reply.reply()))
	}
	return control.NewCallResponse(b.Number, control.NewResult(sentinel(b.Error), options...))
}

// sentinel returns the outcome error with the given text, or a plain error.
func sentinel(text string) error {
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

// leased is the wire form of home.LeasedItem.
type leased struct {
	_       struct{} `cbor:",toarray"`
	Job     record.Key
	Index   int
	Service string
	Once    bool
	Item    record.Item
}

// status is the wire form of home.JobStatus.
type status struct {
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

// reply is the wire form of home.Reply.
type reply struct {
	Code      uint8               `cbor:"1,keyasint"`
	Reason    string              `cbor:"2,keyasint,omitempty"`
	Answer    *record.Answer      `cbor:"3,keyasint,omitempty"`
	Status    *status             `cbor:"4,keyasint,omitempty"`
	Leased    []leased            `cbor:"5,keyasint,omitempty"`
	Cancelled []record.Key        `cbor:"6,keyasint,omitempty"`
	Results   []record.Completion `cbor:"7,keyasint,omitempty"`
	Count     int                 `cbor:"8,keyasint,omitempty"`
}

// toReply returns the wire form of a home ledger's reply.
func toReply(r home.Reply) *reply {
	wire := &reply{Code: uint8(r.Code()), Reason: r.Reason(), Results: record.ToCompletions(r.Results()), Count: r.Count()}
	if r.Answer().Code() != outcome.Pending {
		answer := record.ToAnswer(r.Answer())
		wire.Answer = &answer
	}
	if s := r.Status(); s.Total() > 0 {
		wire.Status = &status{Key: record.ToKey(s.Key()), Service: s.Service(), Total: s.Total(), Received: s.Received(),
			Leased: s.Leased(), Done: s.Done(), Failed: s.Failed(), Cancelled: s.Cancelled()}
	}
	for _, l := range r.Leased() {
		wire.Leased = append(wire.Leased, leased{Job: record.ToKey(l.Job()), Index: l.Index(), Service: l.Service(),
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
