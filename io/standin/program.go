package standin

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"

	"github.com/cockroachdb/errors"
)

// BuildProgram builds papayaquay into a temporary folder, once per process, and returns
// its path.
var BuildProgram = sync.OnceValues(func() (string, error) { return buildWithTag("") })

// BuildProgramWithFaults builds papayaquay with fault injection for the clock and the disk,
// once per process, and returns its path.
var BuildProgramWithFaults = sync.OnceValues(func() (string, error) { return buildWithTag("soak") })

// buildWithTag builds papayaquay with a build tag, or with none if it is empty, into a
// folder that RemovePrograms removes.
func buildWithTag(tag string) (string, error) {
	folder, err := os.MkdirTemp("", "papayaquay-test-")
	if err != nil {
		return "", errors.Wrap(err, "create folder")
	}
	buildFolders.Store(folder, true)
	path := filepath.Join(folder, "papayaquay")
	output, err := exec.Command("go", "build", "-tags", tag, "-o", path, "papayaquay").CombinedOutput()
	if err != nil {
		return "", errors.Wrapf(err, "build: %s", output)
	}
	return path, nil
}

// buildFolders holds the paths of the folders that buildWithTag created.
var buildFolders sync.Map

// RemovePrograms removes all programs that this process built.
func RemovePrograms() {
	buildFolders.Range(func(folder, _ any) bool {
		os.RemoveAll(folder.(string))
		return true
	})
}
