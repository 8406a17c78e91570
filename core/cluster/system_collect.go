package cluster

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"papayaquay/core/directory"

	"github.com/cespare/xxhash/v2"
)

// Constants of the store instances that collect the load reports of entry
// instances.
const (
	maxDirectStores     = 6           // with more store instances, entry instances report to one of them instead of the leader
	collectorRetryDelay = time.Second // how long a store instance that did not answer gets no reports
)

// collector returns the address of the store instance that takes this entry
// instance's reports, or "" if there are so few store instances that all reports
// can go to the leader. It prefers store instances in the same data centre; a
// hash spreads the entry instances over them.
func (w *World) collector(now time.Time) string {
	l := w.loadReporter
	if l.collecting {
		return ""
	}
	if l.collectorsVersion != w.directory.MembershipVersion() || l.collectors == nil {
		l.collectors, l.collectorsVersion = w.rankCollectors(), w.directory.MembershipVersion()
	}
	if len(l.collectors) <= maxDirectStores {
		return ""
	}
	for _, address := range l.collectors {
		if now.After(l.avoid[address]) {
			return address
		}
	}
	return ""
}

// rankCollectors returns the store instances in this instance's order of
// preference.
func (w *World) rankCollectors() []string {
	type candidate struct {
		address        string
		sameDataCentre bool
		weight         uint64
	}
	rows := []candidate{}
	for _, n := range w.directory.Instances(directory.RoleStore) {
		rows = append(rows, candidate{n.Address(), n.DataCentre() == w.self.DataCentre(),
			xxhash.Sum64String(w.self.Address() + "\x00" + n.Address())})
	}
	slices.SortFunc(rows, func(a, b candidate) int {
		if a.sameDataCentre != b.sameDataCentre {
			if a.sameDataCentre {
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

// serveCollect records the load of an entry instance at a store instance. It
// answers with the load totals that the leader sent last plus the newest reports
// received here.
func (w *World) serveCollect(now time.Time, requester requesterKey, payload []byte) {
	h := w.jobs
	if h == nil {
		w.redirect(requester)
		return
	}
	if w.ledgers.Leads(now, JobsLedger) {
		w.serveUsage(now, requester, payload)
		return
	}
	request, err := w.codec.SyncRequest.Decode(payload)
	if !w.canUse("collect", requester.from, err) {
		return
	}
	h.usage.SetReport(now, requester.from, request.Report())
	w.loadReporter.collecting = true
	w.loadReporter.setReport(now, h.usage.Total(now))
	loads := maps.Clone(w.loadReporter.loads)
	if loads == nil {
		loads = make(Loads)
	}
	h.usage.Each(func(backend string, online int) {
		loads[backend] = loads[backend].Add(online, 0)
	})
	w.addCollectedLimits(now, loads)
	w.replyLoadUpdate(requester, loads, request.Cursor())
}
