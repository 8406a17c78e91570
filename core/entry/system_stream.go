package entry

import (
	"slices"
	"time"

	"papayaquay/core/event"
	"papayaquay/core/stream"
)

// unknownOriginRetry is the time after which a stream may be taken up again whose version is
// not known.
const unknownOriginRetry = 400 * time.Millisecond

// mustRecord reports whether the version of the current attempt's server must be recorded
// before its answer reaches the caller: the caller may take the stream up at another
// instance, which then must not guess.
func (w *World) mustRecord(row *requestRow) bool {
	return row.request.resumable && !row.stream.known && w.snapshot().Versions(row.request.service).Mixed()
}

// unrecordedPause is how long servers are not used whose streams must be recorded, after a record
// was not confirmed.
const unrecordedPause = time.Second

// mustRecordFirst reports whether the current attempt may be sent only when its record is
// confirmed: because of the server's version, or because a record of an earlier attempt names
// another one.
func (w *World) mustRecordFirst(row *requestRow) bool {
	if !row.recording {
		return false
	}
	return w.needsRecord(row, row.version) || slices.ContainsFunc(row.recorded, func(v string) bool { return v != row.version })
}

// needsRecord reports whether servers of a version may begin the answer to a request only when
// that is recorded.
func (w *World) needsRecord(row *requestRow, version string) bool {
	return row.request.resumable && !row.stream.known && w.snapshot().Versions(row.request.service).MustRecord(version)
}

// keepOrigin keeps which version begins the answer, for callers that take it up again here.
func (w *World) keepOrigin(now time.Time, row *requestRow) {
	if !row.request.resumable || row.stream.known {
		return
	}
	w.began.Add(now, stream.NewRecord(stream.NewID(row.request.id), len(row.tried)+1, row.version))
}

// mustFindOrigin reports whether it must be found out which version began the stream that a
// request takes up. That this instance knows one version only proves nothing: its list of
// servers may be older than the stream.
func (r Request) mustFindOrigin() bool { return r.isTakenUp && r.resumable }

// findOrigin finds out which version began the stream that a request takes up.
func (w *World) findOrigin(now time.Time, number uint64, row *requestRow) {
	if row.request.begunBy == "" {
		w.findStream(number, stream.NewQuery(0, row.request.service))
		return
	}
	id := stream.NewID(row.request.begunBy)
	if r, ok := w.began.Find(now, id); ok {
		w.originFound(now, number, r.Answer())
		return
	}
	w.findStream(number, stream.NewQuery(id, row.request.service))
}

// originFound continues with a request that takes up a stream. It is rejected if the version
// that began the stream is not known: another one would join two texts.
func (w *World) originFound(now time.Time, number uint64, answer stream.Answer) {
	row := w.requests.Get(number)
	if row == nil {
		return
	}
	version, ok := answer.Version(), answer.Certainty() == stream.Recorded || answer.Certainty() == stream.Deduced
	event.StreamTakenUp.Log(w.logger, "request", row.request.id, "begun_by", row.request.begunBy, "version", version,
		"certainty", answer.Certainty().String(), "known", ok, "ms", now.Sub(row.request.arrived).Milliseconds())
	if !ok {
		w.endUnanswered(now, number, row, "version of the stream unknown", unknownOriginRetry)
		return
	}
	row.stream = row.stream.beganOn(version)
	w.dispatch(now, number, row)
}
