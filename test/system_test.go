// Package test holds integration tests with real processes. In tests with network
// faults, peers of different data centres connect through proxies in the test
// process.
package test

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
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

// Time limits of the tests.
const (
	startTimeout = 20 * time.Second
	testTimeout  = 90 * time.Second
)

// service is the name of the service that tests use.
const service = "brandtext"

// TestMain runs the tests and then removes the program that they built.
func TestMain(m *testing.M) {
	code := m.Run()
	standin.RemovePrograms()
	os.Exit(code)
}

// system is a running system of instances, one process each, with substitute
// engines in the test process.
type system struct {
	t           testing.TB
	c           *qt.C
	ctx         context.Context
	layout      *standin.Layout
	folder      string
	mu          sync.Mutex // guards processes and exits
	processes   map[string]*exec.Cmd
	exits       map[string]chan error
	proxies     map[link]*toxiproxy.Proxy
	engineGroup *standin.EngineGroup
	recorder    *standin.Recorder
	descriptors int
}

// systemOptions describes the system that startSystem starts. Each data centre has
// perCentre instances; proxied puts a proxy between data centres.
type systemOptions struct {
	centres       []string
	perCentre     int
	engines       int
	extraSettings string
	engineOptions []standin.EngineOption
	proxied       bool
	descriptors   int // that an instance may open, 0 for the limit of the test
}

// startSystem starts all processes of a system, waits until it is ready and
// creates the test service.
func startSystem(t testing.TB, o systemOptions) *system {
	t.Helper()
	program, err := standin.BuildProgram()
	c := qt.New(t)
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	folder := t.TempDir()
	layout, err := standin.NewLayout(folder, o.centres, o.perCentre, o.extraSettings)
	c.Assert(err, qt.IsNil)
	sys := &system{t: t, c: c, ctx: ctx, layout: layout, folder: folder, processes: make(map[string]*exec.Cmd),
		exits: make(map[string]chan error), proxies: make(map[link]*toxiproxy.Proxy), recorder: &standin.Recorder{}, descriptors: o.descriptors}
	if o.proxied {
		sys.addProxies(o.centres)
	}
	for _, p := range layout.Instances() {
		sys.startInstance(program, p)
	}
	t.Cleanup(sys.killAll)
	sys.engineGroup, err = standin.NewEngineGroup(ctx, layout, o.engines, []string{service}, append(o.engineOptions, standin.WithRecorder(sys.recorder))...)
	c.Assert(err, qt.IsNil)
	t.Cleanup(sys.engineGroup.Close)
	sys.awaitReady()
	c.Assert(standin.CreateService(ctx, layout.URLs(), service, "engine"), qt.IsNil)
	return sys
}

// awaitReady waits until all instances see all engines and report no problem.
func (sys *system) awaitReady() {
	sys.t.Helper()
	ctx, cancel := context.WithTimeout(sys.ctx, startTimeout)
	defer cancel()
	sys.c.Assert(standin.AwaitReady(ctx, sys.layout.URLs(), len(sys.engineGroup.Engines())), qt.IsNil)
}

// link is the connection from a data centre to an instance of another one.
type link struct {
	fromCentre string
	toInstance string
}

// addProxies starts a proxy for each link between data centres.
func (sys *system) addProxies(centres []string) {
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	for _, centre := range centres {
		for _, p := range sys.layout.Instances() {
			if p.DataCentre == centre {
				continue
			}
			proxy := toxiproxy.NewProxy(server, centre+"-"+p.Name, "127.0.0.1:0", p.PeerAddress)
			sys.c.Assert(proxy.Start(), qt.IsNil)
			sys.t.Cleanup(proxy.Stop)
			sys.proxies[link{centre, p.Name}] = proxy
			sys.layout.SetPeerAddress(centre, p.Name, proxy.Listen)
		}
	}
}

// partition blocks the links from some data centres to others. If blackhole is
// set, packets are dropped and connections stay open; otherwise connections are
// closed.
func (sys *system) partition(from, to []string, blackhole bool) {
	sys.t.Helper()
	for l, proxy := range sys.proxies {
		if !slices.Contains(from, l.fromCentre) || !slices.Contains(to, sys.instance(l.toInstance).DataCentre) {
			continue
		}
		if !blackhole {
			proxy.Stop()
			continue
		}
		toxic := strings.NewReader(`{"name":"silence","type":"timeout","stream":"upstream","attributes":{"timeout":0}}`)
		_, err := proxy.Toxics.AddToxicJson(toxic)
		sys.c.Assert(err, qt.IsNil)
	}
}

