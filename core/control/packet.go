package control

import (
	"papayaquay/core/config"
	"papayaquay/core/ledger"
	"papayaquay/core/member"
)

// Packet holds all messages that one tick sends to one instance.
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
	loads          []LoadReport
	crashes        []CrashCount
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

// WithCalls sets forwarded calls and responses to forwarded calls.
func WithCalls(calls []ForwardedCall, responses []CallResponse) PacketOption {
	return func(p *Packet) { p.calls, p.responses = calls, responses }
}

// WithConfig sets configuration pulls and configuration updates.
func WithConfig(pulls []ConfigPull, updates []ConfigUpdate) PacketOption {
	return func(p *Packet) { p.configPulls, p.configUpdates = pulls, updates }
}

// WithLoadReports sets reports of online load.
func WithLoadReports(reports []LoadReport) PacketOption { return func(p *Packet) { p.loads = reports } }

// WithCrashCounts sets the crash counts of fingerprints.
func WithCrashCounts(counts []CrashCount) PacketOption { return func(p *Packet) { p.crashes = counts } }

// WithNewItems sets whether a home ledger led by the sender has new items.
func WithNewItems(newItems bool) PacketOption { return func(p *Packet) { p.newItems = newItems } }

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

// Address returns the receiver's peer address. It is set only on packets to send.
func (p Packet) Address() string { return p.address }

// MemberMessages returns the membership messages.
func (p Packet) MemberMessages() []member.Message { return p.memberMessages }

// LedgerMessages returns the messages between replicas.
func (p Packet) LedgerMessages() []ledger.Message { return p.ledgerMessages }

// Calls returns the forwarded calls.
func (p Packet) Calls() []ForwardedCall { return p.calls }

// Responses returns the responses to forwarded calls.
func (p Packet) Responses() []CallResponse { return p.responses }

// ConfigPulls returns the configuration pulls.
func (p Packet) ConfigPulls() []ConfigPull { return p.configPulls }

// ConfigUpdates returns the responses to configuration pulls.
func (p Packet) ConfigUpdates() []ConfigUpdate { return p.configUpdates }

// LoadReports returns the reports of online load.
func (p Packet) LoadReports() []LoadReport { return p.loads }

// CrashCounts returns the crash counts of fingerprints.
func (p Packet) CrashCounts() []CrashCount { return p.crashes }

// HasNewItems reports whether a home ledger led by the sender has new items.
func (p Packet) HasNewItems() bool { return p.newItems }

// ForwardedCall is a call that an instance forwards to another instance.
type ForwardedCall struct {
	number uint64
	call   Call
}

// NewForwardedCall returns a call with the sender's number n.
func NewForwardedCall(n uint64, call Call) ForwardedCall { return ForwardedCall{number: n, call: call} }

// Number returns the sender's number of the call.
func (f ForwardedCall) Number() uint64 { return f.number }

// Call returns the call.
func (f ForwardedCall) Call() Call { return f.call }

// CallResponse is the response to a ForwardedCall: a result or a redirect.
type CallResponse struct {
	number   uint64
	redirect bool
	leader   string // leader of the ledger, if known
	result   Result
}

// NewCallResponse returns a response with the result of a forwarded call.
func NewCallResponse(number uint64, result Result) CallResponse {
	return CallResponse{number: number, result: result}
}

// NewRedirect returns the response of an instance that is not the leader. leader is
// the known leader or the empty string.
func NewRedirect(number uint64, leader string) CallResponse {
	return CallResponse{number: number, redirect: true, leader: leader}
}

// Number returns the sender's number of the forwarded call.
func (r CallResponse) Number() uint64 { return r.number }

// Redirect reports whether the call must be sent to another instance.
func (r CallResponse) Redirect() bool { return r.redirect }

// Leader returns the known leader of a redirect, or the empty string.
func (r CallResponse) Leader() string { return r.leader }

// Result returns the result, unless the response is a redirect.
func (r CallResponse) Result() Result { return r.result }

// ConfigPull requests the configuration changes after a revision.
type ConfigPull struct {
	number   uint64
	revision uint64
}

// NewConfigPull returns a pull with the sender's number n. revision is the revision
// that the sender has.
func NewConfigPull(n, revision uint64) ConfigPull { return ConfigPull{number: n, revision: revision} }

// Number returns the sender's number of the pull.
func (p ConfigPull) Number() uint64 { return p.number }

// Revision returns the revision that the sender has.
func (p ConfigPull) Revision() uint64 { return p.revision }

// ConfigUpdate is the response to a ConfigPull.
type ConfigUpdate struct {
	number   uint64
	revision uint64
	full     bool
	objects  []config.Object
}

// NewConfigUpdate returns an update to revision. objects holds the changed objects,
// or all objects if full is set.
func NewConfigUpdate(number, revision uint64, full bool, objects []config.Object) ConfigUpdate {
	return ConfigUpdate{number: number, revision: revision, full: full, objects: objects}
}

// Number returns the sender's number of the pull.
func (p ConfigUpdate) Number() uint64 { return p.number }

// Revision returns the revision of the configuration after the update.
func (p ConfigUpdate) Revision() uint64 { return p.revision }

// Full reports whether Objects returns the whole configuration.
func (p ConfigUpdate) Full() bool { return p.full }

// Objects returns the changed objects, or all objects of a full update.
func (p ConfigUpdate) Objects() []config.Object { return p.objects }

// LoadReport is the number of online requests that an instance runs on a backend
// server.
type LoadReport struct {
	backend string
	online  int
}

// NewLoadReport returns a report of n running online requests.
func NewLoadReport(backend string, n int) LoadReport { return LoadReport{backend: backend, online: n} }

// Backend returns the id of the backend server.
func (d LoadReport) Backend() string { return d.backend }

// OnlineRequests returns the number of running online requests.
func (d LoadReport) OnlineRequests() int { return d.online }

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

// Crashes returns how many backend servers were lost while they ran a request with
// this content.
func (s CrashCount) Crashes() int { return s.crashes }
