package cluster

import "time"

// fullResponseMaxAge is how long an answer to followers that know nothing yet is used.
const fullResponseMaxAge = 100 * time.Millisecond

// fullResponseKey tells apart what followers that know nothing yet need.
type fullResponseKey struct {
	configNumber      uint64 // of the configuration that the follower has
	hasInitialMembers bool
	announcements     bool
}

// fullResponse is the last answer to a follower that knew nothing yet.
type fullResponse struct {
	key           fullResponseKey
	payload       []byte
	encodedAt     time.Time
	urgentVersion uint64
}

// isReusable reports whether the answer can be given once more.
func (n *fullResponse) isReusable(key fullResponseKey, now time.Time, urgent uint64) bool {
	return n.payload != nil && n.key == key && n.urgentVersion == urgent && now.Sub(n.encodedAt) <= fullResponseMaxAge
}
