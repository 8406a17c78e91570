package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"papayaquay/core/event"
	"papayaquay/io/fleet"
	"papayaquay/io/logline"
	"papayaquay/io/settings"
	"papayaquay/platform"

	"github.com/urfave/cli/v3"
)

// Memory and settings of a fleet instance.
const (
	memoryShare    = 0.6 // of the allowed memory, where the collector works harder
	settingsPeriod = time.Second
)

// cmdRun runs an instance of a deployment with control instances.
var cmdRun = &cli.Command{
	Name:   "run",
	Usage:  "run an entry, control or store instance on the users' platform",
	Flags:  []cli.Flag{configFlag},
	Action: run,
}

// run runs an instance until SIGTERM or SIGINT. The settings file may change
// at any time; SIGHUP has it read at once.
func run(ctx context.Context, c *cli.Command) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP) // first of all: without it the signal ends the process
	path := c.String("config")
	s, err := settings.LoadFleet(path)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(float64(s.MemoryBytes()) * memoryShare))
	lines := logline.New(os.Stdout)
	defer lines.Flush()
	logger := slog.New(slog.NewJSONHandler(lines, &slog.HandlerOptions{Level: s.LogLevel()}))
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	p, err := fleet.New(s, platform.New(), append(faultOptions(path), fleet.WithLogger(logger))...)
	if err != nil {
		return err
	}
	go reload(ctx, hup, path, p, logger)
	return p.Run(ctx)
}

// reload takes over seeds from the settings file when it changed.
func reload(ctx context.Context, hup <-chan os.Signal, path string, p *fleet.Process, logger *slog.Logger) {
	tick := time.NewTicker(settingsPeriod)
	defer tick.Stop()
	changed := fileTime(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-tick.C:
			if fileTime(path).Equal(changed) {
				continue
			}
		}
		changed = fileTime(path)
		fresh, err := settings.LoadFleet(path)
		if err != nil {
			event.SettingsRejected.Log(logger, "error", err)
			continue
		}
		event.SettingsReloaded.Log(logger, "seeds", fresh.Seeds())
		p.SetSeeds(fresh)
	}
}

// fileTime returns when a file was changed, the zero time when unknown.
func fileTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
