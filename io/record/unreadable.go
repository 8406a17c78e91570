package record

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"unicode/utf8"

	"papayaquay/core/cluster"

	"github.com/cockroachdb/errors"
)

// Bounds of the error that names unreadable records.
const (
	maxNamedRecords = 3
	maxNameBytes    = 64
)

// unreadable decodes a message of many records and collects those that hold a text which is no UTF-8.
// Go encodes such a text, and RFC 8949 (section 3.1) forbids it: one record must not cost the others.
type unreadable struct {
	cause error // of the decoding of the whole message, nil if all records can be read
	count int
	names []string
}

// decode decodes a message into the variable that value points to. If texts in it are no UTF-8, the caller
// must leave out the records that hold them.
func (u *unreadable) decode(data []byte, value any) error {
	err := Decode(data, value)
	if err == nil {
		return nil
	}
	reflect.ValueOf(value).Elem().SetZero()
	if lenientDecoder.Unmarshal(data, value) != nil {
		return err
	}
	u.cause = err
	return nil
}

// holds reports whether one of the texts of a record is no UTF-8. The first text names the record.
func (u *unreadable) holds(kind string, texts ...string) bool {
	if u.cause == nil || !slices.ContainsFunc(texts, isNoUTF8) {
		return false
	}
	if u.count++; len(u.names) < maxNamedRecords {
		name := texts[0]
		u.names = append(u.names, fmt.Sprintf("%s %q", kind, name[:min(len(name), maxNameBytes)]))
	}
	return true
}

// err returns an error that names the records, nil if there are none. If it is not one of the records that
// could not be read, it is the cause.
func (u *unreadable) err() error {
	switch {
	case u.cause == nil:
		return nil
	case u.count == 0:
		return u.cause
	}
	return errors.Wrapf(cluster.ErrUnreadableRecords, "%v: %d, of them %s", u.cause, u.count, strings.Join(u.names, ", "))
}

// isNoUTF8 reports whether a text is not valid UTF-8.
func isNoUTF8(text string) bool { return !utf8.ValidString(text) }
