package control

import (
	"time"

	"papayaquay/core/home"
	"papayaquay/core/member"
	"papayaquay/core/table"
	"papayaquay/core/timer"
)

// suspectRow is the known crash count of a fingerprint.
type suspectRow struct {
	crashes int
	at      time.Time
}

// suspicionWorld is the sub-world of contents that crash backend servers.
type suspicionWorld struct {
	self    string
	members *member.World
	tick    *tickState
	out     func(to string) *Packet
	rows    *table.Table[uint64, suspectRow]
	due     *timer.Subscription
}

// newSuspicionWorld returns the sub-world without suspicions.
func newSuspicionWorld(members *member.World, tick *tickState, out func(to string) *Packet) *suspicionWorld {
	return &suspicionWorld{self: members.Self().Name(), members: members, tick: tick, out: out,
		rows: table.New[uint64, suspectRow]()}
}

// subscribe registers what acts on deadlines.
func (w *suspicionWorld) subscribe(now time.Time, timers *timer.Service) {
	w.due = timers.Subscribe("suspicions", w.expire)
	w.due.Arm(now.Add(expireInterval))
}

// crashes returns the crash counts by fingerprint.
func (w *suspicionWorld) crashes() map[uint64]int {
	counts := make(map[uint64]int, w.rows.Len())
	w.rows.Each(func(fingerprint uint64, row *suspectRow) { counts[fingerprint] = row.crashes })
	return counts
}

// expire forgets old counts.
func (w *suspicionWorld) expire(now time.Time) {
	w.due.Arm(now.Add(expireInterval))
	w.rows.Each(func(fingerprint uint64, row *suspectRow) {
		if now.Sub(row.at) > home.CrashRetention {
			w.rows.Remove(fingerprint)
			w.tick.stale = true
		}
	})
}

// learn takes a crash count and spreads it if it is news.
func (w *suspicionWorld) learn(now time.Time, s CrashCount, own bool) {
	row := w.rows.Get(s.fingerprint)
	if row != nil && row.crashes >= s.crashes && !own {
		return
	}
	if row != nil {
		s.crashes = max(s.crashes, row.crashes)
	}
	w.rows.Put(s.fingerprint, suspectRow{crashes: s.crashes, at: now})
	w.tick.stale = true
	if !own {
		return
	}
	for _, i := range w.members.Instances() {
		if i.Name() != w.self && i.State() == member.StateAlive {
			p := w.out(i.Name())
			p.crashCounts = append(p.crashCounts, s)
		}
	}
}
