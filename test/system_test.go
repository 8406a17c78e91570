// Package test holds integration tests with real processes. Peers reach each
// other through proxies in the test process, which inject faults.
package test

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"papayaquay/io/standin"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"

	qt "github.com/frankban/quicktest"
)

// Bounds of the harness.
const (
	startBound = 20 * time.Second
	testBound  = 90 * time.Second
)

// service is the service of most tests.
const service = "brandtext"

// TestMain removes the built program at the end.
func TestMain(m *testing.M) {
	code := m.Run()
	standin.RemovePrograms()
	os.Exit(code)
}

// system is a running system of processes with substitute engines.
type system struct {
	t         testing.TB
	c         *qt.C
	ctx       context.Context
	layout    *standin.Layout
	folder    string
	mu        sync.Mutex // guards processes and exits
	processes map[string]*exec.Cmd
	exits     map[string]chan error
	proxies   map[wire]*toxiproxy.Proxy
	fleet     *standin.EngineGroup
	recorder  *standin.Recorder
}

// shape describes a system to start.
type shape struct {
	centres   []string
	perCentre int
	engines   int
	extra     string
	options   []standin.EngineOption
	proxied   bool
}

// start runs all processes of a system and waits until it is ready.
func start(t testing.TB, s shape) *system {
	t.Helper()
	path, err := standin.BuildProgram()
	c := qt.New(t)
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithTimeout(context.Background(), testBound)
	t.Cleanup(cancel)
	folder := t.TempDir()
	layout, err := standin.NewLayout(folder, s.centres, s.perCentre, s.extra)
	c.Assert(err, qt.IsNil)
	x := &system{t: t, c: c, ctx: ctx, layout: layout, folder: folder, processes: make(map[string]*exec.Cmd),
		exits: make(map[string]chan error), proxies: make(map[wire]*toxiproxy.Proxy), recorder: &standin.Recorder{}}
	if s.proxied {
		x.proxyAll(s.centres)
	}
	for _, p := range layout.Instances() {
		x.run(path, p)
	}
	t.Cleanup(x.stopAll)
	x.fleet, err = standin.NewEngineGroup(ctx, layout, s.engines, []string{service}, append(s.options, standin.WithRecorder(x.recorder))...)
	c.Assert(err, qt.IsNil)
	t.Cleanup(x.fleet.Close)
	x.awaitReady()
	c.Assert(standin.CreateService(ctx, layout.URLs(), service, "engine"), qt.IsNil)
	return x
}

// awaitReady waits until all instances see each other and all engines.
func (x *system) awaitReady() {
	x.t.Helper()
	ctx, cancel := context.WithTimeout(x.ctx, startBound)
	defer cancel()
	x.c.Assert(standin.AwaitReady(ctx, x.layout.URLs(), len(x.fleet.Engines())), qt.IsNil)
}

// wire is the way from a data centre to an instance of another one.
type wire struct {
	centre string
	name   string
}

// proxyAll puts a proxy between each data centre and the instances of others.
func (x *system) proxyAll(centres []string) {
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	for _, centre := range centres {
		for _, p := range x.layout.Instances() {
			if p.DataCentre == centre {
				continue
			}
			proxy := toxiproxy.NewProxy(server, centre+"-"+p.Name, "127.0.0.1:0", p.PeerAddress)
			x.c.Assert(proxy.Start(), qt.IsNil)
			x.t.Cleanup(proxy.Stop)
			x.proxies[wire{centre, p.Name}] = proxy
			x.layout.SetPeerAddress(centre, p.Name, proxy.Listen)
		}
	}
}

// cut separates data centres: from one side to the other, silently (packets
// vanish) or loudly (connections end).
func (x *system) cut(from, to []string, silent bool) {
	x.t.Helper()
	for w, proxy := range x.proxies {
		if !slices.Contains(from, w.centre) || !slices.Contains(to, x.place(w.name).DataCentre) {
			continue
		}
		if !silent {
			proxy.Stop()
			continue
		}
		toxic := strings.NewReader(`{"name":"silence","type":"timeout","stream":"upstream","attributes":{"timeout":0}}`)
		_, err := proxy.Toxics.AddToxicJson(toxic)
		x.c.Assert(err, qt.IsNil)
	}
}

// heal ends all cuts.
func (x *system) heal() {
	x.t.Helper()
	for _, proxy := range x.proxies {
		proxy.Toxics.ResetToxics(x.ctx)
		if !proxy.Enabled {
			x.c.Assert(proxy.Start(), qt.IsNil)
		}
	}
}

// run starts the process of one instance.
func (x *system) run(path string, p standin.InstanceConfig) {
	x.t.Helper()
	file := filepath.Join(x.folder, p.Name+".toml")
	x.c.Assert(os.WriteFile(file, []byte(x.layout.Settings(p)), 0o600), qt.IsNil)
	log, err := os.OpenFile(filepath.Join(x.folder, p.Name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	x.c.Assert(err, qt.IsNil)
	defer log.Close()
	cmd := exec.Command(path, "serve", "--config", file)
	cmd.Stderr = log
	x.c.Assert(cmd.Start(), qt.IsNil)
	exit := make(chan error, 1)
	go func() { exit <- cmd.Wait() }()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.processes[p.Name], x.exits[p.Name] = cmd, exit
}

// restart starts an ended instance again.
func (x *system) restart(name string) {
	x.t.Helper()
	path, err := standin.BuildProgram()
	x.c.Assert(err, qt.IsNil)
	x.run(path, x.place(name))
}

// place returns an instance of the layout.
func (x *system) place(name string) standin.InstanceConfig {
	for _, p := range x.layout.Instances() {
		if p.Name == name {
			return p
		}
	}
	x.t.Fatalf("no instance %s", name)
	return standin.InstanceConfig{}
}

// kill ends an instance at once and waits for its end.
func (x *system) kill(name string) {
	x.t.Helper()
	cmd, exit := x.take(name)
	x.c.Assert(cmd.Process.Kill(), qt.IsNil)
	<-exit
}

// take removes an instance from the running ones.
func (x *system) take(name string) (*exec.Cmd, chan error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	cmd, exit := x.processes[name], x.exits[name]
	delete(x.processes, name)
	return cmd, exit
}

// signal sends a signal to an instance.
func (x *system) signal(name string, s syscall.Signal) {
	x.t.Helper()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.c.Assert(x.processes[name].Process.Signal(s), qt.IsNil)
}

// awaitExit waits for the planned end of an instance.
func (x *system) awaitExit(name string, bound time.Duration) {
	x.t.Helper()
	_, exit := x.take(name)
	select {
	case err := <-exit:
		x.c.Assert(err, qt.IsNil, qt.Commentf("%s", x.logOf(name)))
	case <-time.After(bound):
		x.t.Fatalf("%s did not end within %s: %s", name, bound, x.logOf(name))
	}
}

// logOf returns the end of an instance's log.
func (x *system) logOf(name string) string {
	const tail = 4000
	data, _ := os.ReadFile(filepath.Join(x.folder, name+".log"))
	return string(data[max(len(data)-tail, 0):])
}

// stopAll ends all processes at once. A panic in any log fails the test.
func (x *system) stopAll() {
	for name, cmd := range x.processes {
		_ = cmd.Process.Kill()
		<-x.exits[name]
	}
	for _, p := range x.layout.Instances() {
		if log := x.logOf(p.Name); strings.Contains(log, "panic:") || strings.Contains(log, "DATA RACE") {
			x.t.Errorf("%s: %s", p.Name, log)
		}
	}
}
