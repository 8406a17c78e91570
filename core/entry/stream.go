package entry

import "papayaquay/core/member"

// streamOrigin is the software version of the server that began a stream. Servers of another
// version would join two texts.
type streamOrigin struct {
	known   bool
	version string
}

// beganOn returns the origin of a stream of which a server of a version has sent a part. The
// first such server counts.
func (o streamOrigin) beganOn(version string) streamOrigin {
	if o.known {
		return o
	}
	return streamOrigin{known: true, version: version}
}

// continuesOn reports whether a server may continue the stream. Any server may begin one.
func (o streamOrigin) continuesOn(b member.Backend) bool { return !o.known || o.version == b.Version() }
