package main

import (
	"context"
	"fmt"
	"runtime"

	"github.com/urfave/cli/v3"
)

// cmdVersion is the command that prints the version.
var cmdVersion = &cli.Command{
	Name:  "version",
	Usage: "print the versions of the program and of Go",
	Action: func(_ context.Context, c *cli.Command) error {
		fmt.Fprintln(c.Root().Writer, "papayaquay", version, runtime.Version())
		return nil
	},
}
