package cluster

import (
	"slices"
	"time"

	"papayaquay/core/call"
	"papayaquay/core/event"
	"papayaquay/core/stream"
)

// Limits of the records that are sent again.
const (
	resendInterval    = 500 * time.Millisecond // between two attempts at one control instance
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
	unanswered  int    // calls with records that were sent again
	triedAt     time.Time
}

// receiver returns the row of a control instance. It creates the row if there is none.
func (w *World) receiver(address string) *recordReceiver {
	if r := w.streams.receivers.Get(address); r != nil {
		return r
	}
	return w.streams.receivers.Put(address, recordReceiver{missed: true})
}

// resendRecords sends the kept records again to the control instances that were restarted or
// did not confirm some of them.
func (w *World) resendRecords(now time.Time) {
	k := w.streams
	k.removeKept(now)
	if len(k.kept) == 0 {
		return
	}
	for _, address := range w.recordTargets(w.controlInstances()) {
		r := w.receiver(address)
		if instance, ok := w.directory.Instance(address); ok && instance.Incarnation() != r.incarnation {
			r.incarnation, r.missed = instance.Incarnation(), true
		}
		if r.missed && r.unanswered == 0 && now.Sub(r.triedAt) >= resendInterval {
			w.resendTo(now, address, r)
		}
	}
	k.receivers.Each(func(address string, _ *recordReceiver) {
		if _, known := w.directory.Instance(address); !known {
			k.receivers.Remove(address)
		}
	})
}

// removeKept removes records that are too old or too many.
func (k *streamKeeper) removeKept(now time.Time) {
	for len(k.kept) > 0 && (now.Sub(k.kept[0].at) > stream.Retention || len(k.kept) > maxKeptRecords) {
		k.kept = k.kept[1:]
	}
}

// resendTo sends all kept records to a control instance, in calls of bounded size.
func (w *World) resendTo(now time.Time, address string, r *recordReceiver) {
	r.missed, r.triedAt = false, now
	event.StreamRecordsResent.Log(w.logger, "control", address, "records", len(w.streams.kept))
	for part := range slices.Chunk(w.streams.kept, maxResentRecords) {
		records := make([]stream.Record, 0, len(part))
		for _, row := range part {
			records = append(records, row.record)
		}
		payload, err := w.codec.StreamRecords.Encode(records)
		if err != nil {
			w.codingFailed("stream records", "to", address, err)
			return
		}
		c := call.New(call.KindStreamRecords, call.TargetInstance, now.Add(resendCallTimeout), payload, call.WithAddress(address))
		r.unanswered++
		w.calls.Start(now, c, func(reply call.Reply) { w.resendEnded(address, reply) })
	}
}

// resendEnded handles the reply to records that were sent again.
func (w *World) resendEnded(address string, reply call.Reply) {
	r := w.receiver(address)
	r.unanswered = max(r.unanswered-1, 0)
	r.missed = r.missed || reply.Status() != call.StatusDone
}
