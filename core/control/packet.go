package control

import (
	"papayaquay/core/config"
	"papayaquay/core/ledger"
	"papayaquay/core/member"
)

// Packet is everything that one tick sends to one instance.
type Packet struct {
	from           string
	to             string
	address        string
	memberMessages []member.Message
	ledgerMessages []ledger.Message
	calls          []ForwardedCall
	responses      []CallResponse
	configPulls    []ConfigPull
	configUpdates  []ConfigUpdate
	loadReports    []LoadReport
	crashCounts    []CrashCount
	newItems       bool
}

// PacketOption sets the content of a packet.
type PacketOption func(*Packet)

// WithMemberMessages sets the membership messages.
func WithMemberMessages(messages []member.Message) PacketOption {
	return func(p *Packet) { p.memberMessages = messages }
}

// WithLedgerMessages sets the messages between replicas.
func WithLedgerMessages(messages []ledger.Message) PacketOption {
	return func(p *Packet) { p.ledgerMessages = messages }
}

// WithCalls sets forwarded calls and answers to such.
func WithCalls(calls []ForwardedCall, answers []CallResponse) PacketOption {
	return func(p *Packet) { p.calls, p.responses = calls, answers }
}

// WithConfig sets configuration pulls and their answers.
func WithConfig(pulls []ConfigPull, pushes []ConfigUpdate) PacketOption {
	return func(p *Packet) { p.configPulls, p.configUpdates = pulls, pushes }
}

// WithLoadReports sets reports of online load.
func WithLoadReports(demands []LoadReport) PacketOption {
	return func(p *Packet) { p.loadReports = demands }
}

// WithCrashCounts sets crash counts of fingerprints.
func WithCrashCounts(spread []CrashCount) PacketOption {
	return func(p *Packet) { p.crashCounts = spread }
}

// WithNewItems tells batch runners that a home ledger has new items.
func WithNewItems(work bool) PacketOption { return func(p *Packet) { p.newItems = work } }

// NewPacket returns a packet between two instances.
func NewPacket(from, to string, options ...PacketOption) Packet {
	p := Packet{from: from, to: to}
	for _, option := range options {
		option(&p)
	}
	return p
}

// From returns the sending instance.
func (p Packet) From() string { return p.from }

// To returns the receiving instance.
func (p Packet) To() string { return p.to }

// Address returns the receiver's peer address, set on packets to send.
func (p Packet) Address() string { return p.address }

// MemberMessages returns the membership messages.
func (p Packet) MemberMessages() []member.Message { return p.memberMessages }

// LedgerMessages returns the messages between replicas.
func (p Packet) LedgerMessages() []ledger.Message { return p.ledgerMessages }

// Calls returns the forwarded calls.
func (p Packet) Calls() []ForwardedCall { return p.calls }

// Responses returns the answers to forwarded calls.
func (p Packet) Responses() []CallResponse { return p.responses }

// ConfigPulls returns the configuration pulls.
func (p Packet) ConfigPulls() []ConfigPull { return p.configPulls }

// ConfigUpdates returns the answers to configuration pulls.
func (p Packet) ConfigUpdates() []ConfigUpdate { return p.configUpdates }

// LoadReports returns the reports of online load.
func (p Packet) LoadReports() []LoadReport { return p.loadReports }

// CrashCounts returns crash counts of fingerprints.
func (p Packet) CrashCounts() []CrashCount { return p.crashCounts }

// HasNewItems reports that a home ledger led by the sender has new items.
func (p Packet) HasNewItems() bool { return p.newItems }

// ForwardedCall is a call on its way to a leader.
type ForwardedCall struct {
	number uint64
	call   Call
}

// NewForwardedCall returns a call under the sender's number.
func NewForwardedCall(number uint64, call Call) ForwardedCall {
	return ForwardedCall{number: number, call: call}
}

// Number returns the sender's number of the call.
func (f ForwardedCall) Number() uint64 { return f.number }

// Call returns the call.
func (f ForwardedCall) Call() Call { return f.call }

// CallResponse answers a Forward.
type CallResponse struct {
	number   uint64
	redirect bool
	leader   string // where to ask instead, if known
	result   Result
}

// NewCallResponse returns the result of a forwarded call.
func NewCallResponse(number uint64, result Result) CallResponse {
	return CallResponse{number: number, result: result}
}

// NewRedirect answers a call that this instance cannot serve.
func NewRedirect(number uint64, leader string) CallResponse {
	return CallResponse{number: number, redirect: true, leader: leader}
}

// Number returns the number of the answered call.
func (b CallResponse) Number() uint64 { return b.number }

// Redirect reports that the call must be sent elsewhere.
func (b CallResponse) Redirect() bool { return b.redirect }

// Leader returns the instance to ask instead, if known.
func (b CallResponse) Leader() string { return b.leader }

// Result returns the result.
func (b CallResponse) Result() Result { return b.result }

// ConfigPull asks for the configuration after a revision.
type ConfigPull struct {
	number   uint64
	revision uint64
}

// NewConfigPull returns a pull.
func NewConfigPull(number, revision uint64) ConfigPull {
	return ConfigPull{number: number, revision: revision}
}

// Number returns the sender's number of the pull.
func (p ConfigPull) Number() uint64 { return p.number }

// Revision returns the revision that the sender has.
func (p ConfigPull) Revision() uint64 { return p.revision }

// ConfigUpdate answers a pull.
type ConfigUpdate struct {
	number   uint64
	revision uint64
	full     bool
	objects  []config.Object
}

// NewConfigUpdate returns the objects changed up to revision, or all if full.
func NewConfigUpdate(number, revision uint64, full bool, objects []config.Object) ConfigUpdate {
	return ConfigUpdate{number: number, revision: revision, full: full, objects: objects}
}

// Number returns the number of the answered pull.
func (p ConfigUpdate) Number() uint64 { return p.number }

// Revision returns the revision that the objects lead to.
func (p ConfigUpdate) Revision() uint64 { return p.revision }

// Full reports that Objects is the whole configuration.
func (p ConfigUpdate) Full() bool { return p.full }

// Objects returns the changed objects.
func (p ConfigUpdate) Objects() []config.Object { return p.objects }

// LoadReport reports how many online requests an instance runs on a backend server.
type LoadReport struct {
	backend string
	online  int
}

// NewLoadReport returns a report.
func NewLoadReport(backend string, online int) LoadReport {
	return LoadReport{backend: backend, online: online}
}

// Backend returns the backend server.
func (d LoadReport) Backend() string { return d.backend }

// Online returns the number of running online requests.
func (d LoadReport) Online() int { return d.online }

// CrashCount is the crash count of a content fingerprint.
type CrashCount struct {
	fingerprint uint64
	crashes     int
}

// NewCrashCount returns a crash count.
func NewCrashCount(fingerprint uint64, crashes int) CrashCount {
	return CrashCount{fingerprint: fingerprint, crashes: crashes}
}

// Fingerprint returns the content fingerprint.
func (s CrashCount) Fingerprint() uint64 { return s.fingerprint }

// Crashes returns how many backend servers were lost while they ran it.
func (s CrashCount) Crashes() int { return s.crashes }
