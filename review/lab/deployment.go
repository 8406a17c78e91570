package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// Ports of the deployment. Each process has its own loopback address.
const (
	peerPort    = 7720
	callerPort  = 8161
	readyPort   = 8167
	controlPort = 8166
	metricsPort = 9464
	workerPort  = 8080
)

// proxiedOffset is the distance of the address on which a process listens behind a proxy from
// its public one.
const proxiedOffset = 50

// Position of the entry that is behind proxies among all processes and among the entries.
const (
	proxiedEntry       = 7
	proxiedEntryNumber = 1
)

// ports are the ports by role on which others reach a process.
var ports = map[string][]int{
	"control": {peerPort, controlPort}, "store": {peerPort}, "entry": {peerPort, callerPort, readyPort},
}

// Time limits of the deployment.
const (
	startTimeout = 25 * time.Second
)

// names are the platform's names of headers and paths.
type names struct {
	RequestID      string `json:"request_id"`
	Proof          string `json:"proof"`
	NotRun         string `json:"not_run"`
	ExpectedWorker string `json:"expected_worker"`
	Load           string `json:"load"`
	TimeLeft       string `json:"time_left"`
	LastEvent      string `json:"last_event"`
	PutDocument    string `json:"put_document"`
	Heartbeat      string `json:"heartbeat"`
	Results        string `json:"results"`
	Document       string `json:"document"`
	GivenUp        string `json:"given_up"`
	BegunBy        string `json:"begun_by"`
}

// record writes what was sent, answered and run, with the time since the start.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
}

// add writes one line.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// process is a process of the system.
type process struct {
	name    string
	role    string
	address string // public address
	listen  string // where it listens behind a proxy, empty without one
	command *exec.Cmd
	exited  chan struct{}
}

// deployment is a small running system: three control, three store and three entry processes.
type deployment struct {
	program   string
	folder    string
	subnet    string
	names     names
	record    *record
	processes []*process
	client    *http.Client
	network   *network // proxies before some processes
	mu        sync.Mutex
	closed    bool
}

// newDeployment returns a deployment without processes.
func newDeployment(program, folder string, n names, r *record) *deployment {
	return &deployment{program: program, folder: folder, names: n, record: r, client: &http.Client{Timeout: 6 * time.Second}, network: newNetwork()}
}

// startAll starts the processes. With proxied, one entry and all processes with a disk are
// behind proxies.
func (d *deployment) startAll(proxied bool) error {
	for range 20 {
		d.subnet = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		l, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", d.subnet, controlPort))
		if err == nil {
			l.Close()
			break
		}
	}
	roles := []string{"control", "control", "control", "store", "store", "store", "entry", "entry", "entry"}
	for i, role := range roles {
		d.processes = append(d.processes, &process{name: fmt.Sprintf("%s-%d", role, i), role: role, address: fmt.Sprintf("%s.%d", d.subnet, i+1)})
	}
	for i, p := range d.processes {
		if !proxied || (p.role == "entry" && i != proxiedEntry) {
			continue
		}
		p.listen = fmt.Sprintf("%s.%d", strings.TrimSuffix(p.address, fmt.Sprintf(".%d", i+1)), proxiedOffset+i+1)
		for _, port := range ports[p.role] {
			if err := d.network.open(p.address, p.listen, port); err != nil {
				return err
			}
		}
	}
	for _, p := range d.processes {
		if err := d.start(p, true); err != nil {
			return err
		}
	}
	return nil
}

// start starts a process with settings as the template of the deploy file gives them.
func (d *deployment) start(p *process, first bool) error {
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s.%d:%d", d.subnet, i+1, controlPort)))
	}
	text := fmt.Sprintf("name = %q\ndata_centre = \"z1\"\naddress = %q\npeer_port = %d\nmetrics_port = %d\nseeds = [%s]\nfirst_start = %t\ntolerated_machines = 1\nmemory_mb = 200\nstop_bound = \"8s\"\nrole = %q\n",
		p.name, p.address, peerPort, metricsPort, strings.Join(seeds, ","), first, p.role)
	switch p.role {
	case "entry":
		text += fmt.Sprintf("caller_address = \"%s:%d\"\nready_address = \"%s:%d\"\n", p.address, callerPort, p.address, readyPort)
	case "control":
		text += fmt.Sprintf("control_address = \"%s:%d\"\n", p.address, controlPort)
	}
	if p.listen != "" {
		text += fmt.Sprintf("listen_address = %q\n", p.listen)
	}
	if p.role != "entry" {
		text += fmt.Sprintf("data_folder = %q\n", filepath.Join(d.folder, p.name))
	}
	file := filepath.Join(d.folder, p.name+".toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.folder, p.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p.command = exec.Command(d.program, "run", "--config", file)
	p.command.Stdout, p.command.Stderr = log, log
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return errClosed
	}
	if err := p.command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.exited = exited
	go func(c *exec.Cmd) {
		defer close(exited)
		_ = c.Wait() // the case kills its processes
	}(p.command)
	return nil
}

