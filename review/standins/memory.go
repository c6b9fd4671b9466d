package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// restartDelay is the time after which the platform starts a process again.
const restartDelay = 500 * time.Millisecond

// watchMemory does what the platform does: it kills the process of a machine that uses more
// than its memory, and starts it again. The result ends the watch.
func (c *cluster) watchMemory(m *machine) (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			select {
			case <-time.After(10 * time.Millisecond):
			case <-done:
				return
			}
			used := peakMB(m.cmd.Process.Pid)
			if used <= c.memoryMB {
				continue
			}
			c.rec.event("the process of %s has used %d MB of %d and is killed", m.name, used, c.memoryMB)
			c.kill(m)
			time.Sleep(restartDelay)
			if err := c.start(m, false); err != nil {
				c.rec.event("the process of %s does not start: %v", m.name, err)
				return
			}
		}
	})
	return func() { close(done); wg.Wait() }
}

// peakMB returns the most physical memory that a process has used, in MB.
func peakMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return kb / 1024
		}
	}
	return 0
}
