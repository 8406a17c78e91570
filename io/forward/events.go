package forward

import (
	"bytes"
	"strconv"
)

// eventScanner parses the events of a text/event-stream body incrementally.
// Source: HTML Living Standard, "Server-sent events".
type eventScanner struct {
	pending []byte // bytes after the last complete event
	lastID  uint64 // id of the last complete event that has one
}

// feed appends bytes and returns the pending bytes up to the end of the last
// complete event, nil if there is none. The rest stays pending.
func (s *eventScanner) feed(data []byte) []byte {
	s.pending = append(s.pending, data...)
	end := lastEventEnd(s.pending)
	if end == 0 {
		return nil
	}
	complete := s.pending[:end:end]
	s.pending = append([]byte(nil), s.pending[end:]...)
	return complete
}

// continuesWith reports whether complete bytes begin with the event that follows the last
// one.
func (s *eventScanner) continuesWith(complete []byte) bool {
	end := len(complete)
	for _, blank := range []string{"\n\n", "\r\n\r\n"} {
		if i := bytes.Index(complete, []byte(blank)); i >= 0 {
			end = min(end, i+len(blank))
		}
	}
	var first eventScanner
	first.each(complete[:end], func(uint64, []byte) {})
	return first.lastID == s.lastID+1
}

// lastEventEnd returns the length of data up to and including its last blank
// line, 0 if there is none.
func lastEventEnd(data []byte) int {
	if i := bytes.LastIndex(data, []byte("\n\n")); i >= 0 {
		return i + 2
	}
	if i := bytes.LastIndex(data, []byte("\r\n\r\n")); i >= 0 {
		return i + 4
	}
	return 0
}

// each calls visit for each event of complete bytes. id is 0 for an event without
// a numeric id.
func (s *eventScanner) each(complete []byte, visit func(id uint64, data []byte)) {
	var id uint64
	var data []byte
	lines := 0
	for len(complete) > 0 {
		line, rest, _ := bytes.Cut(complete, []byte("\n"))
		complete = rest
		line = bytes.TrimSuffix(line, []byte("\r"))
		if len(line) == 0 {
			if lines > 0 || id > 0 {
				s.lastID = max(s.lastID, id)
				visit(id, data)
			}
			id, data, lines = 0, nil, 0
			continue
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			if n, err := strconv.ParseUint(string(value), 10, 64); err == nil {
				id = n // a response cannot be resumed after an event with another kind of id
			}
		case "data":
			if lines > 0 {
				data = append(data, '\n')
			}
			data = append(data, value...)
			lines++
		}
	}
}
