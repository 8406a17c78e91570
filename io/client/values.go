package client

import (
	"bytes"
	"context"
)

// Memory that decoded JSON takes at most, in bytes: an object or array, and another value, both without
// their text.
const (
	objectCost = 256
	valueCost  = 64
)

// CountValues returns the number of objects and arrays in a JSON text, and that of their members and
// elements after the first. It does not decode the text, which may be invalid.
func CountValues(text []byte) (objects, values int) {
	for inString := false; len(text) > 0; {
		if inString {
			n := bytes.IndexAny(text, `"\`)
			switch {
			case n < 0 || text[n] == '\\' && n+2 > len(text):
				return objects, values
			case text[n] == '\\':
				text = text[n+2:]
			default:
				inString, text = false, text[n+1:]
			}
			continue
		}
		switch text[0] {
		case '"':
			inString = true
		case '{', '[':
			objects++
		case ',', ':':
			values++
		}
		text = text[1:]
	}
	return objects, values
}

// ReserveDecoded reserves the memory that a JSON text takes when it is decoded, beside the text. It must be
// called before the text is decoded: values may take many times the memory of their text.
func ReserveDecoded(ctx context.Context, text []byte) error {
	objects, values := CountValues(text)
	return Reserve(ctx, int64(objects*objectCost+values*valueCost+len(text)))
}
