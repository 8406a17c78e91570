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

// itemRow is a batch item that this instance has leased.
type itemRow struct {
	home         ledger.ID
	leased       home.LeasedItem
	backend      string    // backend server that runs the item, empty while it waits
	dataCentre   string    // of that backend server
	waitingSince time.Time // start of the wait for a slot
	prefix       string
	tokens       int
	attempts     int
	stopped      bool // the attempt was asked to stop
	cancelled    bool // the job was cancelled
}

// backoffRow is a backend server that gets no items until a time, because it could
// not start one.
type backoffRow struct {
	until time.Time
}

// itemWorld is the sub-world that runs batch items on the backend servers of the
// data centres whose home ledgers this instance leads.
type itemWorld struct {
	self           string
	owner          string // lease owner, unique for each start of the instance
	members        *member.World
	ledgers        *ledger.World
	calls          *callWorld
	homes          []ledger.ID
	tick           *tickState
	logger         *slog.Logger
	packetTo       func(to string) *Packet
	onlineRequests func(now time.Time, backend string) int
	lease          time.Duration
	reserveDivisor int

	startItem func(Item)
	stopItem  func(number uint64, preempt bool)

	rows       *table.Table[uint64, itemRow]
	polls      *table.Table[ledger.ID, pollRow]
	flushes    *table.Table[ledger.ID, flushRow]
	backoffs   *table.Table[string, backoffRow]
	owned      map[string]bool // data centres whose batch slots this instance owns
	lastNumber uint64
	due        *timer.Subscription
}

// newItemWorld returns the sub-world without items.
func newItemWorld(owner string, members *member.World, calls *callWorld, homes []ledger.ID, tick *tickState, packetTo func(to string) *Packet) *itemWorld {
	return &itemWorld{self: members.Self().Name(), owner: owner, members: members, ledgers: calls.ledgers, calls: calls,
		homes: homes, tick: tick, packetTo: packetTo, lease: DefaultLease, reserveDivisor: DefaultReserveDivisor,
		startItem: func(Item) {}, stopItem: func(uint64, bool) {},
		rows: table.New[uint64, itemRow](), polls: table.New[ledger.ID, pollRow](),
		flushes: table.New[ledger.ID, flushRow](), backoffs: table.New[string, backoffRow]()}
}

// subscribe registers the timer that starts a tick for batch items.
func (w *itemWorld) subscribe(_ time.Time, timers *timer.Service) {
	w.due = timers.Subscribe("batch", func(time.Time) {})
}

// runnerOf returns the instance that runs batch items on the backend servers of a
// data centre: the known leader of its home ledger, or the empty string.
func (w *itemWorld) runnerOf(dataCentre string) string {
	for _, id := range w.homes {
		if HomeDataCentre(id) == dataCentre {
			return w.calls.knownLeader(id)
		}
	}
	return ""
}

// unflushed returns the number of completed and released items that are not sent
// to the home ledgers yet, plus the number of commands in flight.
func (w *itemWorld) unflushed() int {
	count := 0
	for _, id := range w.homes {
		if flush := w.flushes.Get(id); flush != nil {
			count += len(flush.completed) + len(flush.released)
			if flush.inFlight {
				count++
			}
		}
	}
	return count
}
