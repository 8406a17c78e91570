package main

import (
	"context"

	"github.com/urfave/cli/v3"
)

// cmdDemo shows the system on one machine.
var cmdDemo = &cli.Command{
	Name:  "demo",
	Usage: "run three instances and a few substitute engines in this process and use them",
	Flags: []cli.Flag{
		&cli.IntFlag{Name: "items", Value: 200, Usage: "items of the job"},
		&cli.IntFlag{Name: "asks", Value: 60, Usage: "online requests beside the job"},
	},
	Action: func(ctx context.Context, c *cli.Command) error {
		return runDemo(ctx, c.Root().Writer, int(c.Int("items")), int(c.Int("asks")))
	},
}
