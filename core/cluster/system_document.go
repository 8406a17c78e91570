package cluster

import (
	"time"

	"papayaquay/core/call"
	"papayaquay/core/registry"

	"github.com/cespare/xxhash/v2"
)

// Sizes and timing of the transfer of configuration documents.
const (
	documentPartBytes   = 64 << 10    // other messages wait behind one part at most
	documentPartTimeout = time.Second // for one part, also on a slow link
	documentRetryDelay  = 100 * time.Millisecond
	documentLedgerDelay = 500 * time.Millisecond // in which a control instance gets a document by the ledger
)

// documentFetch fetches newer configuration documents from the upstreams, one part at a
// time and from one upstream at a time. Documents are not part of poll responses: a poll
// that timed out would transfer them again, and the changes of servers would wait behind
// them.
type documentFetch struct {
	announced   map[string]uint64 // number of the newest document, by upstream
	newest      uint64            // highest announced number
	announcedAt time.Time         // when newest was announced
	fetched     uint64            // highest number of a document that was fetched to its end
	part        DocumentPart      // newest part of the document that is being fetched
	data        []byte            // its parts so far
	pending     bool              // a call is pending
	retryAt     time.Time
	failures    int // selects the upstream
}

// newDocumentFetch returns a fetch without documents.
func newDocumentFetch() *documentFetch { return &documentFetch{announced: make(map[string]uint64)} }

// announce records the number of the newest document of an upstream.
func (f *documentFetch) announce(now time.Time, upstream string, number uint64) {
	f.announced[upstream] = number
	if number > f.newest {
		f.newest, f.announcedAt = number, now
	}
}

// sources returns the upstreams among the given ones that have a document newer than number.
func (f *documentFetch) sources(upstreams []string, number uint64) []string {
	var sources []string
	for _, address := range upstreams {
		if f.announced[address] > number {
			sources = append(sources, address)
		}
	}
	return sources
}

// add appends a part. A part of another document replaces the parts so far. It reports
// whether the document is complete.
func (f *documentFetch) add(part DocumentPart) bool {
	if part.offset == 0 {
		f.data = nil
	}
	continues := part.offset == 0 || (part.number == f.part.number && part.checksum == f.part.checksum)
	if !continues || part.offset != len(f.data) || len(part.data) == 0 {
		f.reset()
		return false
	}
	f.part, f.data = part, append(f.data, part.data...)
	return len(f.data) >= part.size
}

// reset forgets the parts so far.
func (f *documentFetch) reset() { f.part, f.data = DocumentPart{}, nil }

// runDocumentFetch asks an upstream for the next part of a newer document.
func (w *World) runDocumentFetch(now time.Time) {
	f := w.documents
	w.forgetAnnouncements()
	sources := w.documentSources()
	if f.pending || len(sources) == 0 || now.Before(w.documentFetchDue()) {
		return
	}
	address := sources[f.failures%len(sources)]
	payload, err := w.codec.DocumentRequest.Encode(NewDocumentRequest(f.part.number, len(f.data)))
	if err != nil {
		w.codingFailed("document part", "to", address, err)
		f.retryAt = now.Add(documentRetryDelay)
		return
	}
	f.pending = true
	c := call.New(call.KindDocumentPart, call.TargetInstance, now.Add(documentPartTimeout), payload, call.WithAddress(address))
	w.calls.Start(now, c, func(reply call.Reply) { w.receiveDocumentPart(address, reply) })
}

// forgetAnnouncements forgets what upstreams announced that are no longer polled or were
// chosen again.
func (w *World) forgetAnnouncements() {
	for address := range w.documents.announced {
		if row := w.upstreams.rows.Get(address); row == nil || !row.answered {
			delete(w.documents.announced, address)
		}
	}
}

// documentSources returns the upstreams that have a document which is newer than those that
// this instance has or has fetched.
func (w *World) documentSources() []string {
	f := w.documents
	have := max(w.document.Number(), f.fetched)
	if f.newest <= have {
		return nil
	}
	return f.sources(w.upstreams.rows.Keys(), have)
}

