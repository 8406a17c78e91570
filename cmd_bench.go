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
				return experiment.MeasureEntry(ctx, c.Root().Writer, c.Float("rate"), c.Duration("length"))
			},
		},
		{
			Name: "ledger", Usage: "commits and item completions of one home ledger", Flags: []cli.Flag{lengthFlag},
			Action: func(ctx context.Context, c *cli.Command) error {
				return experiment.MeasureLedger(ctx, c.Root().Writer, c.Duration("length"))
			},
		},
		{
			Name: "members", Usage: "cost of membership by the number of instances",
			Flags: []cli.Flag{&cli.IntSliceFlag{Name: "sizes", Value: []int{57, 114, 228}, Usage: "numbers of instances"}},
			Action: func(_ context.Context, c *cli.Command) error {
				return experiment.MeasureMembership(c.Root().Writer, c.IntSlice("sizes"))
			},
		},
		{
			Name: "load", Usage: "latency of online requests under load and faults", Flags: loadFlags, Action: benchLoad,
		},
		{
			Name: "state", Usage: "memory of home state and start-up time by size",
			Action: func(ctx context.Context, c *cli.Command) error { return experiment.MeasureState(ctx, c.Root().Writer) },
		},
	},
}

// loadFlags describe a load experiment.
var loadFlags = []cli.Flag{
	&cli.DurationFlag{Name: "length", Value: 9 * time.Second, Usage: "time of the load"},
	&cli.FloatFlag{Name: "rate", Value: 60, Usage: "online requests a second"},
	&cli.IntFlag{Name: "engines", Value: 20, Usage: "substitute engines"},
	&cli.IntFlag{Name: "entries", Value: 1, Usage: "instances in each of three data centres"},
	&cli.IntFlag{Name: "items", Usage: "batch items beside the online load"},
	&cli.FloatFlag{Name: "long", Usage: "share of requests 30 times longer"},
	&cli.IntFlag{Name: "slowed", Usage: "engines slowed ten times at a time"},
	&cli.BoolFlag{Name: "burst", Usage: "three times the rate in the middle third"},
	&cli.StringSliceFlag{Name: "plain", Usage: "policy parts at their baseline: choice, limit, hedge, eject, affinity, order"},
	&cli.IntSliceFlag{Name: "seeds", Value: []int{1}, Usage: "one run for each seed"},
	&cli.BoolFlag{Name: "json", Usage: "print JSON"},
}

// benchLoad runs one load experiment for each seed.
func benchLoad(ctx context.Context, c *cli.Command) error {
	for _, seed := range c.IntSlice("seeds") {
		result, err := experiment.LoadTest{
			Rate: c.Float("rate"), Duration: c.Duration("length"), Engines: c.Int("engines"), EntriesPerDataCentre: c.Int("entries"),
			BatchItems: c.Int("items"), LongShare: c.Float("long"), SlowedEngines: c.Int("slowed"), Burst: c.Bool("burst"),
			BaselineParts: c.StringSlice("plain"), Seed: uint64(seed),
		}.Run(ctx)
		if err != nil {
			return err
		}
		if err := result.Print(c.Root().Writer, c.Bool("json")); err != nil {
			return err
		}
	}
	return nil
}
