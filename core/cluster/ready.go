package cluster

import "time"

// firstServerTimeout is how long an entry instance with a configuration waits
// for the first backend server before it accepts requests anyway. Servers
// announce themselves every second or two.
const firstServerTimeout = 3 * time.Second

// readiness tells whether this instance can serve callers. After a start, an
// instance gets its configuration and the backend servers from control
// instances, which may have started at the same time and may not know any
// servers yet.
type readiness struct {
	configuredAt time.Time // when the first configuration arrived
	ready        bool
}

// update sets the readiness from the present state. An instance that was ready
// stays ready: when it has lost all servers, the other instances have none
// either.
func (r *readiness) update(now time.Time, configured bool, servers int) {
	if !configured {
		return
	}
	if r.configuredAt.IsZero() {
		r.configuredAt = now
	}
	r.ready = r.ready || servers > 0 || now.Sub(r.configuredAt) >= firstServerTimeout
}
