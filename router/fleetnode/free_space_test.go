package fleetnode

import (
	"errors"
	"io"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/router/logging"
	"bramleyquay.example/router/store"
)

// fullFS fails a number of file creations with ENOSPC, then succeeds.
type fullFS struct {
	store.FS
	failures int
}

func (f *fullFS) Create(name string) (store.File, error) {
	if f.failures > 0 {
		f.failures--
		return nil, syscall.ENOSPC
	}
	return f.FS.Create(name)
}

// brokenFS fails every file creation with an error other than ENOSPC.
type brokenFS struct{ store.FS }

var errBroken = errors.New("broken")

func (brokenFS) Create(string) (store.File, error) { return nil, errBroken }

// Guards against a replica that stops and restarts in a loop while its disk is
// full, and against one that waits forever although the disk is broken.
func TestAwaitFreeSpace(t *testing.T) {
	is := is.New(t)
	log := logging.ForComponent(logging.New(io.Discard, "error", false), "control")
	f := &fullFS{FS: store.DirFS(t.TempDir()), failures: 5}
	is.NoErr(awaitFreeSpace(f, time.Millisecond, log))
	is.Equal(f.failures, 0)
	is.True(errors.Is(awaitFreeSpace(brokenFS{f}, time.Millisecond, log), errBroken))
}
