package control

import (
	"log/slog"
	"time"

	"papayaquay/core/config"
	"papayaquay/core/home"
	"papayaquay/core/ledger"
	"papayaquay/core/member"
	"papayaquay/core/table"
	"papayaquay/core/timer"
)

// homeRow is the state machine of a hosted home or local ledger.
type homeRow struct {
	state            *home.State
	encodingSnapshot bool // a snapshot is being encoded
	expiring         bool // an expire command is in progress
}

// hostWorld is the sub-world of the state machines of the hosted ledgers.
type hostWorld struct {
	self         string
	logger       *slog.Logger
	codec        Codec
	members      *member.World
	ledgers      *ledger.World
	calls        *callWorld
	packetTo     func(to string) *Packet
	persist      func(sequence uint64, records []ledger.Record)
	background   func(func())
	post         func(Input)
	jobCommitted func(id ledger.ID) // called when a job was committed
	compactAfter uint64
	maxHomeBytes int // 0 for no limit

	homeStates       *table.Table[ledger.ID, homeRow]
	configState      *config.State // nil if the configuration ledger is not hosted here
	encodingConfig   bool          // a snapshot of configState is being encoded
	proposals        *table.Table[proposalKey, proposalRow]
	claims           *table.Table[claimKey, claimRow]
	heldCalls        *table.Table[uint64, heldCallRow]
	recheckHeldCalls bool // serveHeldCalls must serve the held calls again
	heldCallDue      *timer.Subscription
	expireDue        *timer.Subscription
}

// newHostWorld returns the sub-world with an empty state machine for each placed
// ledger that this instance hosts.
func newHostWorld(members *member.World, ledgers *ledger.World, calls *callWorld, codec Codec) *hostWorld {
	w := &hostWorld{self: members.Self().Name(), codec: codec, members: members, ledgers: ledgers, calls: calls,
		jobCommitted: func(ledger.ID) {},
		homeStates:   table.New[ledger.ID, homeRow](), proposals: table.New[proposalKey, proposalRow](),
		claims: table.New[claimKey, claimRow](), heldCalls: table.New[uint64, heldCallRow]()}
	for _, p := range calls.placements {
		switch {
		case !ledgers.Hosts(p.ledger):
		case IsHome(p.ledger) || IsLocal(p.ledger):
			w.homeStates.Put(p.ledger, homeRow{state: home.New()})
		case p.ledger == ConfigLedger:
			w.configState = config.New()
		}
	}
	return w
}

// subscribe registers the timers for held calls and for expiry.
func (w *hostWorld) subscribe(now time.Time, timers *timer.Service) {
	w.heldCallDue = timers.Subscribe("wake", func(time.Time) { w.recheckHeldCalls = true })
	w.expireDue = timers.Subscribe("expire", w.expire)
	w.expireDue.Arm(now.Add(expireInterval))
}
