package quarantine

import (
	"time"

	"papayaquay/core/table"
)

// Bounds of the parts that are remembered.
const (
	recentRetention = time.Minute
	maxRecentParts  = 4096
)

// Recent holds the parts on which answers came to their end lately. Only one thread may use it.
type Recent struct {
	parts *table.Table[Part, time.Time]
	queue []recentPart // in the order in which they were added
}

// recentPart is a part in the order of expiry.
type recentPart struct {
	part Part
	at   time.Time
}

// NewRecent returns an empty table.
func NewRecent() *Recent { return &Recent{parts: table.New[Part, time.Time]()} }

// Add records that an answer to a request with a prompt came to its end. Whole requests are not
// remembered: one that is sent again was not answered before.
func (r *Recent) Add(now time.Time, prompt Prompt) {
	for _, part := range prompt {
		if at := r.parts.Get(part); part.isRequest() || (at != nil && now.Sub(*at) < recentRetention/2) {
			continue // known recently enough
		}
		r.makeRoom(now)
		r.parts.Put(part, now)
		r.queue = append(r.queue, recentPart{part: part, at: now})
	}
}

// makeRoom removes old parts, and the oldest one if there are too many.
func (r *Recent) makeRoom(now time.Time) {
	for len(r.queue) > 0 && (now.Sub(r.queue[0].at) > recentRetention || len(r.queue) >= maxRecentParts) {
		first := r.queue[0]
		r.queue = r.queue[1:]
		if at := r.parts.Get(first.part); at != nil && at.Equal(first.at) {
			r.parts.Remove(first.part)
		}
	}
}

// Has reports whether an answer on the part came to its end lately.
func (r *Recent) Has(now time.Time, part Part) bool {
	at := r.parts.Get(part)
	return at != nil && now.Sub(*at) <= recentRetention
}
