package runner

import (
	"slices"
	"time"
)

// queueEntry is work that waits for slots: one interrupted item of a job, or all items
// of the job that were not started yet.
type queueEntry struct {
	job         string
	item        int // of an interrupted item
	interrupted bool
	due         time.Time
	late        bool // expected to be complete after the due time
}

// queue returns the waiting work in the order in which it gets slots: by due time, what
// is expected to be late at the end, and interrupted items of a job before its others.
// Each interrupted item is judged by what is left of it.
func (w *World) queue(now time.Time) []queueEntry {
	var entries []queueEntry
	for _, id := range w.jobOrder {
		row := w.jobs.Get(id)
		for _, item := range row.restartItems {
			late := w.estimate.isLate(now, row.due, w.lastEvent(itemKey{id, item}))
			entries = append(entries, queueEntry{job: id, item: item, interrupted: true, due: row.due, late: late})
		}
		if row.nextItem < row.itemCount {
			entries = append(entries, queueEntry{job: id, due: row.due, late: w.estimate.mayBeLate(now, row.due)})
		}
	}
	slices.SortStableFunc(entries, func(a, b queueEntry) int {
		if a.late != b.late {
			if a.late {
				return 1
			}
			return -1
		}
		return a.due.Compare(b.due)
	})
	return entries
}

// lastEvent returns the last event of an item's output so far, 0 for none.
func (w *World) lastEvent(key itemKey) uint64 {
	if p := w.progress.Get(key); p != nil {
		return p.lastEvent
	}
	return 0
}

// expectedEvent returns the event that a running attempt is expected to have reached.
func (w *World) expectedEvent(now time.Time, row *runningRow) uint64 {
	return row.afterEvent + w.estimate.eventsIn(now.Sub(row.started))
}
