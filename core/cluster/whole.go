package cluster

import "time"

// wholeFor is how long an answer to followers that know nothing yet is used.
const wholeFor = 100 * time.Millisecond

// wholeKey tells apart what followers that know nothing yet need.
type wholeKey struct {
	number  uint64 // of the configuration that the follower has
	founded bool
	judges  bool
}

// wholeNews is the last answer to a follower that knew nothing yet.
type wholeNews struct {
	key     wholeKey
	payload []byte
	made    time.Time
	urgent  uint64
}

// fits reports whether the answer can be given once more.
func (n *wholeNews) fits(key wholeKey, now time.Time, urgent uint64) bool {
	return n.payload != nil && n.key == key && n.urgent == urgent && now.Sub(n.made) <= wholeFor
}