// documentFetchDue returns the earliest time of the next call for a part.
func (w *World) documentFetchDue() time.Time {
	f := w.documents
	if due := f.announcedAt.Add(documentLedgerDelay); w.registry != nil && due.After(f.retryAt) {
		return due
	}
	return f.retryAt
}

// nextDocumentFetch returns the time of the next call for a part, and whether there is one.
func (w *World) nextDocumentFetch() (time.Time, bool) {
	f := w.documents
	return w.documentFetchDue(), !f.pending && len(w.documentSources()) > 0
}

// receiveDocumentPart handles the reply to a call for a part. A part that did not arrive is
// asked for again at another upstream.
func (w *World) receiveDocumentPart(address string, reply call.Reply) {
	f := w.documents
	f.pending, w.runAgain = false, true
	if reply.Status() != call.StatusDone {
		f.failures++
		f.retryAt = w.now.Add(documentRetryDelay)
		return
	}
	part, err := w.codec.DocumentPart.Decode(reply.Payload())
	if err != nil {
		w.codingFailed("document part", "from", address, err)
		f.failures++
		f.retryAt = w.now.Add(documentRetryDelay)
		return
	}
	if f.add(part) {
		w.finishDocumentFetch(address)
	}
}

// finishDocumentFetch puts a fetched document in force. One that cannot be decoded is not
// fetched again.
func (w *World) finishDocumentFetch(address string) {
	f := w.documents
	part, data := f.part, f.data
	f.reset()
	if xxhash.Sum64(data) != part.checksum {
		f.failures++
		f.retryAt = w.now.Add(documentRetryDelay)
		return
	}
	if part.number <= max(w.document.Number(), f.fetched) {
		f.failures++ // this upstream has no newer one any more
		f.retryAt = w.now.Add(documentRetryDelay)
		return
	}
	f.fetched = part.number
	document, err := w.codec.Document.Decode(data)
	if err != nil {
		w.codingFailed("document part", "from", address, err)
		return
	}
	w.setDocument(document, "upstream "+address)
}

// serveDocumentPart answers with a part of the document that the requester is fetching. If
// it is not known any more, the requester gets the start of the newest one.
func (w *World) serveDocumentPart(now time.Time, requester requesterKey, r call.Request) {
	request, err := w.codec.DocumentRequest.Decode(r.Payload())
	if err != nil {
		w.codingFailed("document part", "from", requester.from, err)
		return
	}
	part, err := w.documentPart(now, request)
	if err != nil {
		w.codingFailed("document part", "to", requester.from, err)
		return
	}
	if part.number == 0 {
		w.reply(requester, call.StatusUnknown, nil)
		return
	}
	payload, err := w.codec.DocumentPart.Encode(part)
	if err != nil {
		w.codingFailed("document part", "to", requester.from, err)
		return
	}
	w.reply(requester, call.StatusDone, payload)
}

// documentPart returns the part that a request asks for, or the start of the newest
// document. Its number is 0 if there is no document.
func (w *World) documentPart(now time.Time, request DocumentRequest) (DocumentPart, error) {
	row := w.encoded.get(now, request.number)
	if row == nil && w.document.Number() == 0 {
		return DocumentPart{}, nil
	}
	if row == nil {
		row = w.encoded.get(now, w.document.Number())
	}
	if row == nil {
		var err error
		if row, err = w.encoded.add(now, w.document, w.codec.Document.Encode); err != nil {
			return DocumentPart{}, err
		}
	}
	if row.number != request.number || request.offset >= len(row.data) {
		return row.part(0), nil
	}
	return row.part(request.offset), nil
}

// announcedDocument returns the newest document for a poll response: its number only if the
// poller fetches documents in parts.
func (w *World) announcedDocument(request PollRequest) registry.Document {
	switch {
	case request.configNumber >= w.document.Number():
		return registry.Document{}
	case request.fetchesParts:
		return registry.NewDocument(w.document.Number(), nil)
	}
	return w.document
}
