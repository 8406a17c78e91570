package runner

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"papayaquay/core/batch"
	"papayaquay/core/directory"
	"papayaquay/core/member"

	qt "github.com/frankban/quicktest"
)

// setVersions replaces the servers by one for each version. Stale ones end with a star.
func (r *testRunner) setVersions(versions ...string) {
	d := directory.New(1, directory.WithAnnouncements())
	for _, version := range versions {
		at, name := r.now, version
		if version[len(version)-1] == '*' {
			at, name = r.now.Add(-time.Minute/2), version[:len(version)-1]
		}
		d.Announce(at, member.NewBackend("b-"+name, "b-"+name+":1", "z", member.ProtocolEngine, 4, 1, 1,
			member.WithServices("s"), member.WithVersion(name)))
	}
	r.world.Update(r.world.config, d.Servers(r.now), true)
}

// TestItemGoesOnAtItsVersion guards against the output of an item that servers of two software
// versions wrote.
func TestItemGoesOnAtItsVersion(t *testing.T) {
	for _, test := range []struct {
		name      string
		output    string // of the first attempt, which a server of version v1 made
		lastEvent uint64
		newLeader bool
		servers   []string // afterwards
		version   string   // of the second attempt, empty if there is none yet
		after     uint64   // event after which it resumes
		want      string   // output of the item
	}{
		{"a server of the version is left", "old", 30, false, []string{"v2", "v1"}, "v1", 30, "old\nnew"},
		{"none is left", "old", 30, false, []string{"v2"}, "v2", 0, "new"},
		{"none is left, output not stored", "old", 3, false, []string{"v2"}, "v2", 0, "new"},
		{"none is left, new leader", "old", 30, true, []string{"v2"}, "v2", 0, "new"},
		{"one is left, new leader", "old", 30, true, []string{"v2", "v1"}, "v1", 30, "old\nnew"},
		{"the one that is left is overdue", "old", 30, false, []string{"v2", "v1*"}, "v2", 0, "new"},
		{"all servers are overdue", "old", 30, false, []string{"v2*", "v1*"}, "", 0, ""},
		{"no output yet", "", 0, false, []string{"v2"}, "v2", 0, "new"},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newTestRunner(t, 1, 0)
			r.setVersions("v1")
			r.tick(0)
			r.c.Assert(r.started, qt.HasLen, 1)
			r.report(r.started[0], AttemptInterrupted, test.output, test.lastEvent)
			r.store()
			if test.newLeader {
				r.world.SetLeading(r.now, false, r.state)
				r.world.SetLeading(r.now, true, r.state)
			}
			r.setVersions(test.servers...)
			r.tick(time.Second)
			if test.version == "" {
				r.c.Assert(r.started, qt.HasLen, 1)
				return
			}
			r.c.Assert(r.started, qt.HasLen, 2)
			r.c.Check(r.started[1].Backend().Version(), qt.Equals, test.version)
			r.c.Check(r.started[1].LastEvent(), qt.Equals, test.after)
			r.report(r.started[1], AttemptDone, "new", test.after+1)
			r.store()
			j, _ := r.state.Job("job")
			r.c.Assert(j.Results(), qt.HasLen, 1)
			r.c.Check(string(j.Results()[0].Text()), qt.Equals, test.want)
		})
	}
}

// TestEndedServerGetsNoItems guards against items that a server continues which was started again
// under its id with another software version, before it has announced itself.
func TestEndedServerGetsNoItems(t *testing.T) {
	for _, test := range []struct {
		name        string
		status      AttemptStatus // of the first attempt
		incarnation uint64        // that the server announces afterwards
		version     string
		wait        time.Duration
		started     bool   // whether the item is started again
		after       uint64 // event after which it resumes
	}{
		{"no new announcement", AttemptServerEnded, 1, "v1", 2 * time.Second, false, 0},
		{"only the link failed", AttemptUnreachable, 1, "v1", 2 * time.Second, true, 30},
		{"new start, same version", AttemptServerEnded, 2, "v1", 2 * time.Second, true, 30},
		{"new start, other version", AttemptServerEnded, 2, "v2", 2 * time.Second, true, 0},
		{"still announces the first start much later", AttemptServerEnded, 1, "v1", member.EndedTime, true, 30},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newTestRunner(t, 1, 0)
			announce := func(incarnation, sequence uint64, version string) {
				d := directory.New(1)
				d.Announce(r.now, member.NewBackend("b", "b:1", "z", member.ProtocolEngine, 4, incarnation, sequence,
					member.WithServices("s"), member.WithVersion(version)))
				r.world.Update(r.world.config, d.Servers(r.now), true)
			}
			announce(1, 1, "v1")
			r.tick(0)
			r.c.Assert(r.started, qt.HasLen, 1)
			r.report(r.started[0], AttemptPartial, "old", 30)
			r.report(r.started[0], test.status, "", 30)
			r.store()
			announce(test.incarnation, 2, test.version)
			r.tick(test.wait)
			if !test.started {
				r.c.Assert(r.started, qt.HasLen, 1)
				return
			}
			r.c.Assert(r.started, qt.HasLen, 2)
			r.c.Check(r.started[1].LastEvent(), qt.Equals, test.after)
			r.c.Check(r.started[1].Backend().Version(), qt.Equals, test.version)
		})
	}
}

// store applies the outputs of the runner to the state of the ledger.
func (r *testRunner) store() {
	outputs := r.world.TakeOutputs()
	r.state.Apply(batch.Store(outputs))
	for _, output := range outputs {
		j, ok := r.state.Job(output.Job())
		r.c.Assert(ok, qt.IsTrue, qt.Commentf(fmt.Sprint(output)))
		r.world.ResultApplied(j, output)
	}
}

// TestPeers checks which servers are asked whether it is the link that refuses connections: those
// that work first, and others rather than none.
func TestPeers(t *testing.T) {
	for _, test := range []struct {
		name    string
		others  map[string]string // data centre by id
		failing map[string]bool
		want    []string
	}{
		{"none", nil, nil, nil},
		{"another data centre", map[string]string{"x": "z1"}, nil, nil},
		{"working first", map[string]string{"x": "z", "y": "z", "w": "z"}, map[string]bool{"w": true, "x": true}, []string{"y:1", "w:1"}},
		{"all failing", map[string]string{"x": "z"}, map[string]bool{"x": true}, []string{"x:1"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			d := directory.New(1)
			announce := func(id, dataCentre string) member.Backend {
				b := member.NewBackend(id, id+":1", dataCentre, member.ProtocolEngine, 4, 1, 1, member.WithServices("s"))
				d.Announce(now, b)
				return b
			}
			b := announce("b", "z")
			for _, id := range slices.Sorted(maps.Keys(test.others)) {
				announce(id, test.others[id])
			}
			got := peers(b, d.Servers(now), func(id string) bool { return test.failing[id] })
			qt.Assert(t, got, qt.DeepEquals, test.want)
		})
	}
}
