package routing

import "time"

// Route sends the requests of a host and path prefix to services.
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

// WithTargets sets the services.
func WithTargets(targets ...Target) RouteOption { return func(r *Route) { r.targets = targets } }

// WithAttempts bounds the backend servers that may run one request.
func WithAttempts(attempts int) RouteOption { return func(r *Route) { r.attempts = max(attempts, 1) } }

// WithResumable tells that a broken stream may go on at another server.
func WithResumable(resumable bool) RouteOption { return func(r *Route) { r.resumable = resumable } }

// WithObjective sets the latency objective and the rank, 0 being the highest.
func WithObjective(objective time.Duration, priority int) RouteOption {
	return func(r *Route) { r.latencyObjective, r.priority = objective, priority }
}

// WithBatch sets when the results of a job are due and when an item may be
// given up, both after its submission, and how many tokens may wait.
func WithBatch(completion, keep time.Duration, maxWaiting int) RouteOption {
	return func(r *Route) { r.completionTarget, r.itemExpiry, r.maxWaitingTokens = completion, keep, maxWaiting }
}

// NewRoute returns a route of a host and path prefix. timeout is the longest
// time that a request is kept waiting.
func NewRoute(name, host, prefix string, kind Kind, timeout time.Duration, options ...RouteOption) Route {
	r := Route{name: name, host: host, prefix: prefix, kind: kind, timeout: timeout, attempts: 1}
	for _, option := range options {
		option(&r)
	}
	return r
}

// Name returns the route's name.
func (r Route) Name() string { return r.name }

// Host returns the host.
func (r Route) Host() string { return r.host }

// Prefix returns the path prefix.
func (r Route) Prefix() string { return r.prefix }

// Kind returns what may be repeated.
func (r Route) Kind() Kind { return r.kind }

// Timeout returns the longest time that a request is kept waiting.
func (r Route) Timeout() time.Duration { return r.timeout }

// LatencyObjective returns the latency objective.
func (r Route) LatencyObjective() time.Duration { return r.latencyObjective }

// Priority returns the rank, 0 being the highest.
func (r Route) Priority() int { return r.priority }

// Targets returns the services with their weights.
func (r Route) Targets() []Target { return r.targets }

// Attempts returns how many backend servers may run one request.
func (r Route) Attempts() int { return r.attempts }

// Resumable reports whether a broken stream may go on at another server.
func (r Route) Resumable() bool { return r.resumable }

// CompletionTarget returns when all results of a job are due after its submission.
func (r Route) CompletionTarget() time.Duration { return r.completionTarget }

// ItemExpiry returns when an item may be given up after its submission.
func (r Route) ItemExpiry() time.Duration { return r.itemExpiry }

// MaxWaitingTokens returns how many tokens may wait, 0 for no bound.
func (r Route) MaxWaitingTokens() int { return r.maxWaitingTokens }

// Retryable reports whether a request may run more than once.
func (r Route) Retryable() bool { return r.kind == KindIdempotent || r.resumable }

// Pick returns the service for a draw in [0, 1).
func (r Route) Pick(draw float64) string {
	sum := 0
	for _, t := range r.targets {
		sum += t.weight
	}
	left := draw * float64(sum)
	for _, t := range r.targets {
		if left -= float64(t.weight); left < 0 {
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

// WithReservation tells that slots can be reserved, for so long at most.
func WithReservation(longest time.Duration) ServiceOption {
	return func(s *Service) { s.maxReservation = longest }
}

// NewService returns a service. maxConnections bounds what one backend server
// accepts of all callers together, slots what it runs at once.
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

// MaxConnections returns the connections that one backend server accepts.
func (s Service) MaxConnections() int { return s.maxConnections }

// MaxReservation returns how long a slot can be reserved, 0 for not at all.
func (s Service) MaxReservation() time.Duration { return s.maxReservation }

// Slots returns how many requests one backend server runs at once.
func (s Service) Slots() int { return s.slots }
