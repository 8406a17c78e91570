package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"papayaquay/core/cluster"
	"papayaquay/core/directory"
	"papayaquay/core/event"
	"papayaquay/core/ledger"
	"papayaquay/core/member"
	"papayaquay/core/runner"
	"papayaquay/core/usage"
	"papayaquay/io/boottime"
	"papayaquay/io/disk"
	"papayaquay/io/peer"
	"papayaquay/io/record"
	"papayaquay/io/settings"
)

// Timing of ledgers. The links between the data centres of a deployment have a
// latency of about 1 ms, and a process with a CPU quota can pause for up to
// 100 ms.
const (
	ledgerHeartbeat          = 120 * time.Millisecond
	ledgerMinElectionTimeout = 500 * time.Millisecond
	ledgerMaxElectionTimeout = 800 * time.Millisecond
	ledgerLease              = 450 * time.Millisecond
)

// jobMemoryDivisor gives the jobs and the log of their ledger half of an instance's memory.
// The rest is for copies of both that are read or written, and for garbage.
const jobMemoryDivisor = 2

// usageReport counts the online requests that an entry runs, by backend server.
type usageReport = usage.Report

// directoryRole returns the role in the directory for a role in the settings.
func directoryRole(role string) directory.Role {
	switch role {
	case settings.RoleControl:
		return directory.RoleControl
	case settings.RoleStore:
		return directory.RoleStore
	}
	return directory.RoleEntry
}

// buildControlWorld creates the control world with the ledger of this instance,
// if it hosts one.
func (p *Process) buildControlWorld() {
	s := p.settings
	now := boottime.Now()
	self := directory.NewInstance(s.PeerAddress(), s.Name(), s.DataCentre(), directoryRole(s.Role()), uint64(p.startedAt.UnixMicro()))
	options := []cluster.Option{
		cluster.WithLogger(p.logger), cluster.WithSeeds(s.Seeds()), cluster.WithWallClock(p.wallClock), cluster.WithHeapBytes(heapBytes),
		cluster.WithPersist(func(sequence uint64, records []ledger.Record) { p.store.Append(sequence, records) }),
		cluster.WithSend(p.send), cluster.WithPublish(p.publish), cluster.WithCodingObserver(metrics().codingFailed),
	}
	if s.Role() != settings.RoleEntry {
		options = append(options, cluster.WithLedgers(p.hostLedger(now)))
	}
	if s.Role() == settings.RoleStore {
		options = append(options, cluster.WithMaxJobBytes(int(s.MemoryBytes()/jobMemoryDivisor)), cluster.WithRunner(runner.New(runner.WithLogger(p.logger),
			runner.WithRandom(rand.Float64), runner.WithAttempts(p.startItemAttempt, p.itemAttempts.cancel), runner.WithObserver(metrics().itemAttemptEnded),
			runner.WithLimits(func(now time.Time, b member.Backend) (int, bool) { return p.controlWorld.ItemRoom(now, b) }),
			runner.WithOnline(func(backend string) int { return p.controlWorld.OnlineRequests(backend) }))))
	}
	if p.settings.FirstStart() {
		options = append(options, cluster.WithFirstStart())
	}
	p.controlWorld = cluster.New(now, self, record.NewClusterCodec(), p.front.decode, options...)
}

// send sends a packet to another instance. A large one is dropped if there is no room for it until it is
// sent: what must arrive is sent again.
func (p *Process) send(packet cluster.Packet) {
	done := func() {}
	if size := int64(packet.PayloadBytes()); size >= cluster.LargeMessageBytes {
		if err := p.outgoing.TryGrow(size); err != nil {
			event.PacketDropped.Log(p.logger, "to", packet.To(), "bytes", size, "error", err)
			return
		}
		done = func() { p.outgoing.Shrink(size) }
	}
	p.peerClient.Send(context.Background(), packet.To(), func() ([][]byte, error) { return p.encode(packet) }, done)
}

// encode encodes a packet. One that cannot be encoded is dropped.
func (p *Process) encode(packet cluster.Packet) ([][]byte, error) {
	parts, err := peer.EncodeCluster(packet)
	if err != nil {
		metrics().codingFailed("packet", "to")
		event.CallEncodingFailed.Log(p.logger, "call", "packet", "to", packet.To(), "error", err)
	}
	return parts, err
}

// publish stores a new snapshot for the other threads.
func (p *Process) publish(s *cluster.Snapshot) { p.snapshot.Store(s) }

// hostLedger creates the ledger world and hosts this instance's replica in it. An
// initial member without persisted state bootstraps the ledger; any other instance
// joins it.
func (p *Process) hostLedger(now time.Time) *ledger.World {
	s := p.settings
	id := cluster.ControlLedger
	if s.Role() == settings.RoleStore {
		id = cluster.JobsLedger
	}
	world := ledger.New(s.PeerAddress(), ledger.WithSeed(uint64(p.startedAt.UnixNano())),
		ledger.WithTiming(ledgerHeartbeat, ledgerMinElectionTimeout, ledgerMaxElectionTimeout, ledgerLease),
		ledger.WithExport(func(ledger.ID) ledger.Parts { return p.controlWorld.Export() }),
		ledger.WithVoters(s.Voters(),
			func(instance string) string { return p.controlWorld.DataCentre(instance) },
			func(instance string) bool { return p.controlWorld.Retiring(instance) }))
	replica := ledger.ReplicaID(s.PeerAddress() + "#" + p.store.Nonce())
	var options []ledger.HostOption
	var persisted []disk.PersistedState
	for _, row := range p.store.TakeLoaded() {
		if row.Ledger() == id {
			persisted = append(persisted, row)
		}
	}
	for _, row := range persisted {
		replica = row.Replica()
		options = append(options, ledger.WithPersistedState(row.Term(), row.Vote(), row.Snapshot(), row.Entries()),
			ledger.WithSnapshotParts(row.SnapshotParts()))
	}
	var initialMembers []string
	if s.IsInitialMember() && len(persisted) == 0 {
		initialMembers = s.Seeds()
	} else {
		options = append(options, ledger.WithJoinOnly())
	}
	world.Host(now, id, replica, initialMembers, options...)
	return world
}
