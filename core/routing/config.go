// Package routing holds the configuration of a deployment that is changed as
// one document: routes, services and limits under the operator's own number.
package routing

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrInvalid marks a configuration that contradicts itself.
var ErrInvalid = errors.New("invalid configuration")

// Kind says what may be repeated of a route's requests.
type Kind uint8

// Kinds of routes.
const (
	KindIdempotent Kind = iota + 1 // may run more than once
	KindAtMostOnce                 // runs at most once for each request
	KindStream                     // answered by events; see Route.Resumable
	KindBatch                      // takes batch jobs
)

// Target is a service with its share of a route's requests.
type Target struct {
	service string
	weight  int
}

// NewTarget returns a target; weights count relative to their sum.
func NewTarget(service string, weight int) Target { return Target{service: service, weight: weight} }

// Service returns the service's name.
func (t Target) Service() string { return t.service }

// Weight returns the share.
func (t Target) Weight() int { return t.weight }

// Config is one complete configuration.
type Config struct {
	number   uint64
	routes   []Route
	services map[string]Service
	limits   Limits
	hosts    map[string][]int // indices of routes, longest prefix first
}

// New checks and returns a configuration. number is the operator's own; the
// highest number is in force.
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

// Number returns the operator's number.
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

// Match returns the route of a host and path: the longest prefix wins.
func (c *Config) Match(host, path string) (Route, bool) {
	for _, i := range c.hosts[host] {
		if strings.HasPrefix(path, c.routes[i].prefix) {
			return c.routes[i], true
		}
	}
	return Route{}, false
}

// Limits bound what a caller may send.
type Limits struct {
	headerBytes   int
	bodyBytes     int64
	headerTimeout time.Duration
	idleTimeout   time.Duration
}

// NewLimits returns limits: bytes of a request's headers and body, the time to
// send the headers, and how long a connection may stay idle.
func NewLimits(headerBytes int, bodyBytes int64, headerTimeout, idleTimeout time.Duration) Limits {
	return Limits{headerBytes: headerBytes, bodyBytes: bodyBytes, headerTimeout: headerTimeout, idleTimeout: idleTimeout}
}

// HeaderBytes returns the bound on headers in bytes.
func (l Limits) HeaderBytes() int { return l.headerBytes }

// BodyBytes returns the bound on a body in bytes.
func (l Limits) BodyBytes() int64 { return l.bodyBytes }

// HeaderTimeout returns the time in which headers must arrive.
func (l Limits) HeaderTimeout() time.Duration { return l.headerTimeout }

// IdleTimeout returns how long a connection may stay idle.
func (l Limits) IdleTimeout() time.Duration { return l.idleTimeout }
