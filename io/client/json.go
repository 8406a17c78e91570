package client

import (
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	jsonv1 "github.com/go-json-experiment/json/v1"
)

// ErrAmbiguousJSON is the error of a JSON text of which two readers may understand different things.
var ErrAmbiguousJSON = errors.New("the JSON text is not valid, or not UTF-8, or has a field twice")

// CheckJSON returns an error that wraps ErrAmbiguousJSON if a text is not one JSON value in UTF-8 whose objects
// have each field once (RFC 7493, I-JSON). The decoder of the standard library accepts such texts: it replaces the
// bytes, and takes the last of the fields.
func CheckJSON(text []byte) error {
	decoder := jsontext.NewDecoder(bytes.NewBuffer(text))
	err := decoder.SkipValue()
	if err == nil {
		if _, err = decoder.ReadToken(); err == io.EOF {
			return nil
		}
	}
	return errors.Wrapf(ErrAmbiguousJSON, "%v", err)
}

// CheckFields is like CheckJSON for a text that will be decoded into a variable like the one that value points to.
// The standard library ignores the case of its fields, so two fields that differ only in case are the same one.
func CheckFields(text []byte, value any) error {
	err := json.Unmarshal(text, value, json.MatchCaseInsensitiveNames(true), jsonv1.MatchCaseSensitiveDelimiter(true))
	if err != nil {
		return errors.Wrapf(ErrAmbiguousJSON, "%v", err)
	}
	return nil
}
