package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"bramleyquay.example/router/harness"
	"bramleyquay.example/router/relay"
)

const (
	// pipelinedRequests requests follow each other without waiting: fewer bytes than a
	// process reads at once.
	pipelinedRequests = 4
	// slowReadPause is the pause of a pipelining caller between two answers.
	slowReadPause = 50 * time.Millisecond
)

// runPipelines sends pipelined requests and reads the answers slowly, until ctx ends.
func (l *load) runPipelines(ctx context.Context, rng *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		member := l.c.Members[rng.IntN(len(l.c.Members))]
		answers := pipeline(member, fmt.Sprintf("p%d-%d", rng.Uint32(), n), rng.IntN(1<<16))
		l.mu.Lock()
		l.answers = append(l.answers, answers...)
		l.mu.Unlock()
		time.Sleep(callerPause)
	}
}

// pipeline sends requests on a connection of their own and returns their answers.
func pipeline(member *harness.FleetNode, id string, key int) []answer {
	answers := make([]answer, pipelinedRequests)
	requests := make([]*http.Request, pipelinedRequests)
	start := time.Now()
	err := error(nil)
	for i := range answers {
		answers[i] = answer{id: fmt.Sprintf("%s-%d", id, i), node: member.Name, start: start}
		if err == nil {
			requests[i], err = member.Request(context.Background(), harness.FleetRequest{
				Method: http.MethodGet, Host: "seats.example", Path: "/view/x", ID: answers[i].id, Key: key, Timeout: requestTimeout,
			})
		}
	}
	var conn net.Conn
	if err == nil {
		conn, err = net.DialTimeout("tcp", requests[0].URL.Host, requestTimeout)
	}
	if err == nil {
		defer func() { _ = conn.Close() }() // what matters has been read
		err = conn.SetDeadline(start.Add(requestTimeout + time.Second))
		out := bufio.NewWriter(conn) // all requests in one write
		for _, r := range requests {
			if err == nil {
				err = r.Write(out)
			}
		}
		if err == nil {
			err = out.Flush()
		}
	}
	var in *bufio.Reader
	if err == nil {
		in = bufio.NewReader(conn)
	}
	for i := range answers {
		if err == nil {
			err = answers[i].read(in, requests[i])
		}
		answers[i].err, answers[i].end = err, time.Now()
		time.Sleep(slowReadPause)
	}
	return answers
}

// read reads the answer to a request.
func (a *answer) read(in *bufio.Reader, r *http.Request) error {
	resp, err := http.ReadResponse(in, r)
	if err != nil {
		return err
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	names := relay.DefaultHeaderNames
	a.status, a.body, a.signature = resp.StatusCode, string(text), resp.Header.Get(names.Signature)
	a.notRun = resp.Header.Get(names.NotRun) != ""
	return nil
}
