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
	mixed   bool
	only    string
	hasOnly bool
}

// NewVersionUse returns the use of one known version. mixed says that there may be others.
func NewVersionUse(mixed bool, only string) VersionUse {
	return VersionUse{mixed: mixed, only: only, hasOnly: true}
}

// SeveralVersions returns the use of several versions.
func SeveralVersions() VersionUse { return VersionUse{mixed: true} }

// Mixed reports whether servers of several versions took requests lately, or may have:
// streams that begin now must be recorded.
func (u VersionUse) Mixed() bool { return u.mixed }

// Only returns the one version that is known to have taken requests lately, and whether there
// is exactly one.
func (u VersionUse) Only() (version string, ok bool) { return u.only, u.hasOnly }

// versionKey is a software version of a service's servers.
type versionKey struct {
	service string
	version string
}

// versionRow is the time in which servers of a version were known.
type versionRow struct {
	firstSeen time.Time
	lastSeen  time.Time // with a server that took requests
	knownAt   time.Time // when a server was known last, also one that takes none
}

// History knows when servers of which versions took new requests. While a service has one
// version only, its streams need no records: History tells which version that was.
type History struct {
	startedAt time.Time
	rows      *table.Table[versionKey, versionRow]
}

// NewHistory returns a history that begins now.
func NewHistory(now time.Time) *History {
	return &History{startedAt: now, rows: table.New[versionKey, versionRow]()}
}

// Observe records that a server of a version is known, and whether it takes new requests.
func (h *History) Observe(now time.Time, service, version string, takesRequests bool) {
	key := versionKey{service, version}
	row := h.rows.Get(key)
	if row == nil {
		row = h.rows.Put(key, versionRow{firstSeen: now, lastSeen: now})
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
		use[key.service] = SeveralVersions()
		if len(recent) == 1 {
			use[key.service] = NewVersionUse(now.Sub(h.startedAt) < settleTime, recent[0].version)
		}
	})
	return use
}

// Unrecorded returns the version that began a stream which is not recorded: the only one of
// the time in which a stream needed no record. ok is false if that is not certain.
func (h *History) Unrecorded(now time.Time, service string) (version string, ok bool) {
	recent := h.recent(now, service, Retention)
	if len(recent) == 0 || now.Sub(h.startedAt) < Retention {
		return "", false
	}
	first := recent[0]
	if len(recent) == 1 {
		return first.version, true
	}
	second := recent[1]
	wasAlone := second.firstSeen.Sub(first.firstSeen) >= settleTime && now.Sub(second.firstSeen) < Retention
	return first.version, wasAlone
}

// recentVersion is a version and when its first server was seen.
type recentVersion struct {
	version   string
	firstSeen time.Time
}

// recent returns the versions of a service that took requests within a time, the one first
// seen first.
func (h *History) recent(now time.Time, service string, within time.Duration) []recentVersion {
	var versions []recentVersion
	h.rows.Each(func(key versionKey, row *versionRow) {
		if key.service == service && now.Sub(row.lastSeen) <= within {
			versions = append(versions, recentVersion{version: key.version, firstSeen: row.firstSeen})
		}
	})
	slices.SortFunc(versions, func(a, b recentVersion) int { return a.firstSeen.Compare(b.firstSeen) })
	return versions
}
