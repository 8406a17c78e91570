package standin

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"

	"github.com/cockroachdb/errors"
)

// Program builds papayaquay into a temporary folder, once a process, and
// returns its path.
var Program = sync.OnceValues(func() (string, error) {
	folder, err := os.MkdirTemp("", "papayaquay-test-")
	if err != nil {
		return "", errors.Wrap(err, "create folder")
	}
	path := filepath.Join(folder, "papayaquay")
	out, err := exec.Command("go", "build", "-o", path, "papayaquay").CombinedOutput()
	if err != nil {
		return "", errors.Wrapf(err, "build: %s", out)
	}
	return path, nil
})

// RemoveProgram removes what Program built.
func RemoveProgram() {
	if path, err := Program(); err == nil {
		os.RemoveAll(filepath.Dir(path))
	}
}
