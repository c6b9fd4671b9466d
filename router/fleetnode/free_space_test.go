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

// fillingFS is full for a number of attempts.
type fillingFS struct {
	store.FS
	full int
}

func (f *fillingFS) Create(name string) (store.File, error) {
	if f.full > 0 {
		f.full--
		return nil, syscall.ENOSPC
	}
	return f.FS.Create(name)
}

// brokenFS cannot be written for another reason.
type brokenFS struct{ store.FS }

var errBroken = errors.New("broken")

func (brokenFS) Create(string) (store.File, error) { return nil, errBroken }

// Guards against a replica that ends again and again while its disk is full,
// and against one that waits for a disk that is broken.
func TestAwaitRoom(t *testing.T) {
	is := is.New(t)
	log := logging.ForComponent(logging.New(io.Discard, "error", false), "control")
	f := &fillingFS{FS: store.DirFS(t.TempDir()), full: 5}
	is.NoErr(awaitRoom(f, time.Millisecond, log))
	is.Equal(f.full, 0)
	is.True(errors.Is(awaitRoom(brokenFS{f}, time.Millisecond, log), errBroken))
}
