package batch

import (
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

// ErrInvalid is the error of a job or an id that can't be one.
var ErrInvalid = errors.New("no job can have this")

// Bounds of what a job says of itself.
const (
	maxIDBytes    = 256     // of the id of a job or an item
	maxItemTokens = 1 << 40 // those of all items of a route are added up
)

// CanExist reports whether a job or an item with an id may have been accepted, also by an earlier version.
func CanExist(id string) bool { return utf8.ValidString(id) }

// checkID returns an error that wraps ErrInvalid if a text must not become the id of a job or an item.
func checkID(id string) error {
	if id == "" || len(id) > maxIDBytes || !CanExist(id) || strings.ContainsFunc(id, unicode.IsControl) {
		return errors.Wrapf(ErrInvalid, "id %.*q", maxIDBytes, id)
	}
	return nil
}

// Check returns an error that wraps ErrInvalid if a store instance could not read the job, or not count its tokens.
func (s JobSpec) Check() error {
	if err := checkID(s.id); err != nil {
		return err
	}
	for _, text := range []string{s.route, s.host} {
		if !utf8.ValidString(text) {
			return errors.Wrapf(ErrInvalid, "route or host %.*q", maxIDBytes, text)
		}
	}
	for n, i := range s.items {
		if err := i.check(); err != nil {
			return errors.Wrapf(err, "item %d", n)
		}
	}
	return nil
}

// check returns an error that wraps ErrInvalid if a store instance could not read the item.
func (i Item) check() error {
	if err := checkID(i.id); err != nil {
		return err
	}
	if i.tokens < 0 || i.tokens > maxItemTokens {
		return errors.Wrapf(ErrInvalid, "%d tokens", i.tokens)
	}
	if !utf8.ValidString(i.path) {
		return errors.Wrapf(ErrInvalid, "path %.*q", maxIDBytes, i.path)
	}
	for _, h := range i.headers {
		if !utf8.ValidString(h.name) || !utf8.ValidString(h.value) {
			return errors.Wrapf(ErrInvalid, "header %.*q", maxIDBytes, h.name)
		}
	}
	return nil
}
