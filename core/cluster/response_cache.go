package cluster

import (
	"maps"
	"time"
)

// fullResponseMaxAge is how long a full response is reused. Other responses are reused in
// the tick in which they were encoded.
const fullResponseMaxAge = 100 * time.Millisecond

// responseKey holds what the response to a poll depends on.
type responseKey struct {
	version           uint64 // of the polling instance's directory, 0 for a full response
	configNumber      uint64 // of the polling instance
	document          uint64 // number of the newest document here
	fetchesParts      bool   // the polling instance fetches documents in parts
	hasInitialMembers bool
	announcements     bool // each announcement of a server is included
}

// encodedResponse is an encoded response and the state of which it was made.
type encodedResponse struct {
	payload   []byte
	encodedAt time.Time
	version   uint64 // of the directory; for a full response the urgent version
}

// responseCache holds the newest responses to polls. Many instances poll with the same
// state and wait for the same update, which may contain a large document.
type responseCache struct {
	responses map[responseKey]encodedResponse
}

// newResponseCache returns an empty cache.
func newResponseCache() *responseCache {
	return &responseCache{responses: make(map[responseKey]encodedResponse)}
}

// get returns a response that answers another poll too, or nil.
func (c *responseCache) get(key responseKey, now time.Time, version uint64) []byte {
	r, ok := c.responses[key]
	if !ok || r.version != version || now.Sub(r.encodedAt) > key.maxAge() {
		return nil
	}
	return r.payload
}

// put stores a response and removes those that are too old.
func (c *responseCache) put(key responseKey, now time.Time, version uint64, payload []byte) {
	maps.DeleteFunc(c.responses, func(other responseKey, r encodedResponse) bool { return now.Sub(r.encodedAt) > other.maxAge() })
	c.responses[key] = encodedResponse{payload: payload, encodedAt: now, version: version}
}

// maxAge returns how long a response is reused.
func (k responseKey) maxAge() time.Duration {
	if k.version == 0 {
		return fullResponseMaxAge
	}
	return 0
}
