package client

import "context"

// Memory that decoded JSON takes at most, in bytes: an object or array, and another value, both without
// their text.
const (
	objectCost = 256
	valueCost  = 64
)

// valueCounter sums up the memory that JSON takes when it is decoded. The text may come in parts.
type valueCounter struct {
	inString, escaped bool
	cost              int64
}

// add counts a part of the text and returns its cost, without that of the text itself.
func (c *valueCounter) add(text []byte) int64 {
	before := c.cost
	for _, b := range text {
		switch {
		case c.escaped:
			c.escaped = false
		case c.inString:
			c.escaped, c.inString = b == '\\', b != '"'
		case b == '"':
			c.inString = true
		case b == '{' || b == '[':
			c.cost += objectCost
		case b == ',' || b == ':':
			c.cost += valueCost
		}
	}
	return c.cost - before
}

// ReserveDecoded reserves the memory that a JSON text takes when it is decoded, beside the text. It must be
// called before the text is decoded: values may take many times the memory of their text.
func ReserveDecoded(ctx context.Context, text []byte) error {
	var counter valueCounter
	return Reserve(ctx, counter.add(text)+int64(len(text)))
}
