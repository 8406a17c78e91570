package quarantine

import (
	"log/slog"
	"time"

	"papayaquay/core/event"
	"papayaquay/core/table"
)

// Bounds of the table.
const (
	maxCrashes          = 256              // the oldest are deleted first
	crashRetention      = 10 * time.Minute // age at which a crash is deleted
	expiryInterval      = time.Second
	attributionInterval = 50 * time.Millisecond // between attributions of changed evidence
)

// World holds the crashes that one instance knows and the rejections that follow from
// them. Only the control thread may use it.
type World struct {
	epoch             uint64
	version           uint64
	localVersion      uint64 // of the last change that was observed here
	logger            *slog.Logger
	crashes           *table.Table[CrashID, crashRow]
	view              *View
	nextAttribution   time.Time // when a rejection comes into force or ends, zero for never
	nextExpiry        time.Time
	attributedVersion uint64 // version at the last attribution
	attributedAt      time.Time
}

// Option sets an optional parameter of a world.
type Option func(*World)

// WithLogger sets the logger.
func WithLogger(logger *slog.Logger) Option { return func(w *World) { w.logger = logger } }

// New returns a world without crashes. The epoch must differ between runs of the
// instance.
func New(epoch uint64, options ...Option) *World {
	w := &World{epoch: epoch, logger: slog.New(slog.DiscardHandler), crashes: table.New[CrashID, crashRow](), view: NewView(nil)}
	for _, option := range options {
		option(w)
	}
	return w
}

// Epoch identifies the run of this instance in which the versions are counted.
func (w *World) Epoch() uint64 { return w.epoch }

// Version returns the number of the last change.
func (w *World) Version() uint64 { return w.version }

// LocalVersion returns the number of the last change that was observed here, by Report
// or Exclude.
func (w *World) LocalVersion() uint64 { return w.localVersion }

// View returns the present rejections. It is replaced, not changed, by Run.
func (w *World) View() *View { return w.view }

// Report adds a crash that this instance observed.
func (w *World) Report(now time.Time, c Crash) {
	if row := w.merge(now, c); row != nil {
		w.localVersion, row.localVersion = w.version, w.version
	}
}

// Merge adds crashes that other instances observed.
func (w *World) Merge(now time.Time, crashes []Crash) {
	for _, c := range crashes {
		w.merge(now, c)
	}
}

// merge adds a crash and returns its row, or nil if it brought nothing new.
func (w *World) merge(now time.Time, c Crash) *crashRow {
	if c.age > crashRetention {
		return nil
	}
	row := w.crashes.Get(c.id)
	if row == nil {
		row = &crashRow{happenedAt: now.Add(-c.age), learnedAt: now}
		if !row.merge(c) {
			return nil
		}
		w.deleteOldest()
		row = w.crashes.Put(c.id, *row)
	} else if !row.merge(c) {
		return nil
	}
	w.version++
	row.version = w.version
	return row
}

// deleteOldest deletes the oldest crash if the table is full.
func (w *World) deleteOldest() {
	if w.crashes.Len() < maxCrashes {
		return
	}
	var oldest CrashID
	var at time.Time
	w.crashes.Each(func(id CrashID, row *crashRow) {
		if at.IsZero() || row.happenedAt.Before(at) {
			oldest, at = id, row.happenedAt
		}
	})
	w.crashes.Remove(oldest)
}

// Exclude records that an answer began on a part: it did not cause the crashes that are
// known now.
func (w *World) Exclude(now time.Time, part Part) {
	w.crashes.Each(func(id CrashID, row *crashRow) {
		if row.names(part) {
			w.Report(now, NewCrash(id, 0, nil, []Part{part}))
		}
	})
}

// Clear records that an answer on a part came to its end: it did not cause the crashes that are
// known now, neither before nor after the begin of an answer.
func (w *World) Clear(now time.Time, part Part) {
	w.crashes.Each(func(id CrashID, row *crashRow) {
		if row.namesAnywhere(part) {
			w.Report(now, NewCrash(id, 0, nil, nil).WithCleared([]Part{part}))
		}
	})
}

// MarkSound records that answers on a part came to their end shortly before the crashes that are
// known now. Parts without such answers are blamed first.
func (w *World) MarkSound(now time.Time, part Part) {
	w.crashes.Each(func(id CrashID, row *crashRow) {
		if row.namesAnywhere(part) {
			w.Report(now, NewCrash(id, 0, nil, nil).WithSound([]Part{part}))
		}
	})
}

// Refute records that a server answered after its crash was known: it did not crash.
func (w *World) Refute(now time.Time, id CrashID) {
	if w.crashes.Get(id) != nil {
		w.Report(now, NewCrash(id, 0, nil, nil).AsRefuted())
	}
}

// Since returns the crashes that changed after a version of this world.
func (w *World) Since(now time.Time, version uint64) []Crash {
	return w.changed(now, func(row *crashRow) bool { return row.version > version })
}

// LocalSince returns the crashes with changes that were observed here after a version of
// this world, and all crashes if the version is 0.
func (w *World) LocalSince(now time.Time, version uint64) []Crash {
	return w.changed(now, func(row *crashRow) bool { return version == 0 || row.localVersion > version })
}

// changed returns the crashes that the filter selects.
func (w *World) changed(now time.Time, filter func(*crashRow) bool) []Crash {
	var crashes []Crash
	w.crashes.Each(func(id CrashID, row *crashRow) {
		if filter(row) {
			crashes = append(crashes, row.crash(now, id))
		}
	})
	return crashes
}

// Run deletes old crashes and updates the rejections. It reports whether the view changed.
func (w *World) Run(now time.Time) bool {
	w.expire(now)
	due := !w.nextAttribution.IsZero() && !now.Before(w.nextAttribution)
	switch {
	case w.attributedVersion == w.version && !due:
		return false
	case now.Before(w.attributedAt.Add(attributionInterval)):
		w.nextAttribution = w.attributedAt.Add(attributionInterval)
		return false
	}
	w.attributedVersion, w.attributedAt = w.version, now
	previous := w.view
	w.view, w.nextAttribution = w.attribute(now)
	w.logChanges(now, previous)
	return true
}

// expire deletes crashes after crashRetention.
func (w *World) expire(now time.Time) {
	if now.Before(w.nextExpiry) {
		return
	}
	w.nextExpiry = now.Add(expiryInterval)
	w.crashes.Each(func(id CrashID, row *crashRow) {
		if now.Sub(row.happenedAt) > crashRetention {
			w.crashes.Remove(id)
			w.version++
		}
	})
}

// Next returns when Run must be called again, and whether it must.
func (w *World) Next() (time.Time, bool) { return w.nextAttribution, !w.nextAttribution.IsZero() }

// logChanges logs the rejections that came into force or ended.
func (w *World) logChanges(now time.Time, previous *View) {
	for _, v := range w.view.rejections {
		if old, ok := previous.rejection(v.part); !ok || old.crashes != v.crashes {
			event.PartQuarantined.Log(w.logger, "part", string(v.part), "crashes", v.crashes, "backends", v.backends,
				"ends_in_ms", v.until.Sub(now).Milliseconds())
		}
	}
	for _, v := range previous.rejections {
		if _, ok := w.view.rejection(v.part); !ok {
			event.QuarantineEnded.Log(w.logger, "part", string(v.part), "crashes", v.crashes, "expired", !now.Before(v.until))
		}
	}
}
