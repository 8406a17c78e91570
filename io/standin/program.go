package standin

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"

	"github.com/cockroachdb/errors"
)

// BuildProgram builds papayaquay into a temporary folder, once a process, and
// returns its path.
var BuildProgram = sync.OnceValues(func() (string, error) { return build("") })

// BuildProgramWithFaults builds papayaquay with a clock and a disk that can be made to
// misbehave, once a process, and returns its path.
var BuildProgramWithFaults = sync.OnceValues(func() (string, error) { return build("soak") })

// build builds papayaquay with a tag into a folder that RemovePrograms removes.
func build(tag string) (string, error) {
	folder, err := os.MkdirTemp("", "papayaquay-test-")
	if err != nil {
		return "", errors.Wrap(err, "create folder")
	}
	folders.Store(folder, true)
	path := filepath.Join(folder, "papayaquay")
	out, err := exec.Command("go", "build", "-tags", tag, "-o", path, "papayaquay").CombinedOutput()
	if err != nil {
		return "", errors.Wrapf(err, "build: %s", out)
	}
	return path, nil
}

// folders are those that were created.
var folders sync.Map

// RemovePrograms removes what was built.
func RemovePrograms() {
	folders.Range(func(folder, _ any) bool {
		os.RemoveAll(folder.(string))
		return true
	})
}
