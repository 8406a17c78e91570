package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"papayaquay/io/instance"
	"papayaquay/io/settings"

	"github.com/urfave/cli/v3"
)

// configFlag is the flag with the path of the settings file.
var configFlag = &cli.StringFlag{Name: "config", Usage: "settings `FILE` (TOML)", Required: true}

// gcPercent is the growth of the heap, in percent, that starts a garbage
// collection. It is below the default of 100 because instances have little memory.
const gcPercent = 40

// cmdServe is the command that runs an instance.
var cmdServe = &cli.Command{
	Name:   "serve",
	Usage:  "run an instance; SIGTERM and SIGINT drain it",
	Flags:  []cli.Flag{configFlag},
	Action: serve,
}

// serve runs an instance until SIGTERM or SIGINT. SIGHUP reloads keys and
// secrets from the settings file.
func serve(ctx context.Context, c *cli.Command) error {
	s, err := settings.Load(c.String("config"))
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	logger := slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: s.LogLevel()}))
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	inst, err := instance.New(ctx, s, instance.WithLogger(logger), instance.WithVersion(version))
	if err != nil {
		return err
	}
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	go func() {
		for range hup {
			if s, err := settings.Load(c.String("config")); err != nil {
				fmt.Fprintln(os.Stderr, "papayaquay: settings not reloaded:", err)
			} else {
				inst.Reload(s)
			}
		}
	}()
	return inst.Run(ctx)
}
