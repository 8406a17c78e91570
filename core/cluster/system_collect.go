package cluster

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"papayaquay/core/directory"
	"papayaquay/core/event"
	"papayaquay/core/usage"

	"github.com/cespare/xxhash/v2"
)

// Store instances that collect the reports of entries.
const (
	collectAbove = 6           // store instances above which entries report to one of them, not to the leader
	collectAvoid = time.Second // without reports to a store instance that did not answer
)

// collector returns the store instance that takes this entry's reports, or
// nothing where there are so few that they can all go to the leader. Those in
// the same data centre go first; entries spread over them by hash.
func (w *World) collector(now time.Time) string {
	s := w.share
	if s.collect {
		return ""
	}
	if s.storesOf != w.directory.MembershipVersion() || s.stores == nil {
		s.stores, s.storesOf = w.rankStores(), w.directory.MembershipVersion()
	}
	if len(s.stores) <= collectAbove {
		return ""
	}
	for _, address := range s.stores {
		if now.After(s.avoid[address]) {
			return address
		}
	}
	return ""
}

// rankStores returns the store instances in this entry's order of preference.
func (w *World) rankStores() []string {
	type ranked struct {
		address string
		near    bool
		weight  uint64
	}
	rows := []ranked{}
	for _, n := range w.directory.Nodes(directory.RoleStore) {
		rows = append(rows, ranked{n.Address(), n.DataCentre() == w.self.DataCentre(),
			xxhash.Sum64String(w.self.Address() + "\x00" + n.Address())})
	}
	slices.SortFunc(rows, func(a, b ranked) int {
		if a.near != b.near {
			if a.near {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.weight, a.weight)
	})
	addresses := make([]string, 0, len(rows))
	for _, r := range rows {
		addresses = append(addresses, r.address)
	}
	return addresses
}

// serveCollect takes an entry's load at a store instance and answers with the
// sums as last heard from the leader and the newest of the entries here.
func (w *World) serveCollect(now time.Time, asker askerKey, payload []byte) {
	h := w.jobs
	if h == nil {
		w.redirect(asker)
		return
	}
	if w.ledgers.Leads(now, JobsLedger) {
		w.serveUsage(now, asker, payload)
		return
	}
	enquiry, err := w.codec.UsageRequest.Decode(payload)
	if err != nil {
		event.CallEncodingFailed.Log(w.logger, "call", "collect", "from", asker.from, "error", err)
		return
	}
	h.usage.SetReport(now, asker.from, enquiry.Report())
	w.share.collect = true
	w.share.set(h.usage.Total())
	loads := maps.Clone(w.share.loads)
	if loads == nil {
		loads = make(Loads)
	}
	h.usage.Each(func(backend string, online int) {
		loads[backend] = usage.NewLoad(loads[backend].Online()+online, loads[backend].Batch())
	})
	w.answerSums(asker, loads, enquiry.Cursor())
}
