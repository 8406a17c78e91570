// Package config is the state machine of the configuration ledger: services,
// model versions, adapters and account limits, each change under a revision.
package config

// Kind is the type of a configuration object.
type Kind uint8

// Kinds of objects.
const (
	KindService Kind = iota + 1 // what callers name in a request
	KindModel                   // a model version that engines load
	KindAdapter                 // an adapter on top of a model
	KindAccount                 // limits and secret of a caller account
)

// kindNames are the names of the kinds, in their order.
var kindNames = [...]string{"", "service", "model", "adapter", "account"}

// String returns the kind's name.
func (k Kind) String() string {
	if int(k) >= len(kindNames) {
		return ""
	}
	return kindNames[k]
}

// ParseKind returns the kind with the given name and whether there is one.
func ParseKind(name string) (Kind, bool) {
	for i := 1; i < len(kindNames); i++ {
		if kindNames[i] == name {
			return Kind(i), true
		}
	}
	return 0, false
}

// Protocol is how a service's backend servers are spoken to.
type Protocol uint8

// Protocols.
const (
	ProtocolEngine Protocol = iota + 1 // streaming model engine
	ProtocolPlain                      // plain request and answer over HTTP
)

// Spec holds the settings of an object; which fields count depends on the kind.
type Spec struct {
	protocol                Protocol // service
	model                   string   // service, adapter: name of the model
	adapter                 string   // service: name of the adapter, may be empty
	version                 string   // model, adapter
	rate                    float64  // account: requests a second, 0 for no limit
	burst                   int      // account: requests at once
	inFlight                int      // account: requests running, 0 for no limit
	secretHash              string   // account: hex SHA-256 of the secret, empty for none
	refuseIfHomeUnreachable bool     // service: refuse keys whose home is out of reach
}

// SpecOption sets a field of a spec.
type SpecOption func(*Spec)

// WithProtocol sets how a service's backend servers are spoken to.
func WithProtocol(p Protocol) SpecOption { return func(s *Spec) { s.protocol = p } }

// WithModel names the model of a service or adapter.
func WithModel(model string) SpecOption { return func(s *Spec) { s.model = model } }

// WithAdapter names the adapter of a service.
func WithAdapter(adapter string) SpecOption { return func(s *Spec) { s.adapter = adapter } }

// WithVersion sets the version of a model or adapter.
func WithVersion(version string) SpecOption { return func(s *Spec) { s.version = version } }

// WithLimits sets an account's requests a second, burst and running requests.
func WithLimits(rate float64, burst, inFlight int) SpecOption {
	return func(s *Spec) { s.rate, s.burst, s.inFlight = rate, burst, inFlight }
}

// WithSecretHash sets the hex SHA-256 of an account's secret.
func WithSecretHash(hash string) SpecOption { return func(s *Spec) { s.secretHash = hash } }

// WithRefuseIfHomeUnreachable makes a service refuse keys whose home is out of reach.
func WithRefuseIfHomeUnreachable(refuse bool) SpecOption {
	return func(s *Spec) { s.refuseIfHomeUnreachable = refuse }
}

// NewSpec returns a spec.
func NewSpec(options ...SpecOption) Spec {
	var s Spec
	for _, option := range options {
		option(&s)
	}
	return s
}

// Protocol returns how a service's backend servers are spoken to.
func (s Spec) Protocol() Protocol { return s.protocol }

// Model returns the name of the model.
func (s Spec) Model() string { return s.model }

// Adapter returns the name of the adapter.
func (s Spec) Adapter() string { return s.adapter }

// Version returns the version.
func (s Spec) Version() string { return s.version }

// Rate returns the allowed requests a second, 0 for no limit.
func (s Spec) Rate() float64 { return s.rate }

// Burst returns the allowed requests at once.
func (s Spec) Burst() int { return s.burst }

// InFlight returns the allowed running requests, 0 for no limit.
func (s Spec) InFlight() int { return s.inFlight }

// SecretHash returns the hex SHA-256 of the account's secret.
func (s Spec) SecretHash() string { return s.secretHash }

// RefuseIfHomeUnreachable reports whether keys are refused while their home is out of reach.
func (s Spec) RefuseIfHomeUnreachable() bool { return s.refuseIfHomeUnreachable }

// Ref names an object.
type Ref struct {
	kind Kind
	name string
}

// NewRef returns the name of an object.
func NewRef(kind Kind, name string) Ref { return Ref{kind: kind, name: name} }

// Kind returns the object's kind.
func (r Ref) Kind() Kind { return r.kind }

// Name returns the object's name within its kind.
func (r Ref) Name() string { return r.name }

// String returns kind and name joined by a slash.
func (r Ref) String() string { return r.kind.String() + "/" + r.name }

// Object is one configured object at one revision.
type Object struct {
	ref      Ref
	spec     Spec
	revision uint64
	deleted  bool
}

// NewObject returns an object as of a revision.
func NewObject(ref Ref, spec Spec, revision uint64, deleted bool) Object {
	return Object{ref: ref, spec: spec, revision: revision, deleted: deleted}
}

// Ref returns the object's name.
func (o Object) Ref() Ref { return o.ref }

// Spec returns the settings.
func (o Object) Spec() Spec { return o.spec }

// Revision returns the revision that last changed the object.
func (o Object) Revision() uint64 { return o.revision }

// Deleted reports whether that revision removed the object.
func (o Object) Deleted() bool { return o.deleted }
