package test

import (
	"fmt"
	"testing"
	"time"

	papayaquayv1 "papayaquay/proto/papayaquay/v1"

	qt "github.com/frankban/quicktest"
)

// TestPartitions separates data centres by a network partition. Each side answers
// retryable requests during the partition, the side with a majority continues its
// job, and at-most-once requests run at most once. After the partition each key
// has one answer, which is in its home ledger.
func TestPartitions(t *testing.T) {
	four := []string{"windhoek-north", "windhoek-south", "okahandja", "rehoboth"}
	for _, test := range []struct {
		name      string
		centres   []string
		sides     [2][]string
		blackhole bool
		oneWay    bool
	}{
		{"one isolated, packets dropped", threeCentres, [2][]string{threeCentres[:2], threeCentres[2:]}, true, false},
		{"one isolated, connections closed", threeCentres, [2][]string{threeCentres[:2], threeCentres[2:]}, false, false},
		{"one isolated, one direction", threeCentres, [2][]string{threeCentres[:2], threeCentres[2:]}, true, true},
		{"two and two", four, [2][]string{four[:2], four[2:]}, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			sys := startSystem(t, systemOptions{centres: test.centres, perCentre: 2, engines: len(test.centres), extraSettings: fastShutdown, proxied: true})
			urls := sys.layout.URLs()
			sys.submitJob(urls[0], "lot", 100, 8)
			sys.partition(test.sides[0], test.sides[1], test.blackhole)
			if !test.oneWay {
				sys.partition(test.sides[1], test.sides[0], test.blackhole)
			}
			time.Sleep(3 * time.Second)
			var h history
			for n, url := range urls {
				for _, once := range []bool{false, true} {
					key := fmt.Sprintf("cut-%d-%v", n, once)
					m := newAskRequest(key, "prompt "+key, 8)
					m.Once = once
					r := ask(sys.ctx, url, m)
					h.add(sys, m, r)
					if !once {
						sys.checkAnswer(r, m.GetPrompt(), 8)
					}
				}
			}
			sys.awaitJob(urls[0], "lot")
			sys.heal()
			sys.awaitReady()
			time.Sleep(3 * time.Second)
			sys.checkJob(urls[len(urls)-1], "lot", 100, 8)
			sys.c.Assert(sys.violations(&h, urls[0]), qt.HasLen, 0)
			for _, o := range h.observations {
				if o.result.answer.GetCode() == papayaquayv1.Code_CODE_OK {
					sys.c.Assert(sys.fetch(urls[len(urls)-1], o.request.GetKey()).GetLocalOnly(), qt.IsFalse)
				}
			}
		})
	}
}
