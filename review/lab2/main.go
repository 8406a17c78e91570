// Command lab2 runs the scripted cases of the second review: it starts the project's programs
// as separate processes on loopback addresses, with stand-ins for clients, workers and the
// operator.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0 // the rule held
	exitBroken = 1 // the rule was broken
	exitNotRun = 2 // the case could not run
)

// scenarios are the cases by name. A scenario returns whether the rule was broken.
var scenarios = map[string]func(record *recorder, trouble bool) (broken bool, err error){
	"foreign":   runForeign,
	"status":    runStatus,
	"versions":  runVersions,
	"poison":    runPoison,
	"shared":    runShared,
	"twice":     runTwice,
	"items":     runItems,
	"early":     runEarly,
	"restarted": runRestarted,
}

func main() { os.Exit(run()) }

// run runs the case that the arguments name and returns the exit code.
func run() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Println("usage: lab2 CASE RECORD")
		return exitNotRun
	}
	record, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer record.close()
	trouble := os.Getenv("TROUBLE") != "0"
	record.add("case %s, trouble %t", os.Args[1], trouble)
	broken, err := scenarios[os.Args[1]](record, trouble)
	switch {
	case err != nil:
		record.say("could not run: %v", err)
		return exitNotRun
	case broken:
		record.say("the rule was broken")
		return exitBroken
	}
	record.say("the rule held")
	return exitHeld
}
