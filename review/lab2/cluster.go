package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Ports of the instances. Each instance has a loopback address of its own.
const (
	peerPort    = 7720
	callerPort  = 8161
	readyPort   = 8167
	controlPort = 8166
	metricsPort = 9464
	workerPort  = 8080
)

// entryCount is the number of entries.
const entryCount = 2

// program is the program that the deploy file builds.
const program = "target/papayaquay"

// instance is a process of the system.
type instance struct {
	name    string
	role    string
	zone    string
	address string // at which the others reach it
	listen  string // at which it listens behind a proxy, empty without one
	command *exec.Cmd
	ended   chan struct{}
}

// host returns the address at which an instance listens.
func (i *instance) host() string {
	if i.listen != "" {
		return i.listen
	}
	return i.address
}

// cluster is a small deployment: processes, workers and an operator.
type cluster struct {
	record    *recorder
	folder    string
	subnet    string
	zones     []string
	instances []*instance
	workers   []*worker
	proxies   []*proxy
}

// errBusy says that no loopback network with free ports was found.
var errBusy = errors.New("no free loopback network")

// freeSubnet returns the first three numbers of a loopback network in which the ports are free.
func freeSubnet() (string, error) {
	for i := range 200 {
		subnet := fmt.Sprintf("127.%d.%d", 20+(os.Getpid()+i)%200, 1+(os.Getpid()/200+i)%250)
		l, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", subnet, peerPort))
		if err != nil {
			continue
		}
		l.Close()
		return subnet, nil
	}
	return "", errBusy
}

// newCluster starts control and store instances, one a zone, and two entries. prepare, if it is not
// nil, is called before the processes start.
func newCluster(record *recorder, prepare func(*cluster) error) (*cluster, error) {
	subnet, err := freeSubnet()
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	c := &cluster{record: record, folder: folder, subnet: subnet, zones: []string{"a", "b", "c"}}
	for _, role := range []string{"control", "store"} {
		for _, zone := range c.zones {
			c.add(role, zone)
		}
	}
	for n := range entryCount {
		c.add("entry", c.zones[n])
	}
	if prepare != nil {
		if err := prepare(c); err != nil {
			return c, err
		}
	}
	for _, i := range c.instances {
		if err := c.start(i, true); err != nil {
			return c, err
		}
	}
	return c, nil
}

// fleet describes the workers of a case.
type fleet struct {
	workers    int
	slots      int
	eventCount int
	eventPause time.Duration
	software   string // version, v1 if empty
}

// version returns the software version of the workers.
func (f fleet) version() string {
	if f.software == "" {
		return "v1"
	}
	return f.software
}

// settleTime is the time after the start in which all that was started gets known everywhere.
const settleTime = 8 * time.Second

// startCase starts a deployment with three zones, two entries and workers, and waits until it has
// settled. The caller must close the deployment if it is not nil.
func startCase(record *recorder, manifest string, f fleet) (*cluster, error) {
	c, err := newCluster(record, nil)
	if err != nil {
		return c, err
	}
	if err := c.configure(manifest); err != nil {
		return c, err
	}
	for n := range f.workers {
		if err := c.addWorker(c.zones[n%len(c.zones)], f); err != nil {
			return c, err
		}
	}
	if err := c.await(30 * time.Second); err != nil {
		return c, err
	}
	time.Sleep(settleTime)
	return c, nil
}

// add adds an instance to the list.
func (c *cluster) add(role, zone string) {
	n := len(c.instances) + 1
	c.instances = append(c.instances, &instance{name: fmt.Sprintf("%s-%d", role, n), role: role, zone: zone, address: fmt.Sprintf("%s.%d", c.subnet, n)})
}

// settings returns the settings file of an instance.
func (c *cluster) settings(i *instance, first bool) string {
	var seeds []string
	for n := range min(3, len(c.zones)) {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s.%d:%d", c.subnet, n+1, controlPort)))
	}
	text := fmt.Sprintf("name = %q\ndata_centre = %q\naddress = %q\npeer_port = %d\nmetrics_port = %d\nseeds = [%s]\nfirst_start = %t\ntolerated_machines = 1\nmemory_mb = 206\nstop_bound = \"8s\"\nrole = %q\n",
		i.name, i.zone, i.address, peerPort, metricsPort, strings.Join(seeds, ", "), first, i.role)
	switch i.role {
	case "entry":
		text += fmt.Sprintf("caller_address = \"%s:%d\"\nready_address = \"%s:%d\"\n", i.address, callerPort, i.address, readyPort)
	case "control":
		text += fmt.Sprintf("control_address = \"%s:%d\"\n", i.address, controlPort)
	}
	if i.listen != "" {
		text += fmt.Sprintf("listen_address = %q\n", i.listen)
	}
	if i.role != "entry" {
		text += fmt.Sprintf("data_folder = %q\n", filepath.Join(c.folder, i.name))
	}
	return text
}

// start starts the process of an instance with the command of the deploy file.
func (c *cluster) start(i *instance, first bool) error {
	file := filepath.Join(c.folder, i.name+".toml")
	if err := os.WriteFile(file, []byte(c.settings(i, first)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(c.folder, i.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	i.command = exec.Command(program, "run", "--config", file)
	i.command.Stdout, i.command.Stderr = log, log
	i.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := i.command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	i.ended = ended
	go func(command *exec.Cmd) {
		_ = command.Wait()
		close(ended)
	}(i.command)
	c.record.add("%s starts", i.name)
	return nil
}

// role returns the instances of a role.
func (c *cluster) role(role string) []*instance {
	var found []*instance
	for _, i := range c.instances {
		if i.role == role {
			found = append(found, i)
		}
	}
	return found
}

// close ends all processes and workers.
func (c *cluster) close() {
	for _, w := range c.workers {
		w.stop()
	}
	for _, p := range c.proxies {
		p.listener.Close()
	}
	for _, i := range c.instances {
		if i.command != nil && i.command.Process != nil {
			_ = i.command.Process.Kill()
			<-i.ended
		}
	}
	_ = os.RemoveAll(c.folder)
}

// errNotReady says that the deployment did not get ready.
var errNotReady = errors.New("the deployment did not get ready")

// await waits until all entries are ready.
func (c *cluster) await(timeout time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	end := time.Now().Add(timeout)
	for _, i := range c.role("entry") {
		for {
			r, err := client.Get(fmt.Sprintf("http://%s:%d/ready", i.host(), readyPort))
			if err == nil {
				r.Body.Close()
				if r.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return errNotReady
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// configure sends a manifest until an instance accepts it.
func (c *cluster) configure(manifest string) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, i := range c.role("control") {
			r, err := client.Post(fmt.Sprintf("http://%s:%d%s", i.host(), controlPort, names["put_config"]), "application/json", strings.NewReader(manifest))
			if err != nil {
				continue
			}
			r.Body.Close()
			if r.StatusCode == http.StatusOK {
				return nil
			}
		}
	}
	return errNotReady
}
