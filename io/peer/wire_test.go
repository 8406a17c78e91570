package peer

import (
	"bufio"
	"bytes"
	"testing"
	"time"

	"papayaquay/core/control"
	"papayaquay/core/home"
	"papayaquay/core/ledger"
	"papayaquay/core/member"
	"papayaquay/core/outcome"

	qt "github.com/frankban/quicktest"
)

// samplePacket returns a packet with messages, calls, responses and load reports.
func samplePacket(now time.Time) control.Packet {
	key := home.NewKey("acc", "key")
	command := home.NewCommand(home.CommandSubmit, key, time.UnixMilli(5).UTC(), home.WithService("s"),
		home.WithItems(2, 0, []home.Item{home.NewItem("a", 1), home.NewItem("b", 2)}))
	call := control.NewCall(control.CallApply, "home/a", now.Add(time.Second), control.WithCommand(command), control.WithKey(key))
	answer := home.NewAnswer(outcome.OK, "text", 3, "", "b1", time.UnixMilli(7).UTC())
	entry := ledger.NewEntry(3, 9, ledger.EntryMembers, nil, []ledger.Member{ledger.NewMember("i1#x", "i1", true)})
	return control.NewPacket("i1", "i2",
		control.WithMemberMessages([]member.Message{member.NewMessage(member.MessageProbe, "i1", "i2", member.WithProbe(4, "i3"),
			member.WithRows([]member.Instance{member.NewInstance("i1", "127.0.0.1:1", "a", 2, member.StateAlive)}, nil))}),
		control.WithLedgerMessages([]ledger.Message{ledger.NewMessage(ledger.MessageAppend, "home/a", "i1#x", "i2#y", 3,
			ledger.WithRoute("i1", "i2"), ledger.WithPosition(8, 2), ledger.WithEntries([]ledger.Entry{entry}))}),
		control.WithCalls([]control.ForwardedCall{control.NewForwardedCall(5, call)},
			[]control.CallResponse{control.NewCallResponse(6, control.NewResult(nil, control.WithReply(home.NewReply(outcome.OK, "", home.WithStoredAnswer(answer)))))}),
		control.WithLoadReports([]control.LoadReport{control.NewLoadReport("b1", 3)}))
}

// TestPacketRoundTrip checks that a decoded packet has the encoded contents.
func TestPacketRoundTrip(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	data, err := Encode(samplePacket(now))
	c.Assert(err, qt.IsNil)
	p, err := Decode(data, now)
	c.Assert(err, qt.IsNil)
	c.Assert(p.MemberMessages()[0].Instances()[0].Address(), qt.Equals, "127.0.0.1:1")
	c.Assert(p.LedgerMessages()[0].Entries()[0].Members()[0].Replica(), qt.Equals, ledger.ReplicaID("i1#x"))
	c.Assert(p.Calls()[0].Call().Command().Items(), qt.HasLen, 2)
	c.Assert(p.Responses()[0].Result().Reply().Answer().Text(), qt.Equals, "text")
	c.Assert(p.LoadReports()[0].OnlineRequests(), qt.Equals, 3)
}

// FuzzDecode checks that no input makes the packet decoder panic.
func FuzzDecode(f *testing.F) {
	data, err := Encode(samplePacket(time.Now()))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = Decode(data, time.Now()) })
}

// FuzzFrame checks that no input makes the frame reader panic.
func FuzzFrame(f *testing.F) {
	f.Add([]byte("\x02{}"))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Fuzz(func(_ *testing.T, data []byte) {
		var value any
		_ = newFrameCodec().ReadObject(bufio.NewReader(bytes.NewReader(data)), &value)
	})
}

// TestProofOfSharedKey checks which proofs are valid, also while keys are rotated.
func TestProofOfSharedKey(t *testing.T) {
	for _, test := range []struct {
		name   string
		signer string
		keys   []string
		valid  bool
	}{
		{"same key", "k1", []string{"k1"}, true},
		{"old key still accepted", "k1", []string{"k2", "k1"}, true},
		{"removed key", "k1", []string{"k2"}, false},
		{"no keys", "", nil, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			issued, err := newChallenge()
			c.Assert(err, qt.IsNil)
			c.Assert(validProof(test.keys, "i1", issued, sign(test.signer, "i1", issued)), qt.Equals, test.valid)
			c.Assert(validProof(test.keys, "i2", issued, sign(test.signer, "i1", issued)), qt.IsFalse)
		})
	}
}
