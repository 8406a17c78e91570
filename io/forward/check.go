package forward

import (
	"net/url"
	"strings"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrUnsendable is the error of a request that no backend server can receive.
var ErrUnsendable = errors.New("the request cannot be sent to any backend server")

// Check returns an error that wraps ErrUnsendable if the request cannot be encoded as HTTP/1.1 (RFC 9110, sections
// 5 and 7.1): its target is no path, or its host or a header is invalid.
func (r Request) Check() error {
	if _, err := url.ParseRequestURI(r.target); err != nil || !strings.HasPrefix(r.target, "/") {
		return errors.Wrap(ErrUnsendable, "target")
	}
	if !httpguts.ValidHostHeader(r.host) {
		return errors.Wrap(ErrUnsendable, "host")
	}
	for name, values := range r.header {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Wrapf(ErrUnsendable, "header %.64q", name)
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return errors.Wrapf(ErrUnsendable, "value of header %.64q", name)
			}
		}
	}
	return nil
}
