package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"papayaquay/core/cluster"
	"papayaquay/core/directory"
	"papayaquay/core/ledger"
	"papayaquay/core/runner"
	"papayaquay/core/usage"
	"papayaquay/io/boottime"
	"papayaquay/io/disk"
	"papayaquay/io/peer"
	"papayaquay/io/record"
	"papayaquay/io/settings"
)

// Timing of ledgers. Links between the data centres of a deployment take about
// a millisecond, and a capped core stands still for up to a tenth of a second.
const (
	ledgerHeartbeat       = 120 * time.Millisecond
	ledgerElectionFloor   = 500 * time.Millisecond
	ledgerElectionCeiling = 800 * time.Millisecond
	ledgerLease           = 450 * time.Millisecond
)

// usageReport is what an entry runs by backend server.
type usageReport = usage.Report

// kindOf returns the kind of instance that a role is.
func kindOf(role string) directory.Role {
	switch role {
	case settings.RoleControl:
		return directory.RoleControl
	case settings.RoleStore:
		return directory.RoleStore
	}
	return directory.RoleEntry
}

// buildWorld creates the control world.
func (p *Process) buildWorld() {
	s := p.settings
	now := boottime.Now()
	self := directory.NewNode(s.PeerAddress(), s.Name(), s.DataCentre(), kindOf(s.Role()), uint64(p.start.UnixMicro()))
	options := []cluster.Option{
		cluster.WithLogger(p.logger), cluster.WithSeeds(s.Seeds()), cluster.WithWallClock(p.wall),
		cluster.WithPersist(func(sequence uint64, records []ledger.Record) { p.store.Append(sequence, records) }),
		cluster.WithSend(p.send), cluster.WithPublish(p.publish),
		cluster.WithBackground(func(work func()) { go work() }, p.inbox.Post),
	}
	if s.Role() != settings.RoleEntry {
		options = append(options, cluster.WithLedgers(p.hostLedger(now)))
	}
	if s.Role() == settings.RoleStore {
		options = append(options, cluster.WithRunner(runner.New(runner.WithLogger(p.logger),
			runner.WithRandom(rand.Float64), runner.WithAttempts(p.startItem, p.items.stop), runner.WithObserver(metrics().ran),
			runner.WithOnline(func(backend string) int { return p.world.OnlineRequests(backend) }))))
	}
	p.world = cluster.New(now, self, record.NewClusterCodec(), p.front.decode, options...)
}

// send passes a packet to another instance.
func (p *Process) send(packet cluster.Packet) {
	p.client.Send(context.Background(), packet.To(), func() ([]byte, error) { return peer.EncodeCluster(packet) })
}

// publish stores a snapshot.
func (p *Process) publish(s *cluster.Snapshot) { p.snapshot.Store(s) }

// hostLedger creates the ledger world with the replica of this instance.
func (p *Process) hostLedger(now time.Time) *ledger.World {
	s := p.settings
	id := cluster.ControlLedger
	if s.Role() == settings.RoleStore {
		id = cluster.JobsLedger
	}
	world := ledger.New(s.PeerAddress(), ledger.WithSeed(uint64(p.start.UnixNano())),
		ledger.WithTiming(ledgerHeartbeat, ledgerElectionFloor, ledgerElectionCeiling, ledgerLease),
		ledger.WithVoters(s.Voters(),
			func(instance string) string { return p.world.DataCentre(instance) },
			func(instance string) bool { return p.world.Retiring(instance) }))
	replica := ledger.ReplicaID(s.PeerAddress() + "#" + p.store.Nonce())
	var options []ledger.HostOption
	var stored []disk.PersistedState
	for _, row := range p.store.TakeLoaded() {
		if row.Ledger() == id {
			stored = append(stored, row)
		}
	}
	for _, row := range stored {
		replica = row.Replica()
		options = append(options, ledger.WithPersistedState(row.Term(), row.Vote(), row.Snapshot(), row.Entries()))
	}
	var founders []string
	if s.IsInitialMember() && len(stored) == 0 {
		founders = s.Seeds()
	} else {
		options = append(options, ledger.WithJoinOnly())
	}
	world.Host(now, id, replica, founders, options...)
	return world
}
