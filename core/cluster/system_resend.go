package cluster

import (
	"time"

	"papayaquay/core/call"
	"papayaquay/core/event"
	"papayaquay/core/stream"
)

// Limits of the records that are sent again.
const (
	resendInterval    = 250 * time.Millisecond // between two attempts at one control instance
	maxResentRecords  = 2000                   // in one call
	maxKeptRecords    = 20_000
	resendCallTimeout = time.Second
)

// keptRecord is a record of a stream that an entry instance began. Control instances lose theirs
// when they are restarted.
type keptRecord struct {
	record stream.Record
	at     time.Time
}

// recordReceiver is a control instance that keeps records of this entry instance.
type recordReceiver struct {
	incarnation uint64 // to which the records were sent
	missed      bool   // it lacks records, or may
	sending     bool
	triedAt     time.Time
}

// receiver returns the row of a control instance. It creates the row if there is none.
func (w *World) receiver(address string) *recordReceiver {
	r := w.streams.receivers[address]
	if r == nil {
		r = &recordReceiver{missed: true}
		w.streams.receivers[address] = r
	}
	return r
}

// resendRecords sends the kept records again to the control instances that were restarted or
// did not confirm some of them.
func (w *World) resendRecords(now time.Time) {
	k := w.streams
	k.removeKept(now)
	if len(k.kept) == 0 {
		return
	}
	targets := w.recordTargets(w.controlInstances())
	for _, address := range targets {
		r := w.receiver(address)
		if instance, ok := w.directory.Instance(address); ok && instance.Incarnation() != r.incarnation {
			r.incarnation, r.missed = instance.Incarnation(), true
		}
		if r.missed && !r.sending && now.Sub(r.triedAt) >= resendInterval {
			w.resendTo(now, address, r)
		}
	}
	for address := range k.receivers {
		if _, known := w.directory.Instance(address); !known {
			delete(k.receivers, address)
		}
	}
}

// removeKept removes records that are too old or too many.
func (k *streamKeeper) removeKept(now time.Time) {
	for len(k.kept) > 0 && (now.Sub(k.kept[0].at) > stream.Retention || len(k.kept) > maxKeptRecords) {
		k.kept = k.kept[1:]
	}
}

// resendTo sends all kept records to a control instance, in calls of bounded size.
func (w *World) resendTo(now time.Time, address string, r *recordReceiver) {
	r.sending, r.missed, r.triedAt = true, false, now
	kept := w.streams.kept
	calls := (len(kept) + maxResentRecords - 1) / maxResentRecords
	event.StreamRecordsResent.Log(w.logger, "control", address, "records", len(kept))
	for ; len(kept) > 0; kept = kept[min(maxResentRecords, len(kept)):] {
		records := make([]stream.Record, 0, maxResentRecords)
		for _, row := range kept[:min(maxResentRecords, len(kept))] {
			records = append(records, row.record)
		}
		payload, err := w.codec.StreamRecords.Encode(records)
		if err != nil {
			event.CallEncodingFailed.Log(w.logger, "call", "stream records", "to", address, "error", err)
			r.sending = false
			return
		}
		c := call.New(call.KindStreamRecords, call.TargetInstance, now.Add(resendCallTimeout), payload, call.WithAddress(address))
		w.calls.Start(now, c, func(reply call.Reply) {
			calls--
			r.sending = calls > 0
			r.missed = r.missed || reply.Status() != call.StatusDone
		})
	}
}
