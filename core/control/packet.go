package control

import (
	"papayaquay/core/config"
	"papayaquay/core/ledger"
	"papayaquay/core/member"
)

// Packet is everything that one tick sends to one instance.
type Packet struct {
	from    string
	to      string
	address string
	members []member.Message
	ledgers []ledger.Message
	calls   []Forward
	answers []Backward
	pulls   []Pull
	pushes  []Push
	demands []Demand
	spread  []Suspicion
	work    bool
}

// PacketOption sets the content of a packet.
type PacketOption func(*Packet)

// WithMembers sets the membership messages.
func WithMembers(messages []member.Message) PacketOption {
	return func(p *Packet) { p.members = messages }
}

// WithLedgers sets the messages between replicas.
func WithLedgers(messages []ledger.Message) PacketOption {
	return func(p *Packet) { p.ledgers = messages }
}

// WithCalls sets forwarded calls and answers to such.
func WithCalls(calls []Forward, answers []Backward) PacketOption {
	return func(p *Packet) { p.calls, p.answers = calls, answers }
}

// WithConfig sets configuration pulls and their answers.
func WithConfig(pulls []Pull, pushes []Push) PacketOption {
	return func(p *Packet) { p.pulls, p.pushes = pulls, pushes }
}

// WithDemands sets reports of online load.
func WithDemands(demands []Demand) PacketOption { return func(p *Packet) { p.demands = demands } }

// WithSuspicions sets crash counts of fingerprints.
func WithSuspicions(spread []Suspicion) PacketOption { return func(p *Packet) { p.spread = spread } }

// WithWork tells batch runners that a home ledger has new items.
func WithWork(work bool) PacketOption { return func(p *Packet) { p.work = work } }

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

// Members returns the membership messages.
func (p Packet) Members() []member.Message { return p.members }

// Ledgers returns the messages between replicas.
func (p Packet) Ledgers() []ledger.Message { return p.ledgers }

// Calls returns the forwarded calls.
func (p Packet) Calls() []Forward { return p.calls }

// Answers returns the answers to forwarded calls.
func (p Packet) Answers() []Backward { return p.answers }

// Pulls returns the configuration pulls.
func (p Packet) Pulls() []Pull { return p.pulls }

// Pushes returns the answers to configuration pulls.
func (p Packet) Pushes() []Push { return p.pushes }

// Demands returns the reports of online load.
func (p Packet) Demands() []Demand { return p.demands }

// Suspicions returns crash counts of fingerprints.
func (p Packet) Suspicions() []Suspicion { return p.spread }

// Work reports that a home ledger led by the sender has new items.
func (p Packet) Work() bool { return p.work }

// Forward is a call on its way to a leader.
type Forward struct {
	number uint64
	call   Call
}

// NewForward returns a call under the sender's number.
func NewForward(number uint64, call Call) Forward { return Forward{number: number, call: call} }

// Number returns the sender's number of the call.
func (f Forward) Number() uint64 { return f.number }

// Call returns the call.
func (f Forward) Call() Call { return f.call }

// Backward answers a Forward.
type Backward struct {
	number   uint64
	redirect bool
	leader   string // where to ask instead, if known
	result   Result
}

// NewBackward returns the result of a forwarded call.
func NewBackward(number uint64, result Result) Backward {
	return Backward{number: number, result: result}
}

// NewRedirect answers a call that this instance cannot serve.
func NewRedirect(number uint64, leader string) Backward {
	return Backward{number: number, redirect: true, leader: leader}
}

// Number returns the number of the answered call.
func (b Backward) Number() uint64 { return b.number }

// Redirect reports that the call must be sent elsewhere.
func (b Backward) Redirect() bool { return b.redirect }

// Leader returns the instance to ask instead, if known.
func (b Backward) Leader() string { return b.leader }

// Result returns the result.
func (b Backward) Result() Result { return b.result }

// Pull asks for the configuration after a revision.
type Pull struct {
	number   uint64
	revision uint64
}

// NewPull returns a pull.
func NewPull(number, revision uint64) Pull { return Pull{number: number, revision: revision} }

// Number returns the sender's number of the pull.
func (p Pull) Number() uint64 { return p.number }

// Revision returns the revision that the sender has.
func (p Pull) Revision() uint64 { return p.revision }

// Push answers a pull.
type Push struct {
	number   uint64
	revision uint64
	full     bool
	objects  []config.Object
}

// NewPush returns the objects changed up to revision, or all if full.
func NewPush(number, revision uint64, full bool, objects []config.Object) Push {
	return Push{number: number, revision: revision, full: full, objects: objects}
}

// Number returns the number of the answered pull.
func (p Push) Number() uint64 { return p.number }

// Revision returns the revision that the objects lead to.
func (p Push) Revision() uint64 { return p.revision }

// Full reports that Objects is the whole configuration.
func (p Push) Full() bool { return p.full }

// Objects returns the changed objects.
func (p Push) Objects() []config.Object { return p.objects }

// Demand reports how many online requests an instance runs on a backend server.
type Demand struct {
	backend string
	online  int
}

// NewDemand returns a report.
func NewDemand(backend string, online int) Demand { return Demand{backend: backend, online: online} }

// Backend returns the backend server.
func (d Demand) Backend() string { return d.backend }

// Online returns the number of running online requests.
func (d Demand) Online() int { return d.online }

// Suspicion is the crash count of a content fingerprint.
type Suspicion struct {
	fingerprint uint64
	crashes     int
}

// NewSuspicion returns a crash count.
func NewSuspicion(fingerprint uint64, crashes int) Suspicion {
	return Suspicion{fingerprint: fingerprint, crashes: crashes}
}

// Fingerprint returns the content fingerprint.
func (s Suspicion) Fingerprint() uint64 { return s.fingerprint }

// Crashes returns how many backend servers were lost while they ran it.
func (s Suspicion) Crashes() int { return s.crashes }
