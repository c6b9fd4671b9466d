package bqctl

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("bqctl")

const (
	// pendingLifetime is how long a change without an answer is resent under
	// its id. After that the same command is a new change.
	pendingLifetime = 24 * time.Hour
	// clusterDigits is the length of the part of a key that identifies the
	// cluster, in hexadecimal digits.
	clusterDigits = 16
)

// pendingChange is a change that was sent and whose answer is not known.
type pendingChange struct {
	ChangeID string    `json:"changeId"`
	Base     uint64    `json:"base,omitempty"`
	Sent     time.Time `json:"sent"`
}

// pendingFile is a file with the ids of changes without an answer, so that the
// same command after a lost answer is resent as the same change. The file
// contains no document and no key of a request: a change is found by a hash of
// its content. Only the last change of a cluster is stored: a drain that was
// resent under its old id after it was undone would be answered as done
// already. Once another change of the cluster is sent, also by another process
// with the same file, an earlier one can no longer be resent as the same
// change.
type pendingFile struct {
	path string
	// scope distinguishes clusters. It is the cluster's operator token, which is
	// stored only as part of hashes.
	scope string
	now   func() time.Time
}

// key returns the key of a change in the file: a prefix for the cluster and a
// hash of the content.
func (p *pendingFile) key(kind string, content []byte) string {
	return digest(p.scope)[:clusterDigits] + "-" + digest(p.scope, kind, string(content))
}

func digest(parts ...string) string {
	hash := sha256.New()
	for _, part := range parts {
		hash.Write([]byte(part))
		hash.Write([]byte{0})
	}
	return hex.EncodeToString(hash.Sum(nil))
}

// find returns the change with the given key if it was sent before and its
// answer is not known.
func (p *pendingFile) find(key string) (change pendingChange, found bool, err error) {
	err = p.update(func(all map[string]pendingChange) bool {
		change, found = all[key]
		return false
	})
	return change, found, err
}

// record records a change before it is sent and removes the other changes of
// the cluster. If the change is already recorded, record returns it with resend
// true and changes nothing.
func (p *pendingFile) record(key string, base uint64) (change pendingChange, resend bool, err error) {
	err = p.update(func(all map[string]pendingChange) bool {
		if change, resend = all[key]; resend {
			return false
		}
		for other := range all {
			if strings.HasPrefix(other, key[:clusterDigits]) {
				delete(all, other)
			}
		}
		var id [16]byte
		_, _ = rand.Read(id[:]) // never fails since Go 1.24
		change = pendingChange{ChangeID: "bqctl-" + hex.EncodeToString(id[:]), Base: base, Sent: p.now()}
		all[key] = change
		return true
	})
	return change, resend, err
}

// remove removes a change whose answer is known.
func (p *pendingFile) remove(key string) error {
	return p.update(func(all map[string]pendingChange) bool {
		_, found := all[key]
		delete(all, key)
		return found
	})
}

// update reads the file under a lock, drops expired changes, and writes the
// file if change returns true. It blocks while another bqctl process uses the
// file.
func (p *pendingFile) update(change func(map[string]pendingChange) bool) error {
	if err := os.MkdirAll(filepath.Dir(p.path), 0o700); err != nil {
		return Error.New("cannot create the directory of the state file: %w", err)
	}
	lock, err := os.OpenFile(p.path+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return Error.New("cannot lock the state file: %w", err)
	}
	defer func() { _ = lock.Close() }()
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX); err != nil {
		return Error.New("cannot lock the state file: %w", err)
	}
	all, err := p.read()
	if err != nil {
		return err
	}
	for key, c := range all {
		if p.now().Sub(c.Sent) > pendingLifetime {
			delete(all, key)
		}
	}
	if !change(all) {
		return nil
	}
	return p.write(all)
}

func (p *pendingFile) read() (map[string]pendingChange, error) {
	all := map[string]pendingChange{}
	text, err := os.ReadFile(p.path)
	if errors.Is(err, fs.ErrNotExist) || err == nil && strings.TrimSpace(string(text)) == "" {
		return all, nil
	}
	if err != nil {
		return nil, Error.New("cannot read the state file: %w", err)
	}
	if err := json.Unmarshal(text, &all); err != nil {
		return nil, Error.New("the state file %s is damaged (%w); check with status and history what was accepted, then remove it", p.path, err)
	}
	return all, nil
}

// write replaces the file atomically, so that an interrupted write leaves the
// old one.
func (p *pendingFile) write(all map[string]pendingChange) error {
	text, err := json.MarshalIndent(all, "", "  ")
	if err != nil {
		return Error.New("cannot encode the state file: %w", err)
	}
	f, err := os.CreateTemp(filepath.Dir(p.path), "bqctl-*.tmp")
	if err != nil {
		return Error.New("cannot write the state file: %w", err)
	}
	defer func() { _ = os.Remove(f.Name()) }()
	_, err = f.Write(append(text, '\n'))
	err = errors.Join(err, f.Sync(), f.Close())
	if err == nil {
		err = os.Rename(f.Name(), p.path)
	}
	if err != nil {
		return Error.New("cannot write the state file: %w", err)
	}
	return nil
}
