package record

import (
	"slices"
	"time"

	"papayaquay/core/quarantine"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// crash is the wire format of quarantine.Crash.
type crash struct {
	_           struct{} `cbor:",toarray"`
	Backend     string
	Incarnation uint64
	AgeMS       int64
	Suspects    []quarantine.Prompt
	Excluded    []quarantine.Part
	Refuted     bool
	Begun       []quarantine.Prompt
	Cleared     []quarantine.Part
	Sound       []quarantine.Part
}

// toCrashes returns the wire format of crashes.
func toCrashes(crashes []quarantine.Crash) []crash {
	out := make([]crash, 0, len(crashes))
	for _, c := range crashes {
		out = append(out, crash{Backend: c.ID().Backend(), Incarnation: c.ID().Incarnation(), AgeMS: c.Age().Milliseconds(),
			Suspects: c.Suspects(), Excluded: c.Excluded(), Refuted: c.Refuted(), Begun: c.Begun(), Cleared: c.Cleared(), Sound: c.Sound()})
	}
	return out
}

// texts returns the texts of a crash.
func (c crash) texts() []string {
	texts := []string{c.Backend}
	for _, parts := range slices.Concat([][]quarantine.Part{c.Excluded, c.Cleared, c.Sound}, asParts(c.Suspects), asParts(c.Begun)) {
		for _, part := range parts {
			texts = append(texts, string(part))
		}
	}
	return texts
}

// asParts returns the parts of each prompt.
func asParts(prompts []quarantine.Prompt) [][]quarantine.Part {
	parts := make([][]quarantine.Part, 0, len(prompts))
	for _, p := range prompts {
		parts = append(parts, p)
	}
	return parts
}

// decode decodes evidence. Crashes that can't be read in full are left out: the rest of one would blame
// other parts of its prompts.
func (e *evidence) decode(data []byte) ([]quarantine.Crash, error) {
	var bad unreadable
	if err := bad.decode(data, e); err != nil {
		return nil, err
	}
	e.Crashes = slices.DeleteFunc(e.Crashes, func(c crash) bool { return bad.holds("crash of backend server", c.texts()...) })
	return crashes(e.Crashes), bad.err()
}

// crashes converts crashes from their wire format. An age below zero counts as zero.
func crashes(wire []crash) []quarantine.Crash {
	out := make([]quarantine.Crash, 0, len(wire))
	for _, c := range wire {
		age := time.Duration(max(c.AgeMS, 0)) * time.Millisecond
		row := quarantine.NewCrash(quarantine.NewCrashID(c.Backend, c.Incarnation), age, c.Suspects, c.Excluded).
			WithBegun(c.Begun).WithCleared(c.Cleared).WithSound(c.Sound)
		if c.Refuted {
			row = row.AsRefuted()
		}
		out = append(out, row)
	}
	return out
}

// evidence is the wire format of quarantine.SyncRequest and quarantine.Update.
type evidence struct {
	_       struct{} `cbor:",toarray"`
	Epoch   uint64
	Version uint64
	Crashes []crash
}

// encodeEvidence encodes a cursor and crashes.
func encodeEvidence(cursor quarantine.Cursor, crashes []quarantine.Crash) ([]byte, error) {
	data, err := cbor.Marshal(evidence{Epoch: cursor.Epoch(), Version: cursor.Version(), Crashes: toCrashes(crashes)})
	return data, errors.Wrap(err, "encode crash evidence")
}

// encodeEvidenceRequest encodes a request for crash evidence.
func encodeEvidenceRequest(r quarantine.SyncRequest) ([]byte, error) {
	return encodeEvidence(r.Cursor(), r.Crashes())
}

// decodeEvidenceRequest decodes a request for crash evidence.
func decodeEvidenceRequest(data []byte) (quarantine.SyncRequest, error) {
	var wire evidence
	crashes, err := wire.decode(data)
	return quarantine.NewSyncRequest(quarantine.NewCursor(wire.Epoch, wire.Version), crashes), err
}

// encodeEvidenceUpdate encodes an update of crash evidence.
func encodeEvidenceUpdate(u quarantine.Update) ([]byte, error) {
	return encodeEvidence(u.Cursor(), u.Crashes())
}

// decodeEvidenceUpdate decodes an update of crash evidence.
func decodeEvidenceUpdate(data []byte) (quarantine.Update, error) {
	var wire evidence
	crashes, err := wire.decode(data)
	return quarantine.NewUpdate(quarantine.NewCursor(wire.Epoch, wire.Version), crashes), err
}
