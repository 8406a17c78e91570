package main

import (
	"context"
	"time"

	"papayaquay/io/experiment"

	"github.com/urfave/cli/v3"
)

// lengthFlag bounds a measurement.
var lengthFlag = &cli.DurationFlag{Name: "length", Value: 5 * time.Second, Usage: "time of each measurement"}

// cmdBench measures the system on this machine.
var cmdBench = &cli.Command{
	Name:  "bench",
	Usage: "measure the system on this machine",
	Commands: []*cli.Command{
		{
			Name: "entry", Usage: "what an entry adds to the first token",
			Flags: []cli.Flag{lengthFlag, &cli.FloatFlag{Name: "rate", Value: 200, Usage: "requests a second"}},
			Action: func(ctx context.Context, c *cli.Command) error {
				return experiment.Entry(ctx, c.Root().Writer, c.Float("rate"), c.Duration("length"))
			},
		},
		{
			Name: "ledger", Usage: "commits and item completions of one home ledger", Flags: []cli.Flag{lengthFlag},
			Action: func(ctx context.Context, c *cli.Command) error {
				return experiment.Ledger(ctx, c.Root().Writer, c.Duration("length"))
			},
		},
		{
			Name: "members", Usage: "cost of membership by the number of instances",
			Flags: []cli.Flag{&cli.IntSliceFlag{Name: "sizes", Value: []int{57, 114, 228}, Usage: "numbers of instances"}},
			Action: func(_ context.Context, c *cli.Command) error {
				return experiment.Members(c.Root().Writer, c.IntSlice("sizes"))
			},
		},
		{
			Name: "state", Usage: "memory of home state and start-up time by size",
			Action: func(ctx context.Context, c *cli.Command) error { return experiment.State(ctx, c.Root().Writer) },
		},
	},
}
