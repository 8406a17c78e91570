package member

import "slices"

// Protocol is the protocol that a backend server speaks.
type Protocol uint8

// Protocols.
const (
	ProtocolEngine Protocol = iota + 1 // streaming protocol of model engines
	ProtocolPlain                      // one HTTP request and response
)

// Load is the load that a backend server reported last. It may be out of date.
type Load struct {
	running int
	queued  int
}

// NewLoad returns a report with the numbers of running and queued requests.
func NewLoad(running, queued int) Load { return Load{running: running, queued: queued} }

// Running returns the number of running requests.
func (l Load) Running() int { return l.running }

// Queued returns the number of requests queued inside the server.
func (l Load) Queued() int { return l.queued }

// Backend is what an instance knows about one backend server.
type Backend struct {
	id          string
	address     string // base URL
	dataCentre  string
	protocol    Protocol
	slots       int      // maximum number of concurrent requests
	services    []string // services that the server can run
	version     string   // of the server's software, not of the models; empty if unknown
	models      []string // loaded models as name@version, sorted
	fencing     bool     // rejects orders with an old fencing number
	incarnation uint64
	sequence    uint64 // sequence number of the announcement
	leaving     bool
	gone        bool
	partial     bool // the announcement lacks a field on which nothing rests; see WithPartial
	load        Load
}

// BackendOption sets optional fields of a backend server.
type BackendOption func(*Backend)

// WithServices sets the services that the server can run.
func WithServices(services ...string) BackendOption {
	return func(b *Backend) { b.services = services }
}

// WithVersion sets the version of the server's software.
func WithVersion(version string) BackendOption { return func(b *Backend) { b.version = version } }

// WithModels sets the loaded models as name@version.
func WithModels(models ...string) BackendOption {
	return func(b *Backend) { b.models = slices.Sorted(slices.Values(models)) }
}

// WithFencing sets whether the server rejects orders with an old fencing
// number.
func WithFencing(fencing bool) BackendOption { return func(b *Backend) { b.fencing = fencing } }

// WithLeaving sets whether the server takes no new work.
func WithLeaving(leaving bool) BackendOption { return func(b *Backend) { b.leaving = leaving } }

// WithPartial sets whether the announcement lacks a field of the protocol on which nothing rests. A
// server that sends whole announcements does not send such ones.
func WithPartial(partial bool) BackendOption { return func(b *Backend) { b.partial = partial } }

// WithGone sets whether the server has stopped announcing itself.
func WithGone(gone bool) BackendOption { return func(b *Backend) { b.gone = gone } }

// WithLoad sets the load report.
func WithLoad(load Load) BackendOption { return func(b *Backend) { b.load = load } }

// NewBackend returns a backend server as described by one announcement.
func NewBackend(id, address, dataCentre string, protocol Protocol, slots int, incarnation, sequence uint64, options ...BackendOption) Backend {
	b := Backend{id: id, address: address, dataCentre: dataCentre, protocol: protocol,
		slots: slots, incarnation: incarnation, sequence: sequence}
	for _, option := range options {
		option(&b)
	}
	return b
}

// ID returns the server's id.
func (b Backend) ID() string { return b.id }

// Address returns the base URL.
func (b Backend) Address() string { return b.address }

// DataCentre returns the server's data centre.
func (b Backend) DataCentre() string { return b.dataCentre }

// Protocol returns the protocol that the server speaks.
func (b Backend) Protocol() Protocol { return b.protocol }

// Slots returns the maximum number of concurrent requests.
func (b Backend) Slots() int { return b.slots }

// Services returns the services that the server can run.
func (b Backend) Services() []string { return b.services }

// Version returns the version of the server's software, empty if unknown. Servers of different
// versions do not continue each other's streams.
func (b Backend) Version() string { return b.version }

// Models returns the loaded models as name@version.
func (b Backend) Models() []string { return b.models }

// SupportsFencing reports whether the server rejects orders with an old fencing
// number.
func (b Backend) SupportsFencing() bool { return b.fencing }

// Incarnation returns the server's incarnation; each restart increases it.
func (b Backend) Incarnation() uint64 { return b.incarnation }

// Sequence returns the sequence number of the announcement.
func (b Backend) Sequence() uint64 { return b.sequence }

// Leaving reports whether the server takes no new work.
func (b Backend) Leaving() bool { return b.leaving }

// Gone reports whether the server has stopped announcing itself.
func (b Backend) Gone() bool { return b.gone }

// Partial reports whether the announcement lacks a field of the protocol.
func (b Backend) Partial() bool { return b.partial }

// Load returns the last load report.
func (b Backend) Load() Load { return b.load }

// Runs reports whether the server can run a service.
func (b Backend) Runs(service string) bool { return slices.Contains(b.services, service) }

// WithIncarnation returns a copy with another incarnation.
func (b Backend) WithIncarnation(incarnation uint64) Backend {
	b.incarnation = incarnation
	return b
}

// WithVersion returns a copy with another software version.
func (b Backend) WithVersion(version string) Backend {
	b.version = version
	return b
}

// AsLeaving returns a copy that is leaving: the server takes no new work in
// this incarnation.
func (b Backend) AsLeaving() Backend {
	b.leaving = true
	return b
}

// Merge returns the newer of two views of the same server. A server that is
// leaving stays so within its incarnation, in whatever order the views arrive.
func (b Backend) Merge(other Backend) Backend {
	if b.incarnation != other.incarnation {
		if other.incarnation > b.incarnation {
			return other
		}
		return b
	}
	result := b
	if other.sequence > b.sequence {
		result = other
	}
	if other.sequence == b.sequence {
		result.gone = b.gone || other.gone
	}
	result.leaving = b.leaving || other.leaving
	return result
}

// DiffersFrom reports whether the views differ in anything except the load
// report.
func (b Backend) DiffersFrom(other Backend) bool {
	return b.incarnation != other.incarnation || b.leaving != other.leaving || b.gone != other.gone ||
		b.slots != other.slots || b.version != other.version || b.address != other.address ||
		!slices.Equal(b.services, other.services) || !slices.Equal(b.models, other.models)
}
