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

// faultPollInterval is the time between two reads of the faults file.
const faultPollInterval = 50 * time.Millisecond

// faultFile holds the current faults of the clock and the disk. Its path is the
// path of the settings file with the suffix ".faults".
type faultFile struct {
	ClockShiftMS int64 `toml:"shift_ms"` // added to the wall clock
	SyncDelayMS  int64 `toml:"sync_ms"`  // added to each sync of the disk
	RejectWrites bool  `toml:"refuse"`   // writes to the disk fail
}

// faultOptions returns options with a wall clock and disk operations that have
// the faults of the faults file. It reads the file every faultPollInterval.
func faultOptions(path string) []fleet.Option {
	var current atomic.Pointer[faultFile]
	current.Store(readFaults(path))
	go func() {
		for range time.Tick(faultPollInterval) {
			current.Store(readFaults(path))
		}
	}()
	writeAt := func(f *os.File, data []byte, at int64) (int, error) {
		if current.Load().RejectWrites {
			return 0, os.ErrPermission
		}
		return f.WriteAt(data, at)
	}
	syncFile := func(f *os.File) error {
		time.Sleep(time.Duration(current.Load().SyncDelayMS) * time.Millisecond)
		return f.Sync()
	}
	wallClock := func() time.Time { return time.Now().Add(time.Duration(current.Load().ClockShiftMS) * time.Millisecond) }
	return []fleet.Option{fleet.WithWallClock(wallClock), fleet.WithDiskOptions(disk.WithFileOperations(writeAt, syncFile))}
}

// readFaults reads the faults file. A missing or invalid file means no faults.
func readFaults(path string) *faultFile {
	var f faultFile
	if _, err := toml.DecodeFile(path+".faults", &f); err != nil {
		return &faultFile{}
	}
	return &f
}
