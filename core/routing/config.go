// Package routing holds the configuration of a deployment: routes, services and
// limits. It is changed as one document with a number that the operator chooses.
package routing

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrInvalid is the error for an invalid or inconsistent configuration.
var ErrInvalid = errors.New("invalid configuration")

// Kind tells how a route's requests are answered and whether they may be retried.
type Kind uint8

// Kinds of routes.
const (
	KindIdempotent Kind = iota + 1 // may run more than once
	KindAtMostOnce                 // runs at most once for each request
	KindStream                     // answered by a stream of events; see Route.Resumable
	KindBatch                      // accepts batch jobs
)

// Target is a service that receives a share of a route's requests.
type Target struct {
	service string
	weight  int
}

// NewTarget returns a target. Its share is its weight divided by the sum of the
// route's weights.
func NewTarget(service string, weight int) Target { return Target{service: service, weight: weight} }

// Service returns the service's name.
func (t Target) Service() string { return t.service }

// Weight returns the target's weight.
func (t Target) Weight() int { return t.weight }

// Config is one complete configuration.
type Config struct {
	number   uint64
	routes   []Route
	services map[string]Service
	limits   Limits
	hosts    map[string][]int // indices of routes by host, longest prefix first
}

// New returns a configuration, or an error that wraps ErrInvalid. number is
// chosen by the operator; the configuration with the highest number is in force.
func New(number uint64, routes []Route, services []Service, limits Limits) (*Config, error) {
	c := &Config{number: number, routes: routes, services: make(map[string]Service), limits: limits}
	for _, s := range services {
		c.services[s.name] = s
	}
	for _, r := range routes {
		if err := c.check(r); err != nil {
			return nil, err
		}
	}
	return c, c.index()
}

// Number returns the number that the operator chose for the configuration.
func (c *Config) Number() uint64 { return c.number }

// Routes returns the routes.
func (c *Config) Routes() []Route { return c.routes }

// Limits returns the limits for callers.
func (c *Config) Limits() Limits { return c.limits }

// Service returns a service by name.
func (c *Config) Service(name string) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Match returns the route for a host and path. The longest matching prefix wins.
func (c *Config) Match(host, path string) (Route, bool) {
	for _, i := range c.hosts[host] {
		if strings.HasPrefix(path, c.routes[i].prefix) {
			return c.routes[i], true
		}
	}
	return Route{}, false
}

// Limits are the limits on requests and connections of callers.
type Limits struct {
	headerBytes   int
	bodyBytes     int64
	headerTimeout time.Duration
	idleTimeout   time.Duration
}

// NewLimits returns limits: the maximum size of a request's headers and body in
// bytes, the time in which the headers must arrive, and the time after which an
// idle connection is closed.
func NewLimits(headerBytes int, bodyBytes int64, headerTimeout, idleTimeout time.Duration) Limits {
	return Limits{headerBytes: headerBytes, bodyBytes: bodyBytes, headerTimeout: headerTimeout, idleTimeout: idleTimeout}
}

// HeaderBytes returns the maximum size of a request's headers in bytes.
func (l Limits) HeaderBytes() int { return l.headerBytes }

// BodyBytes returns the maximum size of a request's body in bytes.
func (l Limits) BodyBytes() int64 { return l.bodyBytes }

// HeaderTimeout returns the time in which a request's headers must arrive.
func (l Limits) HeaderTimeout() time.Duration { return l.headerTimeout }

// IdleTimeout returns the time after which an idle connection is closed.
func (l Limits) IdleTimeout() time.Duration { return l.idleTimeout }
