package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	dividedService = "huvo11a"
	allKeys        = 1 << 16
	// maxShared is the longest time for which two backends may have the same keys.
	maxShared = 500 * time.Millisecond
	// lateBy3 is how late the heartbeats arrive after the kill, endAfter the time that is
	// judged from then on.
	lateBy3  = 3 * time.Second
	endAfter = 7 * time.Second
)

// lateHeartbeats takes one zone out after the other. The backend of the second zone gets
// the keys of the first, and is to release all when its own zone is taken out; its
// process is killed at that moment and starts again. Two heartbeats that were sent
// before the backend had the keys arrive after the start; its heartbeats from then on are
// late, too. No two backends may have the
// same keys for more than half a second.
func lateHeartbeats(d *deployment, trouble bool) (bool, error) {
	if err := d.start(2, dividedService, dividedRoute); err != nil {
		return false, err
	}
	holders, err := d.startHolders()
	if err != nil {
		return false, err
	}
	defer holders[0].server.Close()
	defer holders[1].server.Close()
	first, second := holders[0], holders[1]
	if err := awaitAllKeys(holders); err != nil {
		return false, err
	}
	shared := watchShared(first, second)
	first.setManual()
	time.Sleep(heartbeat)
	// These two heartbeats are sent here and arrive later.
	first.beat()
	late1, sent1 := first.nextHeartbeat()
	time.Sleep(heartbeat)
	late2, sent2 := first.nextHeartbeat()
	d.describeHolds("two heartbeats of the first backend are held up", holders)
	if err := d.evacuate(second.machine.zone, "start"); err != nil {
		return false, err
	}
	for i := 0; ; i++ {
		time.Sleep(heartbeat)
		first.beat()
		if _, keys := first.held(); keys == allKeys {
			break
		}
		if i == 6 {
			return false, fmt.Errorf("the first backend does not get all keys")
		}
	}
	got := time.Now()
	d.describeHolds("the first backend has all keys", holders)
	if err := d.evacuate(second.machine.zone, "finish"); err != nil {
		return false, err
	}
	if err := d.evacuate(first.machine.zone, "start"); err != nil {
		return false, err
	}
	time.Sleep(100 * time.Millisecond)
	if trouble {
		d.record.add("the process beside the first backend is killed")
		first.machine.kill()
		time.Sleep(restartDelay)
		if err := first.machine.start(); err != nil {
			return false, err
		}
		d.record.add("it is started")
	}
	// From now on the heartbeats of the first backend are sent in time and arrive late.
	var held sync.WaitGroup
	held.Go(func() { first.beatLate(got.Add(heartbeat), got.Add(endAfter), lateBy3) })
	defer held.Wait()
	time.Sleep(time.Until(got.Add(1200 * time.Millisecond)))
	for i, late := range []struct {
		body string
		sent time.Time
	}{{late1, sent1}, {late2, sent2}} {
		status, answer := first.deliver(late.body)
		d.record.add("late heartbeat %d, sent %.1f s ago, arrives: status %d, %d bytes", i+1, time.Since(late.sent).Seconds(), status, len(answer))
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(time.Until(got.Add(endAfter)))
	d.describeHolds("end", holders)
	longest := shared()
	d.record.add("both backends had the same keys for %.2f s at most", longest.Seconds())
	return longest <= maxShared, nil
}

// awaitAllKeys waits until holders have all keys between them, each some, for a while.
func awaitAllKeys(holders []*holder) error {
	calm := 0
	for range 200 {
		time.Sleep(100 * time.Millisecond)
		sum, some := 0, true
		for _, h := range holders {
			_, keys := h.held()
			sum, some = sum+keys, some && keys > 0
		}
		if calm++; !some || sum != allKeys {
			calm = 0
		}
		if calm >= 20 {
			return nil
		}
	}
	return fmt.Errorf("the backends do not get all keys")
}

// watchShared watches two holders and returns a function that ends this and returns the
// longest time for which they had a key at the same time.
func watchShared(a, b *holder) func() time.Duration {
	done, result := make(chan struct{}), make(chan time.Duration)
	go func() {
		longest, since := time.Duration(0), time.Time{}
		reported := false
		for {
			select {
			case <-done:
				result <- longest
				return
			case <-time.After(10 * time.Millisecond):
			}
			n := sharedKeys(a, b)
			switch {
			case n == 0:
				since = time.Time{}
			case since.IsZero():
				since = time.Now()
			default:
				longest = max(longest, time.Since(since))
			}
			if n > 0 && !reported {
				a.machine.deployment.record.add("both backends have %d keys", n)
			}
			reported = n > 0
		}
	}()
	return func() time.Duration { close(done); return <-result }
}

func (d *deployment) describeHolds(what string, holders []*holder) {
	for _, h := range holders {
		rows, keys := h.held()
		d.record.add("%s: %s has %d keys in %d rows", what, h.id, keys, len(rows))
	}
}

func (d *deployment) evacuate(zone, order string) error {
	for i := range 20 {
		m := d.cores[i%len(d.cores)]
		if status, _ := d.call(m, http.MethodPost, "/-/evacuations/"+zone+"/"+order, "", ""); status >= 200 && status < 300 {
			d.record.add("evacuation of %s, %s: acknowledged", zone, order)
			return nil
		}
	}
	return fmt.Errorf("evacuation of %s, %s: not acknowledged", zone, order)
}

const dividedRoute = `{"version":"00000001","limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"},` +
	`"listeners":[{"host":"jepu9.example","rules":[{"name":"r-9dnn2ct","routeType":"safe","targetLatency":"500ms","priority":2,` +
	`"match":{"pathPrefix":"/lepu270/"},"action":{"service":"huvo11a","timeout":"1000ms","attempts":2}}]}],` +
	`"clusters":[{"name":"huvo11a","healthCheck":"/health","maxConnections":130,"protocol":"h1","tls":false,"coldPeriod":"3s","coldPerS":12.0,` +
	`"sharded":true,"warmup":"2s","grants":"heartbeat"}]}`
