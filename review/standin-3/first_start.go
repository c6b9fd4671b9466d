package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"
)

func init() { cases["first-start"] = firstStart }

// firstStart kills all control processes at the same moment while they start for the first
// time. They are back within a second, with bootstrap = false, as DEPLOY.md says for each
// start but the first. The system must then take the first configuration, which is sent
// again and again: without it no request is served.
func firstStart(rec *recorder, dir string, trouble bool) (verdict, error) {
	c, err := newCluster(rec, dir, 5, nil, nil)
	if err != nil {
		return verdict{}, err
	}
	defer c.stopAll()
	if err := c.startAll(); err != nil {
		return verdict{}, err
	}
	if trouble {
		awaitFirstFiles(c)
		for _, m := range c.core {
			_ = m.proc.cmd.Process.Kill()
		}
		for _, m := range c.core {
			c.kill(m)
			rec.add("killed", "machine", m.name, "files", fileNames(m.dataDir))
		}
		time.Sleep(500 * time.Millisecond)
		for _, m := range c.core {
			if err := c.start(m, false); err != nil {
				return verdict{}, err
			}
		}
	}
	var ends atomic.Int64
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() { defer close(stopped); restartEnded(c, stop, &ends) }()
	defer func() { close(stop); <-stopped }()
	body := []byte(`{"version":"00000001","listeners":[],"clusters":[]}`)
	status, at, err := c.order("POST", "/-/config/replace", map[string]string{"Base-Version": "00000000"}, body, 40*time.Second)
	if err == nil && status == http.StatusOK {
		return verdict{seen: fmt.Sprintf("the first configuration was taken after %.1f s", at.Sub(rec.begin).Seconds())}, nil
	}
	return verdict{broken: true, seen: fmt.Sprintf("no configuration is taken in 40 s, so that no request is served; processes ended by themselves %d times", ends.Load())}, nil
}

// awaitFirstFiles waits until one of the processes has written to its disk.
func awaitFirstFiles(c *cluster) {
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Microsecond) {
		for _, m := range c.core[:3] {
			if found, _ := filepath.Glob(filepath.Join(m.dataDir, "log-*")); len(found) > 0 {
				return
			}
		}
	}
}

func fileNames(dir string) []string {
	entries, _ := os.ReadDir(dir)
	var names []string
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names
}

// restartEnded starts processes that have ended by themselves again after a second.
func restartEnded(c *cluster, stop <-chan struct{}, ends *atomic.Int64) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
		for _, m := range c.core {
			if isClosed(m.proc.done) {
				ends.Add(1)
				c.rec.add("ended by itself", "machine", m.name, "exit", m.proc.cmd.ProcessState.ExitCode())
				if err := c.start(m, false); err != nil {
					return
				}
			}
		}
	}
}
