package cluster

import (
	"papayaquay/core/call"
	"papayaquay/core/member"
	"papayaquay/core/quarantine"
	"papayaquay/core/registry"
	"papayaquay/core/runner"
	"papayaquay/core/stream"
	"papayaquay/core/usage"
)

// Input is one message to the control world. The functions below create it.
type Input struct {
	packet         *Packet
	taken          func() // told when the packet was read, may be nil
	synced         uint64
	call           *call.Call
	reply          func(call.Reply)
	announce       *member.Backend
	leave          *member.Backend
	attempt        *runner.AttemptReport
	itemLimit      *backendLimit
	saidLeaving    *registry.LeavingBackend
	streamRecord   *pendingRecord
	streamQuery    *stream.Query
	streamAnswer   func(stream.Answer)
	usage          *usage.Report
	crash          *quarantine.Crash
	excluded       []quarantine.Part
	cleared        []quarantine.Part
	sound          []quarantine.Part
	answered       *quarantine.CrashID
	seeds          []string
	reportTransfer func(leading int)
}

// PacketReceived delivers a packet from another instance.
func PacketReceived(p Packet) Input { return Input{packet: &p} }

// PacketTaken is PacketReceived for a packet whose sender waits until it was read.
func PacketTaken(p Packet, taken func()) Input { return Input{packet: &p, taken: taken} }

// Synced reports that all batches of records up to sequence are on disk.
func Synced(sequence uint64) Input { return Input{synced: sequence} }

// StartCall starts a call. reply runs on the control thread and must not block.
func StartCall(c call.Call, reply func(call.Reply)) Input { return Input{call: &c, reply: reply} }

// Announce delivers an announcement of a backend server.
func Announce(b member.Backend) Input { return Input{announce: &b} }

// Leave reports that a backend server is leaving. reply is called when the leave
// is durable or could not be made durable.
func Leave(b member.Backend, reply func(call.Reply)) Input { return Input{leave: &b, reply: reply} }

// AttemptEnded reports the end of an attempt at an item.
func AttemptEnded(report runner.AttemptReport) Input { return Input{attempt: &report} }

// backendLimit is the limit that a backend server named.
type backendLimit struct {
	backend string
	limit   usage.Limit
}

// ItemAnswered reports the limit that a backend server named in the answer to an item, or
// that it named none.
func ItemAnswered(backend string, limit usage.Limit) Input {
	return Input{itemLimit: &backendLimit{backend: backend, limit: limit}}
}

// ServerSaidLeaving reports that an incarnation of a backend server said in an answer that it
// is leaving.
func ServerSaidLeaving(backend string, incarnation uint64) Input {
	b := registry.NewLeavingBackend(backend, incarnation)
	return Input{saidLeaving: &b}
}

// RecordStream records which version is about to begin a stream. done is called on the control
// thread when another instance has the record, or enough of them if it is required.
func RecordStream(r stream.Record, required bool, done func()) Input {
	return Input{streamRecord: &pendingRecord{record: r, required: required, done: done}}
}

// FindStream asks which version began a stream. answer is called on the control thread.
func FindStream(q stream.Query, answer func(stream.Answer)) Input {
	return Input{streamQuery: &q, streamAnswer: answer}
}

// UsageChanged reports the online requests that this entry instance runs.
func UsageChanged(r usage.Report) Input { return Input{usage: &r} }

// ServerCrashed reports a crash of a backend server under requests of this instance.
func ServerCrashed(c quarantine.Crash) Input { return Input{crash: &c} }

// AnswerBegan reports that an answer began on suspect parts.
func AnswerBegan(parts []quarantine.Part) Input { return Input{excluded: parts} }

// PartsSound reports suspect parts on which answers came to their end shortly before.
func PartsSound(parts []quarantine.Part) Input { return Input{sound: parts} }

// AnswerCompleted reports that an answer on suspect parts came to its end.
func AnswerCompleted(parts []quarantine.Part) Input { return Input{cleared: parts} }

// ServerAnswered reports that a backend server that was believed to have crashed answered.
func ServerAnswered(id quarantine.CrashID) Input { return Input{answered: &id} }

// SeedsChanged replaces the peer addresses of the seeds.
func SeedsChanged(addresses []string) Input { return Input{seeds: addresses} }

// TransferLeadership transfers the leadership of the hosted ledger to another
// instance before a stop. After each attempt, report gets the number of ledgers
// that this instance still leads: 1 or 0.
func TransferLeadership(report func(leading int)) Input { return Input{reportTransfer: report} }
