// Command standin-2 plays the platform, the operator and the clients for the scripts
// of the second review. It starts the program of the deploy file as separate processes
// on loopback addresses. Its exit status is 0 if the rule held, 1 if it was broken and
// 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

func main() {
	cases := map[string]func(*deployment, bool) (bool, error){
		"restart-memory": restartMemory, "late-heartbeats": lateHeartbeats, "forgotten-departure": forgottenDeparture, "held-evacuation": heldEvacuation,
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE PROGRAM RECORD")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

func play(run func(*deployment, bool) (bool, error), program, recordPath string) int {
	file, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	d, err := newDeployment(program, &record{file: file, begin: time.Now()})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer d.close()
	go endInTime(d)
	held, err := run(d, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		d.record.add("the case could not run: %v", err)
		return 2
	case held:
		d.record.add("the rule held")
		return 0
	}
	d.record.add("the rule was broken")
	return 1
}

// maxTime is the longest time of a script.
const maxTime = 115 * time.Second

// endInTime ends all processes and the script when its time is over or it is told to end.
func endInTime(d *deployment) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
	case <-time.After(maxTime):
	}
	d.close()
	os.Exit(2)
}

// record is the list of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(r.begin).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(r.file, line)
	fmt.Println(line)
}
