package control

import (
	"log/slog"
	"time"

	"papayaquay/core/home"
	"papayaquay/core/ledger"
	"papayaquay/core/member"
	"papayaquay/core/table"
	"papayaquay/core/timer"
)

// itemRow is a leased item that this instance has to run.
type itemRow struct {
	home       ledger.ID
	leased     home.LeasedItem
	backend    string    // where it runs, empty while it waits
	dataCentre string    // of that backend server
	since      time.Time // when it began to wait
	prefix     string
	tokens     int
	tries      int
	stopped    bool // told to stop
	cancelled  bool // stopped for good
}

// pauseRow keeps items from a backend server that refused one.
type pauseRow struct {
	until time.Time
}

// itemWorld is the sub-world that runs batch items on the servers of the data
// centres whose home ledgers are led here.
type itemWorld struct {
	self     string
	owner    string // names this run of the instance in leases
	members  *member.World
	ledgers  *ledger.World
	calls    *callWorld
	homes    []ledger.ID
	tick     *tickState
	logger   *slog.Logger
	out      func(to string) *Packet
	onlineOn func(now time.Time, backend string) int
	lease    time.Duration
	reserve  int

	startItem func(Item)
	stopItem  func(number uint64, yield bool)

	rows    *table.Table[uint64, itemRow]
	polls   *table.Table[ledger.ID, pollRow]
	flushes *table.Table[ledger.ID, flushRow]
	pauses  *table.Table[string, pauseRow]
	roles   map[string]bool // data centres whose batch slots are owned here
	last    uint64
	due     *timer.Subscription
}

// newItemWorld returns the sub-world without items.
func newItemWorld(owner string, members *member.World, calls *callWorld, homes []ledger.ID, tick *tickState, out func(to string) *Packet) *itemWorld {
	return &itemWorld{self: members.Self().Name(), owner: owner, members: members, ledgers: calls.ledgers, calls: calls,
		homes: homes, tick: tick, out: out, lease: DefaultLease, reserve: DefaultReserveDivisor,
		startItem: func(Item) {}, stopItem: func(uint64, bool) {},
		rows: table.New[uint64, itemRow](), polls: table.New[ledger.ID, pollRow](),
		flushes: table.New[ledger.ID, flushRow](), pauses: table.New[string, pauseRow]()}
}

// subscribe registers what acts on deadlines.
func (w *itemWorld) subscribe(_ time.Time, timers *timer.Service) {
	w.due = timers.Subscribe("batch", func(time.Time) {})
}

// runnerOf returns the instance that runs batch items on the backend servers
// of a data centre: the leader of its home ledger.
func (w *itemWorld) runnerOf(dataCentre string) string {
	for _, id := range w.homes {
		if HomeDataCentre(id) == dataCentre {
			return w.calls.believedLeader(id)
		}
	}
	return ""
}

// unflushed returns the number of items that the home ledgers do not have yet.
func (w *itemWorld) unflushed() int {
	count := 0
	for _, id := range w.homes {
		if flush := w.flushes.Get(id); flush != nil {
			count += len(flush.answered) + len(flush.released)
			if flush.outstanding {
				count++
			}
		}
	}
	return count
}
