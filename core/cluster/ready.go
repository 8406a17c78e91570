package cluster

import "time"

// firstServerTimeout is how long an entry with a configuration waits for the first
// backend server before it takes callers all the same. Servers announce
// themselves every second or two.
const firstServerTimeout = 3 * time.Second

// readiness is the sub-world that tells whether this instance can serve callers.
// A started instance gets its configuration and the backend servers from control
// instances, which may have started with it and know no servers yet.
type readiness struct {
	configuredAt time.Time // when the first configuration came
	ready        bool
}

// update takes what is known now. An instance that was ready once stays so: when
// all servers are gone, other instances have none either.
func (r *readiness) update(now time.Time, configured bool, servers int) {
	if !configured {
		return
	}
	if r.configuredAt.IsZero() {
		r.configuredAt = now
	}
	r.ready = r.ready || servers > 0 || now.Sub(r.configuredAt) >= firstServerTimeout
}
