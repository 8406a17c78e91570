package backend

import (
	"testing"

	papayaquayv1 "papayaquay/proto/papayaquay/v1"

	qt "github.com/frankban/quicktest"
)

// TestForeignAnnouncement guards against announcements of another writer, with fields missing, that
// replace a server's own (review/6 in the schema of serve).
func TestForeignAnnouncement(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*papayaquayv1.AnnounceRequest)
		valid  bool
	}{
		{"all fields", func(*papayaquayv1.AnnounceRequest) {}, true},
		{"no id", func(m *papayaquayv1.AnnounceRequest) { m.Id = "" }, false},
		{"no address", func(m *papayaquayv1.AnnounceRequest) { m.Address = "" }, false},
		{"no slots", func(m *papayaquayv1.AnnounceRequest) { m.Slots = 0 }, false},
		{"no data centre", func(m *papayaquayv1.AnnounceRequest) { m.DataCentre = "" }, false},
		{"no incarnation", func(m *papayaquayv1.AnnounceRequest) { m.Incarnation = 0 }, false},
		{"no sequence", func(m *papayaquayv1.AnnounceRequest) { m.Sequence = 0 }, false},
		{"no services", func(m *papayaquayv1.AnnounceRequest) { m.Services = nil }, false},
		{"empty service", func(m *papayaquayv1.AnnounceRequest) { m.Services = []string{"s", ""} }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			m := &papayaquayv1.AnnounceRequest{Id: "b1", Address: "http://10.0.0.1:80", DataCentre: "d1", Protocol: "engine", Slots: 8,
				Services: []string{"s"}, Incarnation: 5, Sequence: 1}
			test.change(m)
			_, err := toBackend(m)
			qt.Assert(t, err == nil, qt.Equals, test.valid, qt.Commentf("%v", err))
		})
	}
}
