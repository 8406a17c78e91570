package cluster

import "time"

// fullResponseMaxAge is how long a full response is reused.
const fullResponseMaxAge = 100 * time.Millisecond

// fullResponseKey holds what full responses depend on.
type fullResponseKey struct {
	configNumber      uint64 // of the polling instance
	hasInitialMembers bool
	announcements     bool // each announcement of a server is included
}

// fullResponse is the last answer to a poll of an instance without any state.
type fullResponse struct {
	key           fullResponseKey
	payload       []byte
	encodedAt     time.Time
	urgentVersion uint64
}

// isReusable reports whether the response answers another poll.
func (r *fullResponse) isReusable(key fullResponseKey, now time.Time, urgent uint64) bool {
	return r.payload != nil && r.key == key && r.urgentVersion == urgent && now.Sub(r.encodedAt) <= fullResponseMaxAge
}
