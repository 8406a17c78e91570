package cluster

import (
	"papayaquay/core/call"
	"papayaquay/core/member"
	"papayaquay/core/runner"
	"papayaquay/core/usage"
)

// Input is one message to the control world.
type Input struct {
	packet   *Packet
	synced   uint64
	call     *call.Call
	reply    func(call.Reply)
	announce *member.Backend
	depart   *member.Backend
	outcome  *runner.AttemptReport
	report   *usage.Report
	seeds    []string
	leave    func(left int)
	work     func()
}

// PacketReceived returns the input of a received packet.
func PacketReceived(p Packet) Input { return Input{packet: &p} }

// Synced tells that all record batches up to sequence are on disk.
func Synced(sequence uint64) Input { return Input{synced: sequence} }

// StartCall starts a call; reply runs on the control thread and must not block.
func StartCall(c call.Call, reply func(call.Reply)) Input { return Input{call: &c, reply: reply} }

// Announce passes on a backend server's announcement.
func Announce(b member.Backend) Input { return Input{announce: &b} }

// Leave passes on that a backend server leaves; reply is called once that is
// durable, or could not be made so.
func Leave(b member.Backend, reply func(call.Reply)) Input { return Input{depart: &b, reply: reply} }

// AttemptEnded reports the end of an item's attempt.
func AttemptEnded(o runner.AttemptReport) Input { return Input{outcome: &o} }

// UsageChanged tells how many online requests this entry runs.
func UsageChanged(r usage.Report) Input { return Input{report: &r} }

// SeedsChanged replaces the peer addresses of the seeds.
func SeedsChanged(addresses []string) Input { return Input{seeds: addresses} }

// TransferLeadership gives up the lead of the ledger; left is told after each attempt
// whether it is still led here (1) or not (0).
func TransferLeadership(left func(left int)) Input { return Input{leave: left} }
