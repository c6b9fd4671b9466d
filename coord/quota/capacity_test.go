package quota

import (
	"encoding/json"
	"flag"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
)

// capacity is the result of measureCapacity. Sizes are bytes as JSON.
type capacity struct {
	leaderHeap, processHeap float64
	idle, steady, full      int           // report and reply together
	perRenewal              time.Duration // processor time of the leader
}

var largest = flag.Bool("quota.largest", false, "measure 1,000 accounts that are all used at 300 processes")

// incarnation returns a number as long as random ones.
func incarnation(i int) uint64 { return 0x9e3779b97f4a7c15 * uint64(i+1) }

// measureCapacity runs accounts and processes without faults for some seconds, with usedBy
// accounts at each process.
func measureCapacity(accounts, processes, usedBy int) (c capacity) {
	heap := func() float64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	limits := map[string]Limit{}
	for i := range accounts {
		limit := Limit{Rate: 5, Burst: 5}
		if i%10 == 0 {
			limit = Limit{Rate: 261, Burst: 261}
		}
		limits[fmt.Sprintf("customer-%04d", i)] = limit
	}
	cfg, now, rounds := DefaultConfig(), time.Second, 0
	empty := heap()
	holders := make([]*Holder, processes)
	for i := range holders {
		holders[i] = NewHolder(cfg, incarnation(i))
		holders[i].SetLimits(now, limits)
	}
	leader := NewAllocator(cfg)
	leader.Start(now, 1, nil)
	leader.SetLimits(now, limits)
	var registered []Registration
	for i := range processes {
		registered = append(registered, Registration{Process: Process{Address: fmt.Sprint("10.0.0.", i, ":7000"), Incarnation: uint64(i+1) << 32}, Index: 1})
	}
	leader.SetRegistered(registered)
	size := func(v any) int {
		data, _ := json.Marshal(v) // these types can always be encoded
		return len(data)
	}
	var spent time.Duration
	renewals := 0
	round := func(use bool) (largest, mean int) {
		sum := 0
		now += 400 * time.Millisecond
		rounds++
		for i, h := range holders {
			for j := 0; use && j < usedBy; j++ {
				// Each account is used once in two seconds at a process.
				if (rounds+j)%5 == 0 {
					name := fmt.Sprintf("customer-%04d", (i*usedBy+j)%accounts)
					h.Request(now, name)
					h.Take(now, name)
				}
			}
			report := h.Report(now)
			start := time.Now()
			reply := leader.Renew(now, registered[i].Address, report)
			spent += time.Since(start)
			renewals++
			if reply == nil {
				continue
			}
			h.Apply(now, now, *reply)
			n := size(report) + size(reply)
			largest, sum = max(largest, n), sum+n
		}
		return largest, sum / processes
	}
	round(false)
	round(false)
	c.idle, _ = round(false)
	for range 20 {
		round(true)
	}
	spent, renewals = 0, 0
	for range 10 {
		_, mean := round(true)
		c.steady += mean / 10
	}
	c.perRenewal = spent / time.Duration(renewals)
	// A new leader asks for full reports.
	leader.Start(now, 2, registered)
	leader.SetLimits(now, limits)
	round(true)
	c.full, _ = round(true)
	all := heap()
	runtime.KeepAlive(holders)
	holders = nil
	leaderOnly := heap()
	c.processHeap, c.leaderHeap = (all-leaderOnly)/float64(processes), leaderOnly-empty
	runtime.KeepAlive(leader)
	return c
}

// Guards against messages of a process without traffic that grow with the accounts, and
// prints the figures of docs/CAPACITY.md.
func TestCapacity(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct{ accounts, processes, usedBy int }{{76, 67, 12}, {76, 67, 76}, {1000, 300, 12}, {1000, 300, 1000}} {
		if c.usedBy == 1000 && !*largest {
			continue
		}
		m := measureCapacity(c.accounts, c.processes, c.usedBy)
		t.Logf("%d accounts, %d processes, %d accounts used at each: leader %.2f MB, process %.1f kB; report and reply: idle %d B, in use %d B, full %d B; %s per renewal",
			c.accounts, c.processes, c.usedBy, m.leaderHeap/1e6, m.processHeap/1e3, m.idle, m.steady, m.full, m.perRenewal)
		is.True(m.idle < 200)
	}
}
