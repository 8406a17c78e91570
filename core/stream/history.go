package stream

import (
	"slices"
	"time"

	"papayaquay/core/table"
)

// settleTime is the time after the start of an instance in which it may not know all servers.
const settleTime = 5 * time.Second

// VersionUse says which software versions of a service's servers take requests.
type VersionUse struct {
	mixed bool
	later []string // versions that came, or may have come, while another one was in use
}

// NewVersionUse returns the use of versions. mixed says that there are several, or may be;
// later are those that came lately, or may have come, while another one was in use.
func NewVersionUse(mixed bool, later ...string) VersionUse {
	return VersionUse{mixed: mixed, later: later}
}

// Mixed reports whether servers of several versions took requests lately, or may have:
// streams that begin now must be recorded. It says only what this instance was told last, so
// it must not decide where a stream goes on that another instance may have begun.
func (u VersionUse) Mixed() bool { return u.mixed }

// MustRecord reports whether a stream may begin on servers of a version only when it is
// recorded. Other instances conclude that a stream without a record began on the version that
// was in use before.
func (u VersionUse) MustRecord(version string) bool { return slices.Contains(u.later, version) }

// versionKey is a software version of a service's servers.
type versionKey struct {
	service string
	version string
}

// versionRow is the time in which servers of a version were known.
type versionRow struct {
	firstSeen time.Time
	notBefore time.Time // before firstSeen; when no server was known yet, zero if that is not known
	lastSeen  time.Time // with a server that took requests
	knownAt   time.Time // when a server was known last, also one that takes none
}

// History knows when servers of which versions took new requests. While a service has one
// version only, its streams need no records: History tells which version that was.
type History struct {
	startedAt   time.Time
	firstStart  bool      // of the whole deployment: nothing was in use before
	lastContact time.Time // with what knows all servers, when they were observed last
	rows        *table.Table[versionKey, versionRow]
}

// NewHistory returns a history that begins now.
func NewHistory(now time.Time) *History {
	return &History{startedAt: now, rows: table.New[versionKey, versionRow]()}
}

// BeginDeployment says that the whole deployment starts with this history: no version was in use
// before.
func (h *History) BeginDeployment() { h.firstStart = true }

// ContactedAt says that all servers were observed that were known at a time to the instances that
// know all.
func (h *History) ContactedAt(at time.Time) {
	if at.After(h.lastContact) {
		h.lastContact = at
	}
}

// notBefore returns a time at which a version was not in use that is seen for the first time now,
// zero if it may have been in use all along.
func (h *History) notBefore(now time.Time) time.Time {
	switch {
	case now.Sub(h.startedAt) >= settleTime:
		return h.lastContact
	case h.firstStart:
		return h.startedAt
	}
	return time.Time{}
}

// Observe records that a server of a version is known, and whether it takes new requests.
func (h *History) Observe(now time.Time, service, version string, takesRequests bool) {
	key := versionKey{service, version}
	row := h.rows.Get(key)
	if row == nil {
		row = h.rows.Put(key, versionRow{firstSeen: now, notBefore: h.notBefore(now), lastSeen: now})
	}
	row.knownAt = now
	if takesRequests {
		row.lastSeen = now
	}
}

// Run forgets versions without servers.
func (h *History) Run(now time.Time) {
	h.rows.Each(func(key versionKey, row *versionRow) {
		if now.Sub(row.lastSeen) > 2*Retention && now.Sub(row.knownAt) > 2*Retention {
			h.rows.Remove(key)
		}
	})
}

// InUse returns which versions of each service take requests.
func (h *History) InUse(now time.Time) map[string]VersionUse {
	use := make(map[string]VersionUse)
	h.rows.Each(func(key versionKey, _ *versionRow) {
		if _, ok := use[key.service]; ok {
			return
		}
		recent := h.recent(now, key.service, 2*Retention)
		mixed := len(recent) != 1 || now.Sub(h.startedAt) < settleTime
		use[key.service] = NewVersionUse(mixed, laterVersions(now, recent)...)
	})
	return use
}

// laterTime is the time after its first server in which a version counts as a later one. It is
// longer than Retention, since other instances may learn of it later.
const laterTime = Retention + 2*settleTime

// minLead is the time by which a version must be the earlier one for others to conclude it. They
// require settleTime by their own observations, which may differ by the rest.
const minLead = settleTime - 2*time.Second

// laterVersions returns the versions that came within laterTime and before which another one may
// have been in use that still is. Other instances may conclude the earlier version of streams
// without a record. An instance that was started or out of contact when two versions came does not
// know which is the earlier one, so both count as later.
func laterVersions(now time.Time, recent []recentVersion) []string {
	var later []string
	for _, v := range recent {
		hasEarlier := slices.ContainsFunc(recent, func(other recentVersion) bool {
			return other.version != v.version && v.firstSeen.Sub(other.notBefore) >= minLead && now.Sub(other.lastSeen) < settleTime
		})
		if hasEarlier && now.Sub(v.firstSeen) < laterTime {
			later = append(later, v.version)
		}
	}
	return later
}

// Unrecorded returns which version began a stream that is not recorded: the only one of the
// time in which a stream needed no record.
func (h *History) Unrecorded(now time.Time, service string) Answer {
	recent := h.recent(now, service, Retention)
	age := now.Sub(h.startedAt)
	switch {
	case len(recent) == 0 || age < settleTime:
		return Answer{}
	case len(recent) == 1:
		return NewAnswer(Deduced, recent[0].version)
	case age < Retention:
		return Answer{} // the versions that were in use before the start are not known
	}
	first, second := recent[0], recent[1]
	wasAlone := second.firstSeen.Sub(first.firstSeen) >= settleTime
	if !wasAlone || now.Sub(second.firstSeen) >= Retention {
		return NewAnswer(Ambiguous, "")
	}
	return NewAnswer(Deduced, first.version)
}

// Sole returns the version of a service's servers if there was no other one lately.
func (h *History) Sole(now time.Time, service string) Answer {
	if len(h.recent(now, service, Retention)) > 1 {
		return NewAnswer(Ambiguous, "")
	}
	return h.Unrecorded(now, service)
}

// recentVersion is a version, when its first server was seen and at the earliest came, and when one
// took requests last.
type recentVersion struct {
	version   string
	firstSeen time.Time
	notBefore time.Time
	lastSeen  time.Time
}

// recent returns the versions of a service that took requests within a time, the one first
// seen first.
func (h *History) recent(now time.Time, service string, within time.Duration) []recentVersion {
	var versions []recentVersion
	h.rows.Each(func(key versionKey, row *versionRow) {
		if key.service == service && now.Sub(row.lastSeen) <= within {
			versions = append(versions, recentVersion{version: key.version, firstSeen: row.firstSeen, notBefore: row.notBefore, lastSeen: row.lastSeen})
		}
	})
	slices.SortFunc(versions, func(a, b recentVersion) int { return a.firstSeen.Compare(b.firstSeen) })
	return versions
}