// errClosed says that the deployment is being closed.
var errClosed = errors.New("the deployment is closed")

// close kills all processes of the system.
func (d *deployment) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	d.network.close()
	for _, p := range d.processes {
		if p.exited != nil {
			_ = p.command.Process.Kill()
			<-p.exited
		}
	}
}

// withRole returns the processes of a role.
func (d *deployment) withRole(role string) []*process {
	var list []*process
	for _, p := range d.processes {
		if p.role == role {
			list = append(list, p)
		}
	}
	return list
}

// eventually reports whether a condition holds before the timeout.
func eventually(timeout time.Duration, condition func() bool) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// putDocument sends a configuration document to the control processes in turn until one
// accepts it.
func (d *deployment) putDocument(text string) bool {
	for _, p := range d.withRole("control") {
		if status, _ := d.post(fmt.Sprintf("http://%s:%d%s", p.address, controlPort, d.names.PutDocument), "", "", []byte(text)); status == http.StatusOK {
			return true
		}
	}
	return false
}

// awaitReady waits until each entry takes callers' connections.
func (d *deployment) awaitReady() bool {
	return eventually(startTimeout, func() bool {
		for _, p := range d.withRole("entry") {
			r, err := d.client.Get(fmt.Sprintf("http://%s:%d/ready", p.address, readyPort))
			if err != nil {
				return false
			}
			r.Body.Close()
			if r.StatusCode != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// post sends a POST request with an id, if it is not empty, and returns the status, 0 if
// there was no answer, and the body.
func (d *deployment) post(url, host, id string, body []byte) (int, []byte) {
	request, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	if id != "" {
		request.Header.Set(d.names.RequestID, id)
	}
	response, err := d.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, data
}

// entryURL returns the URL of a path at an entry.
func (d *deployment) entryURL(n int, path string) string {
	return fmt.Sprintf("http://%s:%d%s", d.withRole("entry")[n].address, callerPort, path)
}

// item is an item of a job.
type item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int               `json:"tokens"`
}

// newItem returns a sound item.
func newItem(id string) item {
	return item{ID: id, Path: "/jobs/1/" + id, Headers: map[string]string{"X-Model": "m", "X-Token-Usage": "350,200", "X-Prompt-Prefix": "9c2e41:100,5d07b8:250"}, Body: []byte("body of " + id), Tokens: 550}
}

// submit submits a job, at one entry after the other until one accepts it.
func (d *deployment) submit(id string, items []item) bool {
	body, err := json.Marshal(map[string]any{"requests": items})
	if err != nil {
		return false
	}
	return eventually(10*time.Second, func() bool {
		for n := range d.withRole("entry") {
			status, _ := d.post(d.entryURL(n, "/jobs/"+id), "jobs.example", id, body)
			d.record.add("client: job %s with %d items sent to entry %d: %d", id, len(items), n, status)
			if status == http.StatusAccepted {
				return true
			}
			time.Sleep(300 * time.Millisecond)
		}
		return false
	})
}

// result is a listed item.
type result struct {
	ID    string `json:"id"`
	State string `json:"state"`
	Text  string `json:"text"`
}

// results returns the listed items of a job and its number of items.
func (d *deployment) results(id string) ([]result, int) {
	for n := range d.withRole("entry") {
		request, err := http.NewRequest(http.MethodGet, d.entryURL(n, fmt.Sprintf(d.names.Results, id)), nil)
		if err != nil {
			return nil, 0
		}
		request.Host = "jobs.example"
		response, err := d.client.Do(request)
		if err != nil {
			continue
		}
		var page struct {
			Total   int      `json:"total"`
			Results []result `json:"results"`
		}
		err = json.NewDecoder(response.Body).Decode(&page)
		response.Body.Close()
		if err == nil && response.StatusCode == http.StatusOK {
			return page.Results, page.Total
		}
	}
	return nil, 0
}

// awaitResults waits until all items of a job are listed and returns what is listed then,
// or at the timeout.
func (d *deployment) awaitResults(id string, timeout time.Duration) []result {
	var list []result
	eventually(timeout, func() bool {
		var total int
		list, total = d.results(id)
		time.Sleep(200 * time.Millisecond)
		return total > 0 && len(list) == total
	})
	return list
}
