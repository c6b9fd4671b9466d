package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"
)

// routeHost and routePrefix select the one route of the stand-in deployment.
const (
	routeHost   = "app.example"
	routePrefix = "/app/"
	deadlineMs  = 2500
	// hotShare is the share of the requests on the hot key.
	hotShare = 0.6
)

// configuration returns the configuration of the stand-in deployment: one route to one
// service.
func configuration(version, service, kind string, sharded bool, attempts int) string {
	return fmt.Sprintf(`{"version":%q,"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"},`+
		`"listeners":[{"host":%q,"rules":[{"name":"r-1","routeType":%q,"targetLatency":"600ms","priority":1,"match":{"pathPrefix":%q},`+
		`"action":{"service":%q,"timeout":"2500ms","attempts":%d}}]}],`+
		`"clusters":[{"name":%q,"healthCheck":"/health","maxConnections":130,"protocol":"h1","tls":false,"coldPeriod":"3s","coldPerS":12.0,"sharded":%t,"warmup":"2s"}]}`,
		version, routeHost, kind, routePrefix, service, attempts, service, sharded)
}

// clients send requests at the outbound addresses of the machines with backends.
type clients struct {
	c      *cluster
	method string
	pause  time.Duration
	wg     sync.WaitGroup
	cancel context.CancelFunc
	sent   atomic.Int64
	served atomic.Int64
	// hot is the key of hotShare of the requests, if it is above zero.
	hot atomic.Int64

	mu sync.Mutex
	// refused are the ids of the requests that were answered 429 or 503.
	refused []string
	// cutOff are the ids of the requests on kept connections that ended without an
	// answer, by machine.
	cutOff map[*machine][]string
}

// cutOffAt returns the ids of the requests to a machine whose kept connection ended without
// an answer.
func (cl *clients) cutOffAt(m *machine) []string {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return append([]string{}, cl.cutOff[m]...)
}

// promised returns the ids of the requests that were answered 429 or 503: these
// statuses promise that a request has not run and never will.
func (cl *clients) promised() []string {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return append([]string{}, cl.refused...)
}

// startClients starts a number of clients at each machine. Each sends one request at a
// time on a kept connection and pauses between two, for half to one and a half times
// pause.
func startClients(c *cluster, method string, pause time.Duration, number int) *clients {
	ctx, cancel := context.WithCancel(context.Background())
	cl := &clients{c: c, method: method, pause: pause, cancel: cancel, cutOff: map[*machine][]string{}}
	for i, m := range c.machines {
		for k := range number {
			if !m.core {
				cl.wg.Go(func() { cl.run(ctx, m, i+100*k) })
			}
		}
	}
	return cl
}

func (cl *clients) stop() { cl.cancel(); cl.wg.Wait() }

func (cl *clients) run(ctx context.Context, m *machine, number int) {
	client := &http.Client{Timeout: deadlineMs * time.Millisecond, Transport: &http.Transport{}}
	for n := 0; ctx.Err() == nil; n++ {
		cl.send(client, m, fmt.Sprintf("%02d-%05d", number, n))
		select {
		case <-time.After(cl.pause/2 + time.Duration(rand.Int64N(int64(cl.pause)))):
		case <-ctx.Done():
		}
	}
}

func (cl *clients) send(client *http.Client, m *machine, id string) {
	req, err := http.NewRequest(cl.method, "http://"+cl.c.addr(m, portOutbound)+routePrefix+id, nil)
	if err != nil {
		return
	}
	req.Host = routeHost
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadlineMs))
	key := rand.IntN(keyCount)
	if hot := cl.hot.Load(); hot > 0 && rand.Float64() < hotShare {
		key = int(hot)
	}
	req.Header.Set("Shard-Key", fmt.Sprint(key))
	cl.sent.Add(1)
	kept := false
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { kept = info.Reused }}))
	sent := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		if kept && time.Since(sent) < deadlineMs*time.Millisecond {
			cl.mu.Lock()
			cl.cutOff[m] = append(cl.cutOff[m], id)
			cl.mu.Unlock()
		}
		cl.c.rec.event("client at %s sent request %s at %.3f: no answer", m.name, id, sent.Sub(cl.c.rec.start).Seconds())
		return
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode == http.StatusOK {
		cl.served.Add(1)
	}
	if resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable {
		cl.mu.Lock()
		cl.refused = append(cl.refused, id)
		cl.mu.Unlock()
	}
	cl.c.rec.event("client at %s sent request %s at %.3f: %d, %d bytes", m.name, id, sent.Sub(cl.c.rec.start).Seconds(), resp.StatusCode, len(body))
}
