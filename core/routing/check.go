package routing

import (
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// check returns an error that wraps ErrInvalid if a route is invalid.
func (c *Config) check(r Route) error {
	if r.host == "" || !strings.HasPrefix(r.prefix, "/") || !strings.HasSuffix(r.prefix, "/") {
		return errors.Wrapf(ErrInvalid, "route %q: host %q, prefix %q", r.name, r.host, r.prefix)
	}
	if r.timeout <= 0 {
		return errors.Wrapf(ErrInvalid, "route %q: no timeout", r.name)
	}
	sum := 0
	for _, t := range r.targets {
		if _, ok := c.services[t.service]; !ok {
			return errors.Wrapf(ErrInvalid, "route %q: unknown service %q", r.name, t.service)
		}
		if t.weight < 0 {
			return errors.Wrapf(ErrInvalid, "route %q: negative weight", r.name)
		}
		sum += t.weight
	}
	if sum == 0 {
		return errors.Wrapf(ErrInvalid, "route %q: no service has a weight", r.name)
	}
	return nil
}

// index builds the lookup by host. It returns an error that wraps ErrInvalid if
// two routes have the same host and prefix.
func (c *Config) index() error {
	c.hosts = make(map[string][]int)
	for i, r := range c.routes {
		c.hosts[r.host] = append(c.hosts[r.host], i)
	}
	for host, indices := range c.hosts {
		slices.SortFunc(indices, func(a, b int) int { return len(c.routes[b].prefix) - len(c.routes[a].prefix) })
		for i := 1; i < len(indices); i++ {
			for j := range i {
				if c.routes[indices[i]].prefix == c.routes[indices[j]].prefix {
					return errors.Wrapf(ErrInvalid, "two routes at %s%s", host, c.routes[indices[i]].prefix)
				}
			}
		}
	}
	return nil
}
