package usage

import (
	"maps"
	"math"
	"time"
)

// Timing of limits.
const (
	// BurstWindow is the time over which bursts of requests to a backend server are counted.
	BurstWindow = 4 * time.Second

	// SustainedWindow is the time over which the rate of requests to a backend server is
	// measured.
	SustainedWindow = 12 * time.Second

	// LimitMaxAge is the age at which the limit of a backend server is forgotten.
	LimitMaxAge = 10 * time.Second

	limitsInterval = 10 * time.Millisecond // between two sums of the limits
)

// Requests to a server within a window. Over the longer window they keep to the limit; a
// burst may exceed it, as with a token bucket that fills while there are few requests.
const (
	burstShare = 1.375 // of the limit within BurstWindow
	spareBurst = 3     // requests within either window in addition
)

// Limit is the number of requests per second that one incarnation of a backend server
// takes from all instances together.
type Limit struct {
	perSecond   float64
	incarnation uint64
}

// NewLimit returns a limit. 0 requests per second mean that the server names no limit.
func NewLimit(perSecond float64, incarnation uint64) Limit {
	return Limit{perSecond: perSecond, incarnation: incarnation}
}

// PerSecond returns the number of requests per second, 0 if there is no limit.
func (l Limit) PerSecond() float64 { return l.perSecond }

// Incarnation returns the incarnation of the server that named the limit.
func (l Limit) Incarnation() uint64 { return l.incarnation }

// Room returns how many more requests a share of the limit allows after those that were
// sent. It is negative if there were too many.
func (l Limit) Room(share float64, sent Sent) float64 {
	burst := share*burstShare*l.perSecond*BurstWindow.Seconds() + spareBurst - float64(sent.burst)
	sustained := share*l.perSecond*SustainedWindow.Seconds() + spareBurst - float64(sent.sustained)
	return min(burst, sustained)
}

// Share returns the requests that a share of the limit allows.
func (l Limit) Share(share float64) Sent {
	return NewSent(int(math.Ceil(share*burstShare*l.perSecond*BurstWindow.Seconds())), int(math.Ceil(share*l.perSecond*SustainedWindow.Seconds())))
}

// Sent counts the requests that were sent to a server.
type Sent struct {
	burst     int
	sustained int
}

// NewSent returns the numbers of requests within BurstWindow and within SustainedWindow.
func NewSent(burst, sustained int) Sent { return Sent{burst: burst, sustained: sustained} }

// Burst returns the number of requests within BurstWindow.
func (s Sent) Burst() int { return s.burst }

// Sustained returns the number of requests within SustainedWindow.
func (s Sent) Sustained() int { return s.sustained }

// Add returns the sum of two counts.
func (s Sent) Add(other Sent) Sent {
	return Sent{burst: s.burst + other.burst, sustained: s.sustained + other.sustained}
}

// AtLeast returns the larger of two counts.
func (s Sent) AtLeast(other Sent) Sent {
	return Sent{burst: max(s.burst, other.burst), sustained: max(s.sustained, other.sustained)}
}

// Without returns the count without a part of it.
func (s Sent) Without(part Sent) Sent {
	return Sent{burst: max(s.burst-part.burst, 0), sustained: max(s.sustained-part.sustained, 0)}
}

// LimitedUse is what an instance knows of the limit of a backend server and of the use of
// it.
type LimitedUse struct {
	limit Limit
	age   time.Duration
	sent  Sent
}

// NewLimitedUse returns the limit that the newest known answer of a server named, the age
// of this answer, and the requests sent to the server.
func NewLimitedUse(limit Limit, age time.Duration, sent Sent) LimitedUse {
	return LimitedUse{limit: limit, age: age, sent: sent}
}

// Limit returns the limit.
func (u LimitedUse) Limit() Limit { return u.limit }

// Age returns the age of the answer that named the limit.
func (u LimitedUse) Age() time.Duration { return u.age }

// Sent returns the requests sent.
func (u LimitedUse) Sent() Sent { return u.sent }

// merge returns the newer limit with the sum of the requests. Requests to another
// incarnation of the server do not count.
func (u LimitedUse) merge(other LimitedUse) LimitedUse {
	newer, older := u, other
	if other.age < u.age {
		newer, older = other, u
	}
	if older.limit.incarnation == newer.limit.incarnation {
		newer.sent = newer.sent.Add(older.sent)
	}
	return newer
}

// Window counts the requests that an instance sends to a backend server.
type Window struct {
	sentAt []time.Time
}

// Add counts a request that is sent now.
func (w *Window) Add(now time.Time) {
	w.sentAt = append(w.within(now, SustainedWindow), now)
}

// Sent returns the requests sent.
func (w *Window) Sent(now time.Time) Sent {
	return NewSent(len(w.within(now, BurstWindow)), len(w.within(now, SustainedWindow)))
}

// within returns the times of the requests that were sent within a time.
func (w *Window) within(now time.Time, d time.Duration) []time.Time {
	expired := 0
	for expired < len(w.sentAt) && now.Sub(w.sentAt[expired]) >= d {
		expired++
	}
	return w.sentAt[expired:]
}

// Limited returns what all reports say of the servers that name a limit.
func (w *World) Limited(now time.Time) map[string]LimitedUse {
	if w.limited != nil && now.Sub(w.limitedAt) < limitsInterval {
		return w.limited
	}
	limited := make(map[string]LimitedUse)
	w.reports.Each(func(_ string, r *row) {
		for backend, use := range r.report.limited {
			use.age += now.Sub(r.receivedAt)
			if known, ok := limited[backend]; ok {
				use = use.merge(known)
			}
			limited[backend] = use
		}
	})
	maps.DeleteFunc(limited, func(_ string, use LimitedUse) bool { return use.age >= LimitMaxAge })
	w.limited, w.limitedAt = limited, now
	return limited
}

// WithLimited returns a copy of the report with the servers that name a limit.
func (r Report) WithLimited(limited map[string]LimitedUse) Report {
	r.limited = limited
	return r
}

// Aged returns the report as it is after a time in which nothing new was learned.
func (r Report) Aged(d time.Duration) Report {
	if len(r.limited) == 0 {
		return r
	}
	limited := make(map[string]LimitedUse, len(r.limited))
	for backend, use := range r.limited {
		use.age += d
		limited[backend] = use
	}
	return r.WithLimited(limited)
}

// Limited returns what the reporter knows of the servers that name a limit.
func (r Report) Limited() map[string]LimitedUse { return r.limited }

// Equal reports whether two reports say the same, except for the ages of limits.
func (r Report) Equal(other Report) bool {
	return maps.Equal(r.running, other.running) && maps.EqualFunc(r.limited, other.limited,
		func(a, b LimitedUse) bool { return a.limit == b.limit && a.sent == b.sent })
}
