package control

import (
	"time"

	"papayaquay/core/home"
	"papayaquay/core/member"
	"papayaquay/core/table"
	"papayaquay/core/timer"
)

// crashRow is the highest known crash count of a fingerprint.
type crashRow struct {
	crashes int
	at      time.Time
}

// crashWorld is the sub-world that counts backend server crashes by content
// fingerprint.
type crashWorld struct {
	self     string
	members  *member.World
	tick     *tickState
	packetTo func(to string) *Packet
	rows     *table.Table[uint64, crashRow]
	due      *timer.Subscription
}

// newCrashWorld returns the sub-world without crash counts.
func newCrashWorld(members *member.World, tick *tickState, packetTo func(to string) *Packet) *crashWorld {
	return &crashWorld{self: members.Self().Name(), members: members, tick: tick, packetTo: packetTo,
		rows: table.New[uint64, crashRow]()}
}

// subscribe registers the timer that removes old counts.
func (w *crashWorld) subscribe(now time.Time, timers *timer.Service) {
	w.due = timers.Subscribe("suspicions", w.expire)
	w.due.Arm(now.Add(expireInterval))
}

// counts returns the crash counts by fingerprint.
func (w *crashWorld) counts() map[uint64]int {
	counts := make(map[uint64]int, w.rows.Len())
	w.rows.Each(func(fingerprint uint64, row *crashRow) { counts[fingerprint] = row.crashes })
	return counts
}

// expire removes the counts that were not updated within the retention time.
func (w *crashWorld) expire(now time.Time) {
	w.due.Arm(now.Add(expireInterval))
	w.rows.Each(func(fingerprint uint64, row *crashRow) {
		if now.Sub(row.at) > home.CrashRetention {
			w.rows.Remove(fingerprint)
			w.tick.snapshotStale = true
		}
	})
}

// merge stores a crash count, keeping the higher one. A count from another
// instance is ignored unless it is higher than the stored one. A local count is
// sent to all alive instances.
func (w *crashWorld) merge(now time.Time, count CrashCount, local bool) {
	row := w.rows.Get(count.fingerprint)
	if row != nil && row.crashes >= count.crashes && !local {
		return
	}
	if row != nil {
		count.crashes = max(count.crashes, row.crashes)
	}
	w.rows.Put(count.fingerprint, crashRow{crashes: count.crashes, at: now})
	w.tick.snapshotStale = true
	if !local {
		return
	}
	for _, i := range w.members.Instances() {
		if i.Name() != w.self && i.State() == member.StateAlive {
			p := w.packetTo(i.Name())
			p.crashes = append(p.crashes, count)
		}
	}
}