// heal ends all partitions.
func (sys *system) heal() {
	sys.t.Helper()
	for _, proxy := range sys.proxies {
		proxy.Toxics.ResetToxics(sys.ctx)
		if !proxy.Enabled {
			sys.c.Assert(proxy.Start(), qt.IsNil)
		}
	}
}

// startInstance writes the settings file of an instance and starts its process.
func (sys *system) startInstance(program string, p standin.InstanceConfig) {
	sys.t.Helper()
	settingsFile := filepath.Join(sys.folder, p.Name+".toml")
	sys.c.Assert(os.WriteFile(settingsFile, []byte(sys.layout.Settings(p)), 0o600), qt.IsNil)
	logFile, err := os.OpenFile(filepath.Join(sys.folder, p.Name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	sys.c.Assert(err, qt.IsNil)
	defer logFile.Close()
	process := exec.Command(program, "serve", "--config", settingsFile)
	if sys.descriptors > 0 {
		process = exec.Command("/bin/sh", "-c", `ulimit -n "$0" && exec "$@"`, strconv.Itoa(sys.descriptors), program, "serve", "--config", settingsFile)
	}
	process.Stderr = logFile
	sys.c.Assert(process.Start(), qt.IsNil)
	exit := make(chan error, 1)
	go func() { exit <- process.Wait() }()
	sys.mu.Lock()
	defer sys.mu.Unlock()
	sys.processes[p.Name], sys.exits[p.Name] = process, exit
}

// restart starts an instance again after its process has ended.
func (sys *system) restart(name string) {
	sys.t.Helper()
	program, err := standin.BuildProgram()
	sys.c.Assert(err, qt.IsNil)
	sys.startInstance(program, sys.instance(name))
}

// instance returns the configuration of the instance with the given name.
func (sys *system) instance(name string) standin.InstanceConfig {
	for _, p := range sys.layout.Instances() {
		if p.Name == name {
			return p
		}
	}
	sys.t.Fatalf("no instance %s", name)
	return standin.InstanceConfig{}
}

// kill kills the process of an instance and waits until it has ended.
func (sys *system) kill(name string) {
	sys.t.Helper()
	cmd, exit := sys.removeProcess(name)
	sys.c.Assert(cmd.Process.Kill(), qt.IsNil)
	<-exit
}

// removeProcess removes an instance from the running processes and returns its
// process and the channel that receives its exit status.
func (sys *system) removeProcess(name string) (*exec.Cmd, chan error) {
	sys.mu.Lock()
	defer sys.mu.Unlock()
	cmd, exit := sys.processes[name], sys.exits[name]
	delete(sys.processes, name)
	return cmd, exit
}

// signal sends a signal to the process of an instance.
func (sys *system) signal(name string, s syscall.Signal) {
	sys.t.Helper()
	sys.mu.Lock()
	defer sys.mu.Unlock()
	sys.c.Assert(sys.processes[name].Process.Signal(s), qt.IsNil)
}

// awaitExit waits until an instance has exited, and fails the test unless it exits
// without an error within timeout.
func (sys *system) awaitExit(name string, timeout time.Duration) {
	sys.t.Helper()
	_, exit := sys.removeProcess(name)
	select {
	case err := <-exit:
		sys.c.Assert(err, qt.IsNil, qt.Commentf("%s", sys.logTail(name)))
	case <-time.After(timeout):
		sys.t.Fatalf("%s did not exit within %s: %s", name, timeout, sys.logTail(name))
	}
}

// logTail returns the last 4000 bytes of an instance's log.
func (sys *system) logTail(name string) string {
	const maxBytes = 4000
	data, _ := os.ReadFile(filepath.Join(sys.folder, name+".log"))
	return string(data[max(len(data)-maxBytes, 0):])
}

// killAll kills all processes. A panic or a data race in any log fails the test.
func (sys *system) killAll() {
	for name, cmd := range sys.processes {
		_ = cmd.Process.Kill()
		<-sys.exits[name]
	}
	for _, p := range sys.layout.Instances() {
		if log := sys.logTail(p.Name); strings.Contains(log, "panic:") || strings.Contains(log, "DATA RACE") {
			sys.t.Errorf("%s: %s", p.Name, log)
		}
	}
}
