package forward

import (
	"bytes"
	"mime"
	"net/http"
)

// eventStreamType is the media type of streams of events.
const eventStreamType = "text/event-stream"

// answerMeter follows the bytes of an answer's body and knows where events end.
type answerMeter struct {
	stream     bool  // the answer is a stream of events
	eventBytes int64 // since the end of the last event
	lineBytes  int64 // of the current line
}

// newAnswerMeter returns a meter for the answer with the given header.
func newAnswerMeter(h http.Header) answerMeter {
	mediaType, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return answerMeter{stream: err == nil && mediaType == eventStreamType}
}

// add counts the next bytes of the body. An event ends with an empty line.
func (m *answerMeter) add(data []byte) {
	if !m.stream {
		return
	}
	for len(data) > 0 {
		line, rest, ended := bytes.Cut(data, []byte("\n"))
		data = rest
		m.eventBytes += int64(len(line))
		m.lineBytes += int64(len(bytes.TrimSuffix(line, []byte("\r"))))
		if !ended {
			return
		}
		m.eventBytes++
		if m.lineBytes == 0 {
			m.eventBytes = 0
		}
		m.lineBytes = 0
	}
}

// insideEvent reports whether the bytes so far end inside an event. A stream that ends
// there was broken off, even if its end looks regular.
func (m *answerMeter) insideEvent() bool { return m.eventBytes > 0 }
