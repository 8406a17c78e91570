package main

import (
	"context"
	"time"

	"papayaquay/io/experiment"

	"github.com/urfave/cli/v3"
)

// durationFlag sets the duration of a measurement.
var durationFlag = &cli.DurationFlag{Name: "length", Value: 5 * time.Second, Usage: "duration of each measurement"}

// cmdBench is the command that measures the system on this machine.
var cmdBench = &cli.Command{
	Name:  "bench",
	Usage: "measure the system on this machine",
	Commands: []*cli.Command{
		{
			Name: "entry", Usage: "measure the latency that an entry adds to the first token",
			Flags: []cli.Flag{durationFlag, &cli.FloatFlag{Name: "rate", Value: 200, Usage: "requests per second"}},
			Action: func(ctx context.Context, c *cli.Command) error {
				return experiment.MeasureEntry(ctx, c.Root().Writer, c.Float("rate"), c.Duration("length"))
			},
		},
		{
			Name: "ledger", Usage: "measure commits and item completions per second of one home ledger", Flags: []cli.Flag{durationFlag},
			Action: func(ctx context.Context, c *cli.Command) error {
				return experiment.MeasureLedger(ctx, c.Root().Writer, c.Duration("length"))
			},
		},
		{
			Name: "members", Usage: "measure the cost of membership by the number of instances",
			Flags: []cli.Flag{&cli.IntSliceFlag{Name: "sizes", Value: []int{57, 114, 228}, Usage: "numbers of instances to measure"}},
			Action: func(_ context.Context, c *cli.Command) error {
				return experiment.MeasureMembership(c.Root().Writer, c.IntSlice("sizes"))
			},
		},
		{
			Name: "load", Usage: "measure the latency of online requests under load and faults", Flags: loadFlags, Action: benchLoad,
		},
		{
			Name: "state", Usage: "measure the memory and the start-up time of a home ledger by the size of its state",
			Action: func(ctx context.Context, c *cli.Command) error { return experiment.MeasureState(ctx, c.Root().Writer) },
		},
	},
}

// loadFlags are the flags of the load experiment.
var loadFlags = []cli.Flag{
	&cli.DurationFlag{Name: "length", Value: 9 * time.Second, Usage: "duration of the load"},
	&cli.FloatFlag{Name: "rate", Value: 60, Usage: "online requests per second"},
	&cli.IntFlag{Name: "engines", Value: 20, Usage: "number of substitute engines"},
	&cli.IntFlag{Name: "entries", Value: 1, Usage: "instances in each of three data centres"},
	&cli.IntFlag{Name: "items", Usage: "number of batch items that run during the online load"},
	&cli.FloatFlag{Name: "long", Usage: "fraction of requests that generate 30 times as many tokens"},
	&cli.IntFlag{Name: "slowed", Usage: "number of engines that run ten times slower at any time"},
	&cli.BoolFlag{Name: "burst", Usage: "triple the rate in the middle third of the load"},
	&cli.StringSliceFlag{Name: "plain", Usage: "parts of the traffic policy to replace by their baseline: choice, limit, hedge, eject, affinity, order"},
	&cli.IntSliceFlag{Name: "seeds", Value: []int{1}, Usage: "random seeds; the experiment runs once for each"},
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
