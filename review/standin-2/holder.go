package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// holder is a sound backend of a service that is divided by key, with grants in the
// answers to its heartbeats.
type holder struct {
	machine *machine
	id      string
	born    int64
	server  *http.Server

	mu       sync.Mutex
	sequence int
	holds    []row
	until    time.Time // end of the hold
	// released are the rows that were released since the last acknowledged heartbeat.
	released []row
	// highest is the highest fencing token seen, by key.
	highest map[int]int
	token   int
	manual  bool
	runs    []time.Time
}

// row is a range of keys with a fencing token and a handover token.
type row struct {
	from, to, fence int
	handover        string
}

// startHolders starts a holder on each machine with a process beside a backend.
func (d *deployment) startHolders() ([]*holder, error) {
	var holders []*holder
	for i, m := range d.sidecars {
		h := &holder{machine: m, id: fmt.Sprintf("i-7f3a91c%d", i+1), born: time.Now().UnixMilli(), highest: map[int]int{}}
		l, err := net.Listen("tcp", m.address(d.ports.app))
		if err != nil {
			return nil, err
		}
		h.server = &http.Server{Handler: h}
		go func() { _ = h.server.Serve(l) }()
		go h.run()
		holders = append(holders, h)
	}
	return holders, nil
}

// ServeHTTP runs a request on a key that the holder has.
func (h *holder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	key, err := strconv.Atoi(r.Header.Get("Shard-Key"))
	if target := r.Header.Get("Target-Instance"); err != nil || target != "" && target != h.id || !h.has(key) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	h.mu.Lock()
	h.runs = append(h.runs, time.Now())
	h.mu.Unlock()
	h.machine.deployment.record.add("backend %s runs request %s on key %d", h.id, id, key)
	w.Header().Set("Response-Signature", "3e1b.07."+id)
	fmt.Fprintln(w, "answer to", id)
}

func (h *holder) has(key int) bool {
	rows, _ := h.held()
	return covered(rows, row{from: key, to: key})
}

// runsSince returns the number of runs from a time on.
func (h *holder) runsSince(from time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, t := range h.runs {
		if t.After(from) {
			n++
		}
	}
	return n
}

// run announces the holder until setManual is called.
func (h *holder) run() {
	for {
		h.mu.Lock()
		manual := h.manual
		h.mu.Unlock()
		if manual {
			return
		}
		if h.beat() {
			time.Sleep(100 * time.Millisecond) // until the release is reported
		} else {
			time.Sleep(h.machine.deployment.heartbeat)
		}
	}
}

func (h *holder) setManual() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.manual = true
}

// resume lets the holder announce itself again.
func (h *holder) resume() {
	h.mu.Lock()
	h.manual = false
	h.mu.Unlock()
	go h.run()
}

// nextHeartbeat returns the body of the next heartbeat.
func (h *holder) nextHeartbeat() (body string, sent time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expire()
	h.sequence++
	h.machine.deployment.record.add("%s sends heartbeat %d with %d rows", h.id, h.sequence, len(h.holds))
	holds, released := [][]any{}, [][]any{}
	for _, r := range h.holds {
		holds = append(holds, []any{r.from, r.to, r.fence})
	}
	for _, r := range h.released {
		released = append(released, []any{r.from, r.to, r.handover})
	}
	text, _ := json.Marshal(map[string]any{
		"address": h.machine.address(h.machine.deployment.ports.app), "born": h.born,
		"info":   map[string]any{"service": dividedService, "version": "v1", "zone": h.machine.zone, "slots": 12},
		"status": map[string]any{"state": "ready", "seq": h.sequence, "coldRemaining": "0ms"},
		"holds":  holds, "released": released,
	})
	return string(text), time.Now()
}

// beat sends a heartbeat and takes the answer. It reports whether the holder has
// released rows that it has to report at once.
func (h *holder) beat() bool {
	body, sent := h.nextHeartbeat()
	status, answer := h.deliver(body)
	if status != http.StatusOK || time.Since(sent) > time.Second {
		return false
	}
	return h.take(answer, sent)
}

// beatLate sends a heartbeat at each interval of a time, which arrives later by a delay.
// The holder does not wait for answers that take more than a second.
func (h *holder) beatLate(from, until time.Time, delay time.Duration) {
	var calls sync.WaitGroup
	for at := from; at.Before(until); at = at.Add(h.machine.deployment.heartbeat) {
		time.Sleep(time.Until(at))
		body, sent := h.nextHeartbeat()
		calls.Go(func() {
			time.Sleep(time.Until(sent.Add(delay)))
			h.deliver(body)
		})
	}
	calls.Wait()
}

// deliver sends the bytes of a heartbeat.
func (h *holder) deliver(body string) (int, []byte) {
	d := h.machine.deployment
	resp, err := d.client.Post("http://"+h.machine.address(d.ports.control)+"/-/instances/"+h.id+"/heartbeat", "application/json", strings.NewReader(body))
	if err != nil {
		d.record.add("a heartbeat of %s gets no answer", h.id)
		return 0, nil
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	d.record.add("a heartbeat of %s is answered %d, %d bytes", h.id, resp.StatusCode, len(answer))
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

// take applies the answer to a heartbeat: it releases what the answer leaves out.
func (h *holder) take(answer []byte, sent time.Time) (mustReport bool) {
	var reply struct {
		Holds    *[][4]any `json:"holds"`
		HoldTime string    `json:"hold_time"`
	}
	if json.Unmarshal(answer, &reply) != nil {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.released = nil // acknowledged
	if reply.Holds == nil {
		return false
	}
	duration, err := time.ParseDuration(reply.HoldTime)
	if err != nil {
		return false
	}
	h.expire()
	before := h.holds
	h.holds, h.until = nil, sent.Add(duration)
	for _, r := range *reply.Holds {
		next := row{from: int(r[0].(float64)), to: int(r[1].(float64)), fence: int(r[2].(float64))}
		if h.accepts(next) {
			h.holds = append(h.holds, next)
		}
	}
	for _, r := range before {
		if !covered(h.holds, r) {
			h.token++
			r.handover = fmt.Sprintf("%s-%d", h.id, h.token)
			h.released = append(h.released, r)
			mustReport = true
		}
	}
	return mustReport
}

// accepts reports whether no key of a row had a higher fencing token. The caller holds mu.
func (h *holder) accepts(r row) bool {
	for k := r.from; k <= r.to; k++ {
		if h.highest[k] > r.fence {
			return false
		}
	}
	for k := r.from; k <= r.to; k++ {
		h.highest[k] = r.fence
	}
	return true
}

func covered(rows []row, r row) bool {
	for _, c := range rows {
		if c.from <= r.from && r.to <= c.to {
			return true
		}
	}
	return false
}

// expire drops the rows of a hold that has ended. The caller holds mu.
func (h *holder) expire() {
	if time.Now().After(h.until) {
		h.holds = nil
	}
}

// held returns the rows that the holder has now, and the number of their keys.
func (h *holder) held() (rows []row, keys int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expire()
	for _, r := range h.holds {
		keys += r.to - r.from + 1
	}
	return append(rows, h.holds...), keys
}

// sharedKeys returns the number of keys that two holders have at the same time.
func sharedKeys(a, b *holder) int {
	first, _ := a.held()
	second, _ := b.held()
	n := 0
	for _, x := range first {
		for _, y := range second {
			n += max(min(x.to, y.to)-max(x.from, y.from)+1, 0)
		}
	}
	return n
}
