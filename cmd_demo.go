package main

import (
	"context"

	"github.com/urfave/cli/v3"
)

// cmdDemo is the command that demonstrates the system in one process.
var cmdDemo = &cli.Command{
	Name:  "demo",
	Usage: "run three instances and a few substitute engines in this process and send them requests",
	Flags: []cli.Flag{
		&cli.IntFlag{Name: "items", Value: 200, Usage: "number of items in the job"},
		&cli.IntFlag{Name: "asks", Value: 60, Usage: "number of online requests sent while the job runs"},
	},
	Action: func(ctx context.Context, c *cli.Command) error {
		return runDemo(ctx, c.Root().Writer, int(c.Int("items")), int(c.Int("asks")))
	},
}
