package member

import (
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

// ErrInvalid is the error of what no backend server can say of itself.
var ErrInvalid = errors.New("no backend server can say this of itself")

// maxTextBytes bounds each text that a server says of itself: every instance keeps it.
const maxTextBytes = 256

// Check returns an error that wraps ErrInvalid if other instances could not read what a server says of itself, or
// could not send its id back to it. What does not pass must not enter the directory or a ledger.
func (b Backend) Check() error {
	if b.id == "" || strings.ContainsFunc(b.id, isNoIDRune) {
		return errors.Wrapf(ErrInvalid, "id %.*q", maxTextBytes, b.id)
	}
	for _, text := range slices.Concat([]string{b.id, b.address, b.dataCentre, b.version}, b.services, b.models) {
		if len(text) > maxTextBytes || !utf8.ValidString(text) {
			return errors.Wrapf(ErrInvalid, "text of %d bytes: %.*q", len(text), maxTextBytes, text)
		}
	}
	return nil
}

// isNoIDRune reports whether a character cannot be part of an id, which is sent in the header of each request:
// a space or one that can't be printed.
func isNoIDRune(r rune) bool { return unicode.IsSpace(r) || !unicode.IsGraphic(r) }
