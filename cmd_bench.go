package main

import (
	"github.com/urfave/cli/v3"
)

// cmdBench measures the system; see the bench_*.go files for each part.
var cmdBench = &cli.Command{
	Name:  "bench",
	Usage: "measure the system",
}
