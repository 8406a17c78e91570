package routing

import "time"

// Route maps the requests for a host and path prefix to services.
type Route struct {
	name             string
	host             string
	prefix           string
	kind             Kind
	timeout          time.Duration
	latencyObjective time.Duration
	priority         int
	targets          []Target
	attempts         int
	resumable        bool
	completionTarget time.Duration
	itemExpiry       time.Duration
	maxWaitingTokens int
}

// RouteOption sets optional fields of a route.
type RouteOption func(*Route)

// WithTargets sets the services that receive the route's requests.
func WithTargets(targets ...Target) RouteOption { return func(r *Route) { r.targets = targets } }

// WithAttempts sets the maximum number of backend servers that may run a
// request. Values below 1 count as 1.
func WithAttempts(attempts int) RouteOption { return func(r *Route) { r.attempts = max(attempts, 1) } }

// WithResumable sets whether an interrupted stream may continue on another server.
func WithResumable(resumable bool) RouteOption { return func(r *Route) { r.resumable = resumable } }

// WithObjective sets the latency objective and the priority; 0 is the highest
// priority.
func WithObjective(latencyObjective time.Duration, priority int) RouteOption {
	return func(r *Route) { r.latencyObjective, r.priority = latencyObjective, priority }
}

// WithBatch sets the time after submission at which all results of a job are due,
// the time after submission at which an item may be abandoned, and the maximum
// number of waiting tokens.
func WithBatch(target, expiry time.Duration, maxTokens int) RouteOption {
	return func(r *Route) { r.completionTarget, r.itemExpiry, r.maxWaitingTokens = target, expiry, maxTokens }
}

// NewRoute returns a route for a host and path prefix. timeout is the maximum
// time that a request may wait for its answer.
func NewRoute(name, host, prefix string, kind Kind, timeout time.Duration, options ...RouteOption) Route {
	r := Route{name: name, host: host, prefix: prefix, kind: kind, timeout: timeout, attempts: 1}
	for _, option := range options {
		option(&r)
	}
	return r
}

// Name returns the route's name.
func (r Route) Name() string { return r.name }

// Host returns the host that the route matches.
func (r Route) Host() string { return r.host }

// Prefix returns the path prefix that the route matches.
func (r Route) Prefix() string { return r.prefix }

// Kind returns the kind of the route.
func (r Route) Kind() Kind { return r.kind }

// Timeout returns the maximum time that a request may wait for its answer.
func (r Route) Timeout() time.Duration { return r.timeout }

// LatencyObjective returns the target latency of the route's requests.
func (r Route) LatencyObjective() time.Duration { return r.latencyObjective }

// Priority returns the priority; 0 is the highest.
func (r Route) Priority() int { return r.priority }

// Targets returns the services with their weights.
func (r Route) Targets() []Target { return r.targets }

// Attempts returns the maximum number of backend servers that may run a request.
func (r Route) Attempts() int { return r.attempts }

// Resumable reports whether an interrupted stream may continue on another server.
func (r Route) Resumable() bool { return r.resumable }

// CompletionTarget returns the time after submission at which all results of a
// job are due.
func (r Route) CompletionTarget() time.Duration { return r.completionTarget }

// ItemExpiry returns the time after submission at which an item may be abandoned.
func (r Route) ItemExpiry() time.Duration { return r.itemExpiry }

// MaxWaitingTokens returns the maximum number of waiting tokens, 0 for no limit.
func (r Route) MaxWaitingTokens() int { return r.maxWaitingTokens }

// Retryable reports whether a request may run more than once.
func (r Route) Retryable() bool { return r.kind == KindIdempotent || r.resumable }

// Pick returns a service for a random number in [0, 1), with the probability
// given by its weight.
func (r Route) Pick(random float64) string {
	sum := 0
	for _, t := range r.targets {
		sum += t.weight
	}
	remaining := random * float64(sum)
	for _, t := range r.targets {
		if remaining -= float64(t.weight); remaining < 0 {
			return t.service
		}
	}
	return r.targets[len(r.targets)-1].service
}

// Service is a group of backend servers that run the same model.
type Service struct {
	name           string
	healthPath     string
	maxConnections int
	slots          int
	maxReservation time.Duration
}

// ServiceOption sets optional fields of a service.
type ServiceOption func(*Service)

// WithReservation enables the reservation of slots and sets its maximum duration.
func WithReservation(maxReservation time.Duration) ServiceOption {
	return func(s *Service) { s.maxReservation = maxReservation }
}

// NewService returns a service. maxConnections is the maximum number of
// connections that one backend server accepts from all callers together; slots is
// the number of requests that it runs concurrently.
func NewService(name, healthPath string, maxConnections, slots int, options ...ServiceOption) Service {
	s := Service{name: name, healthPath: healthPath, maxConnections: maxConnections, slots: slots}
	for _, option := range options {
		option(&s)
	}
	return s
}

// Name returns the service's name.
func (s Service) Name() string { return s.name }

// HealthPath returns the path of the health check.
func (s Service) HealthPath() string { return s.healthPath }

// MaxConnections returns the maximum number of connections that one backend
// server accepts.
func (s Service) MaxConnections() int { return s.maxConnections }

// MaxReservation returns the maximum duration of a slot reservation, 0 if slots
// cannot be reserved.
func (s Service) MaxReservation() time.Duration { return s.maxReservation }

// Slots returns the number of requests that one backend server runs concurrently.
func (s Service) Slots() int { return s.slots }
