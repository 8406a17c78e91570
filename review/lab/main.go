// Command lab starts a small deployment with stand-in clients, workers and operator on
// loopback addresses, plays one case of the review, and exits with 1 if a rule was broken,
// 0 if it held, and 2 if the case could not run.
package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// playTimeout is the longest time that a case may take.
const playTimeout = 110 * time.Second

// cases are the cases by name.
var cases = map[string]func(*deployment, bool) (int, error){
	"late-copy": lateCopy,
	"foreign":   foreignReport,
	"records":   lostRecords,
	"crash":     crashingRequest,
	"restarted": restartedWorker,
	"versions":  joinedVersions,
	"deduced":   deducedVersion,
}

func main() {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/papayaquay", "program of the system")
	namesFile := flag.String("names", "review/lab/names.json", "names of the platform")
	recordFile := flag.String("record", "record.txt", "file for the record")
	keep := flag.Bool("keep", false, "keep the folder of the deployment")
	flag.Parse()
	code, err := play(*name, *program, *namesFile, *recordFile, *keep)
	if err != nil {
		fmt.Fprintln(os.Stderr, "lab:", err)
	}
	os.Exit(code)
}

// endEarly ends all processes when this one is to end, or when the case takes too long.
func endEarly(d *deployment) {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case <-stop:
	case <-time.After(playTimeout):
	}
	d.close()
	os.Exit(exitNotRun)
}

// play plays a case and returns the exit code.
func play(name, program, namesFile, recordFile string, keep bool) (int, error) {
	run := cases[name]
	if run == nil {
		return exitNotRun, fmt.Errorf("unknown case %q", name)
	}
	data, err := os.ReadFile(namesFile)
	if err != nil {
		return exitNotRun, err
	}
	var n names
	if err := json.Unmarshal(data, &n); err != nil {
		return exitNotRun, err
	}
	out, err := os.Create(recordFile)
	if err != nil {
		return exitNotRun, err
	}
	defer out.Close()
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return exitNotRun, err
	}
	if keep {
		fmt.Println(folder)
	} else {
		defer os.RemoveAll(folder)
	}
	d := newDeployment(program, folder, n, &record{out: out, start: time.Now()})
	defer d.close()
	go endEarly(d)
	if err := d.startAll(name == "versions" || name == "deduced"); err != nil {
		return exitNotRun, err
	}
	if !eventually(startTimeout, func() bool { return d.putDocument(fmt.Sprintf(n.Document, 3)) }) {
		return exitNotRun, errors.New("no configuration")
	}
	code, err := run(d, os.Getenv("TROUBLE") != "0")
	d.record.add("exit %d", code)
	return code, err
}
