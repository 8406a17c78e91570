package main

import (
	"context"
	"fmt"
	"runtime"

	"github.com/urfave/cli/v3"
)

// cmdVersion prints the version.
var cmdVersion = &cli.Command{
	Name:  "version",
	Usage: "print the version",
	Action: func(_ context.Context, c *cli.Command) error {
		fmt.Fprintln(c.Root().Writer, "papayaquay", version, runtime.Version())
		return nil
	},
}
