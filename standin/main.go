// Command standin runs a substitute model engine or plain service that
// announces itself to the instances of a system.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"papayaquay/io/standin"
	papayaquayv1 "papayaquay/proto/papayaquay/v1"

	"github.com/urfave/cli/v3"
)

func main() {
	app := &cli.Command{
		Name:  "standin",
		Usage: "run a substitute backend server",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "entry", Usage: "base URL of an instance", Required: true},
			&cli.StringFlag{Name: "id", Value: "standin-1", Usage: "id of the backend server"},
			&cli.StringFlag{Name: "dc", Usage: "data centre", Required: true},
			&cli.StringSliceFlag{Name: "service", Usage: "service that it runs", Required: true},
			&cli.BoolFlag{Name: "plain", Usage: "a plain service instead of an engine"},
			&cli.IntFlag{Name: "slots", Value: standin.DefaultSlots, Usage: "requests at the same time"},
			&cli.DurationFlag{Name: "token-time", Value: standin.DefaultTokenTime, Usage: "time between tokens of a lone request"},
		},
		Action: run,
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := app.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

// run serves and announces until the context ends.
func run(ctx context.Context, c *cli.Command) error {
	message := &papayaquayv1.AnnounceRequest{Id: c.String("id"), DataCentre: c.String("dc"),
		Protocol: "engine", Slots: int32(c.Int("slots")), Services: c.StringSlice("service")}
	load := func() (int, int) { return 0, 0 }
	if c.Bool("plain") {
		p, err := standin.NewPlainService(c.String("id"), 10*time.Millisecond, &standin.Recorder{})
		if err != nil {
			return err
		}
		defer p.Close()
		message.Protocol, message.Address = "plain", p.URL()
	} else {
		e, err := standin.NewEngine(c.String("id"), standin.WithSlots(c.Int("slots")), standin.WithSpeed(c.Duration("token-time"), standin.DefaultPrefillPerByte))
		if err != nil {
			return err
		}
		defer e.Close()
		message.Address = e.URL()
		load = func() (int, int) { return e.Running(), e.Queued() }
	}
	standin.NewAnnouncer(message, func() []string { return c.StringSlice("entry") }, load).Run(ctx)
	return nil
}
