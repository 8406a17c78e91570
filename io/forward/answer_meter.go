package forward

import (
	"bytes"
	"mime"
	"net/http"
)

// eventStreamType is the media type of streams of events.
const eventStreamType = "text/event-stream"

// Limits of answers. A server may send bytes that are no answer until the connection is
// closed. The time of an answer is limited by the deadline of its request, or by the
// runner of items.
const (
	maxEventBytes  = 256 << 10 // of one event
	maxAnswerBytes = 64 << 20  // of the body of a request's answer
	maxItemBytes   = 1 << 20   // of the body of an item's answer, which is kept in memory
)

// answerMeter follows the bytes of an answer's body and knows where events end.
type answerMeter struct {
	stream     bool  // the answer says that it is a stream of events
	untilClose bool  // the body ends with the connection, so its end does not show that it is complete
	events     bool  // the body is read as events
	maxBytes   int64 // of the body
	totalBytes int64
	eventBytes int64 // since the end of the last event
	lineBytes  int64 // of the current line
}

// newAnswerMeter returns a meter for an answer with the given maximum size.
func newAnswerMeter(response *http.Response, maxBytes int64) answerMeter {
	stream := hasEvents(response.Header)
	untilClose := response.ContentLength < 0 && len(response.TransferEncoding) == 0
	return answerMeter{maxBytes: maxBytes, stream: stream, events: stream, untilClose: untilClose}
}

// hasEvents reports whether the header is that of a stream of events.
func hasEvents(h http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && mediaType == eventStreamType
}

// isEventStream reports whether a response is a successful one with a stream of events.
func isEventStream(response *http.Response) bool {
	return response.StatusCode == http.StatusOK && hasEvents(response.Header)
}

// add counts the next bytes of the body. An event ends with an empty line.
func (m *answerMeter) add(data []byte) {
	m.totalBytes += int64(len(data))
	if !m.events {
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

// exceeded reports whether the body or its current event is longer than allowed.
func (m *answerMeter) exceeded() bool {
	return m.totalBytes > m.maxBytes || m.eventBytes > maxEventBytes
}

// brokenOff reports whether a stream that ends here was broken off, even if its end looks
// regular: it ends inside an event, or with its connection before the first byte.
func (m *answerMeter) brokenOff() bool {
	return m.stream && (m.eventBytes > 0 || (m.untilClose && m.totalBytes == 0))
}
