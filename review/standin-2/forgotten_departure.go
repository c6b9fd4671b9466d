package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	drain = 2 * time.Second
	// lateBy is how late the last heartbeat before the departure arrives.
	lateBy = 2600 * time.Millisecond
	// servesOn is how long the backend serves after its departure was acknowledged.
	servesOn = 9 * time.Second
	// downTime is the time between the kill of the processes and their start.
	downTime = 700 * time.Millisecond
	// requestInterval is the time between two requests of the clients.
	requestInterval = 50 * time.Millisecond
	// keyStep is the distance of the keys of successive requests.
	keyStep = 9973
)

// forgottenDeparture lets one of two backends leave by a deregister, which is
// acknowledged, then kills all processes of the system at the same moment and starts
// them within a second. A heartbeat that was sent before the deregister arrives late.
// The backend must get no request later than `drain` after the acknowledgement.
func forgottenDeparture(d *deployment, trouble bool) (bool, error) {
	if err := d.start(2, "huvo11a", oneRoute); err != nil {
		return false, err
	}
	var backends []*backend
	for i, m := range d.sidecars {
		b, err := startBackend(m, fmt.Sprintf("i-7f3a91c%d", i+1), "huvo11a")
		if err != nil {
			return false, err
		}
		defer b.server.Close()
		backends = append(backends, b)
	}
	for i, m := range d.sidecars {
		stop := d.sendRequests(m, i+1, false)
		defer stop()
	}
	time.Sleep(6 * time.Second)
	leaving := backends[0]
	if len(leaving.runsSince(time.Now().Add(-time.Second))) == 0 {
		return false, fmt.Errorf("the backend gets no requests before it leaves")
	}
	late := leaving.nextHeartbeat() // sent now, and arrives late
	if !leaving.deregister() {
		return false, fmt.Errorf("the deregister is not acknowledged")
	}
	acknowledged := time.Now()
	d.record.add("the deregister of %s is acknowledged", leaving.id)
	judgedFrom := acknowledged.Add(drain)
	if trouble {
		time.Sleep(300 * time.Millisecond)
		d.record.add("all processes are killed")
		for _, m := range d.machines() {
			m.kill()
		}
		time.Sleep(downTime)
		for _, m := range d.machines() {
			if err := m.start(); err != nil {
				return false, err
			}
		}
		d.record.add("all processes are started")
		// Only machines in touch are judged: stabilityWindow after the start.
		judgedFrom = time.Now().Add(stabilityWindow)
	}
	time.Sleep(time.Until(acknowledged.Add(lateBy)))
	d.record.add("a heartbeat from before the deregister arrives: status %d", leaving.call("heartbeat", late))
	time.Sleep(time.Until(acknowledged.Add(servesOn)))
	runs := leaving.runsSince(judgedFrom.Add(100 * time.Millisecond))
	d.record.add("%d requests reached %s later than drain after the acknowledgement, from machines in touch", len(runs), leaving.id)
	if len(backends[1].runsSince(judgedFrom)) == 0 {
		return false, fmt.Errorf("the backend that stays gets no requests")
	}
	return len(runs) == 0, nil
}

const oneRoute = `{"version":"00000001","limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"},` +
	`"listeners":[{"host":"jepu9.example","rules":[{"name":"r-9dnn2ct","routeType":"safe","targetLatency":"500ms","priority":2,` +
	`"match":{"pathPrefix":"/lepu270/"},"action":{"service":"huvo11a","timeout":"1000ms","attempts":2}}]}],` +
	`"clusters":[{"name":"huvo11a","healthCheck":"/health","maxConnections":130,"protocol":"h1","tls":false,"coldPeriod":"3s","coldPerS":12.0}]}`

// sendRequests sends requests to the process of a machine until the returned function is
// called. The ids of the requests begin with a number. Requests of a divided service have
// keys from all parts of the key space in turn.
func (d *deployment) sendRequests(m *machine, number int, divided bool) (stop func()) {
	done := make(chan struct{})
	var requests sync.WaitGroup
	requests.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-time.After(requestInterval):
			}
			key := -1
			if divided {
				key = n * keyStep % allKeys
			}
			requests.Go(func() { d.sendRequest(m, fmt.Sprintf("%08x%08x", number, n+1), key) })
		}
	})
	return func() { close(done); requests.Wait() }
}

// sendRequest sends a request with a key, or without one if key is negative.
func (d *deployment) sendRequest(m *machine, id string, key int) {
	req, err := http.NewRequest(http.MethodGet, "http://"+m.address(d.ports.outbound)+"/lepu270/"+id, nil)
	if err != nil {
		return
	}
	req.Host = "jepu9.example"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", "2000")
	if key >= 0 {
		req.Header.Set("Shard-Key", strconv.Itoa(key))
	}
	d.record.add("client sends request %s", id)
	resp, err := d.client.Do(req)
	if err != nil {
		d.record.add("request %s gets no answer", id)
		return
	}
	resp.Body.Close()
	d.record.add("request %s is answered %d", id, resp.StatusCode)
}
