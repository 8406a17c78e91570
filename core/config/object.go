// Package config implements the state machine of the configuration ledger. It
// stores services, model versions, adapters and account limits. Each change
// increments the revision.
package config

// Kind is the type of a configuration object.
type Kind uint8

// Kinds of objects.
const (
	KindService Kind = iota + 1 // service that callers name in a request
	KindModel                   // model version that engines load
	KindAdapter                 // adapter for a model
	KindAccount                 // limits and secret of a caller account
)

// kindNames holds the name of each kind, indexed by kind.
var kindNames = [...]string{"", "service", "model", "adapter", "account"}

// String returns the kind's name, or the empty string for an unknown kind.
func (k Kind) String() string {
	if int(k) >= len(kindNames) {
		return ""
	}
	return kindNames[k]
}

// ParseKind returns the kind with the given name and whether the kind exists.
func ParseKind(name string) (Kind, bool) {
	for i := 1; i < len(kindNames); i++ {
		if kindNames[i] == name {
			return Kind(i), true
		}
	}
	return 0, false
}

// Protocol is the protocol of a service's backend servers.
type Protocol uint8

// Protocols.
const (
	ProtocolEngine Protocol = iota + 1 // streaming model engine
	ProtocolPlain                      // plain HTTP request and response
)

// Spec holds the settings of an object. Each kind uses only some of the fields.
type Spec struct {
	protocol                Protocol // service
	model                   string   // service, adapter: name of the model
	adapter                 string   // service: name of the adapter, may be empty
	version                 string   // model, adapter
	rate                    float64  // account: requests per second, 0 for no limit
	burst                   int      // account: largest burst of requests
	inFlight                int      // account: concurrent requests, 0 for no limit
	secretHash              string   // account: SHA-256 of the secret in hexadecimal, empty for none
	refuseIfHomeUnreachable bool     // service: refuse requests whose home ledger is unreachable
}

// SpecOption sets a field of a spec.
type SpecOption func(*Spec)

// WithProtocol sets the protocol of a service's backend servers.
func WithProtocol(p Protocol) SpecOption { return func(s *Spec) { s.protocol = p } }

// WithModel sets the model name of a service or adapter.
func WithModel(model string) SpecOption { return func(s *Spec) { s.model = model } }

// WithAdapter sets the adapter name of a service.
func WithAdapter(adapter string) SpecOption { return func(s *Spec) { s.adapter = adapter } }

// WithVersion sets the version of a model or adapter.
func WithVersion(version string) SpecOption { return func(s *Spec) { s.version = version } }

// WithLimits sets an account's limits: requests per second, largest burst and
// concurrent requests.
func WithLimits(rate float64, burst, inFlight int) SpecOption {
	return func(s *Spec) { s.rate, s.burst, s.inFlight = rate, burst, inFlight }
}

// WithSecretHash sets the SHA-256 of an account's secret, in hexadecimal.
func WithSecretHash(hash string) SpecOption { return func(s *Spec) { s.secretHash = hash } }

// WithRefuseIfHomeUnreachable sets whether a service refuses requests whose
// home ledger is unreachable.
func WithRefuseIfHomeUnreachable(on bool) SpecOption {
	return func(s *Spec) { s.refuseIfHomeUnreachable = on }
}

// NewSpec returns a spec.
func NewSpec(options ...SpecOption) Spec {
	var s Spec
	for _, option := range options {
		option(&s)
	}
	return s
}

// Protocol returns the protocol of a service's backend servers.
func (s Spec) Protocol() Protocol { return s.protocol }

// Model returns the name of the model.
func (s Spec) Model() string { return s.model }

// Adapter returns the name of the adapter.
func (s Spec) Adapter() string { return s.adapter }

// Version returns the version.
func (s Spec) Version() string { return s.version }

// Rate returns the allowed requests per second, 0 for no limit.
func (s Spec) Rate() float64 { return s.rate }

// Burst returns the largest allowed burst of requests.
func (s Spec) Burst() int { return s.burst }

// InFlight returns the allowed concurrent requests, 0 for no limit.
func (s Spec) InFlight() int { return s.inFlight }

// SecretHash returns the SHA-256 of the account's secret in hexadecimal, or the
// empty string if there is no secret.
func (s Spec) SecretHash() string { return s.secretHash }

// RefuseIfHomeUnreachable reports whether the service refuses requests whose
// home ledger is unreachable.
func (s Spec) RefuseIfHomeUnreachable() bool { return s.refuseIfHomeUnreachable }

// Ref identifies an object by kind and name.
type Ref struct {
	kind Kind
	name string
}

// NewRef returns a reference to an object.
func NewRef(kind Kind, name string) Ref { return Ref{kind: kind, name: name} }

// Kind returns the object's kind.
func (r Ref) Kind() Kind { return r.kind }

// Name returns the object's name within its kind.
func (r Ref) Name() string { return r.name }

// String returns the kind and the name, joined by a slash.
func (r Ref) String() string { return r.kind.String() + "/" + r.name }

// Object is a configuration object at one revision.
type Object struct {
	ref      Ref
	spec     Spec
	revision uint64
	deleted  bool
}

// NewObject returns an object at a revision.
func NewObject(ref Ref, spec Spec, revision uint64, deleted bool) Object {
	return Object{ref: ref, spec: spec, revision: revision, deleted: deleted}
}

// Ref returns the object's kind and name.
func (o Object) Ref() Ref { return o.ref }

// Spec returns the settings.
func (o Object) Spec() Spec { return o.spec }

// Revision returns the revision that last changed the object.
func (o Object) Revision() uint64 { return o.revision }

// Deleted reports whether that revision deleted the object.
func (o Object) Deleted() bool { return o.deleted }
