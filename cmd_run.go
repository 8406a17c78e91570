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

// Memory limit and settings reload of a fleet instance.
const (
	memoryLimitShare     = 0.6 // soft limit of the garbage collector, as a fraction of the allowed memory
	settingsPollInterval = time.Second
)

// cmdRun is the command that runs an instance of a deployment with control
// instances.
var cmdRun = &cli.Command{
	Name:   "run",
	Usage:  "run an entry, control or store instance on the users' platform",
	Flags:  []cli.Flag{configFlag},
	Action: run,
}

// run runs an instance until SIGTERM or SIGINT. Changed seeds in the settings file
// take effect within settingsPollInterval, or at once on SIGHUP.
func run(ctx context.Context, c *cli.Command) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP) // before anything else: an unhandled SIGHUP terminates the process
	path := c.String("config")
	s, err := settings.LoadFleet(path)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(float64(s.MemoryBytes()) * memoryLimitShare))
	logOutput := logline.New(os.Stdout)
	defer logOutput.Flush()
	logger := slog.New(slog.NewJSONHandler(logOutput, &slog.HandlerOptions{Level: s.LogLevel()}))
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	process, err := fleet.New(s, platform.NewFrontEnd(), append(faultOptions(path), fleet.WithLogger(logger))...)
	if err != nil {
		return err
	}
	go watchSettings(ctx, hup, path, process, logger)
	return process.Run(ctx)
}

// watchSettings applies the seeds of the settings file to the process each time
// the file changes or hup receives a signal, until ctx ends. Invalid settings are
// logged and ignored.
func watchSettings(ctx context.Context, hup <-chan os.Signal, path string, process *fleet.Process, logger *slog.Logger) {
	tick := time.NewTicker(settingsPollInterval)
	defer tick.Stop()
	lastModified := modificationTime(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-tick.C:
			if modificationTime(path).Equal(lastModified) {
				continue
			}
		}
		lastModified = modificationTime(path)
		updated, err := settings.LoadFleet(path)
		if err != nil {
			event.SettingsRejected.Log(logger, "error", err)
			continue
		}
		event.SettingsReloaded.Log(logger, "seeds", updated.Seeds())
		process.SetSeeds(updated)
	}
}

// modificationTime returns the modification time of a file, or the zero time if
// it is unknown.
func modificationTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
