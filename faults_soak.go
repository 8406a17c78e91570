//go:build soak

package main

import (
	"os"
	"sync/atomic"
	"time"

	"papayaquay/io/disk"
	"papayaquay/io/fleet"

	"github.com/BurntSushi/toml"
)

// faultPeriod is the pause between looks at the file of faults.
const faultPeriod = 50 * time.Millisecond

// faultFile holds the faults of the clock and the disk that are in force. It
// stands beside the settings file, with the suffix ".faults".
type faultFile struct {
	ClockShiftMS int64 `toml:"shift_ms"` // of the time of day
	SyncDelayMS  int64 `toml:"sync_ms"`  // that each sync of the disk takes longer
	RejectWrites  bool  `toml:"refuse"`   // the disk refuses writes
}

// faultOptions returns a clock and a disk that misbehave as the file says.
func faultOptions(path string) []fleet.Option {
	var current atomic.Pointer[faultFile]
	current.Store(readFaults(path))
	go func() {
		for range time.Tick(faultPeriod) {
			current.Store(readFaults(path))
		}
	}()
	write := func(f *os.File, data []byte, at int64) (int, error) {
		if current.Load().RejectWrites {
			return 0, os.ErrPermission
		}
		return f.WriteAt(data, at)
	}
	sync := func(f *os.File) error {
		time.Sleep(time.Duration(current.Load().SyncDelayMS) * time.Millisecond)
		return f.Sync()
	}
	wall := func() time.Time { return time.Now().Add(time.Duration(current.Load().ClockShiftMS) * time.Millisecond) }
	return []fleet.Option{fleet.WithWallClock(wall), fleet.WithDiskOptions(disk.WithFileOperations(write, sync))}
}

// readFaults reads the file; without one nothing misbehaves.
func readFaults(path string) *faultFile {
	var f faultFile
	if _, err := toml.DecodeFile(path+".faults", &f); err != nil {
		return &faultFile{}
	}
	return &f
}
