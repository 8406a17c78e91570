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

// configFlag names the settings file.
var configFlag = &cli.StringFlag{Name: "config", Usage: "settings `FILE` (TOML)", Required: true}

// collectPercent makes the collector run early, since instances are small.
const collectPercent = 40

// cmdServe runs an instance.
var cmdServe = &cli.Command{
	Name:   "serve",
	Usage:  "run an instance until SIGTERM or SIGINT drains it",
	Flags:  []cli.Flag{configFlag},
	Action: serve,
}

// serve runs an instance. SIGHUP reads keys and secrets again.
func serve(ctx context.Context, c *cli.Command) error {
	s, err := settings.Load(c.String("config"))
	if err != nil {
		return err
	}
	debug.SetGCPercent(collectPercent)
	logger := slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: s.LogLevel()}))
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	i, err := instance.New(ctx, s, instance.WithLogger(logger), instance.WithVersion(version))
	if err != nil {
		return err
	}
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	go func() {
		for range reload {
			if s, err := settings.Load(c.String("config")); err != nil {
				fmt.Fprintln(os.Stderr, "papayaquay: settings not taken over:", err)
			} else {
				i.Reload(s)
			}
		}
	}()
	return i.Run(ctx)
}
