package main

import (
	"io"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bramleyquay.example/router/call"
)

// path is one path of requests to the target.
type path struct {
	name string
	url  string
	key  string
}

// result is the result of one measurement.
type result struct {
	rate   float64 // answers per second
	failed int64
	times  *hdrhistogram.Histogram // microseconds
}

const (
	highestUs         = 60_000_000
	significantDigits = 3
)

// measure sends requests over as many connections as there are callers, for the given
// length of time. With a rate above 0, in requests per second, requests are due at even
// intervals, and their latency counts from when they are due: otherwise a slow answer
// would hide the delay of the requests that wait for its connection.
func measure(p path, callers int, length time.Duration, rate float64) result {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers, MaxConnsPerHost: callers, DisableCompression: true}}
	defer client.CloseIdleConnections()
	var failed, next atomic.Int64
	histograms := make([]*hdrhistogram.Histogram, callers)
	var wait sync.WaitGroup
	begin := time.Now()
	for i := range callers {
		histograms[i] = hdrhistogram.New(1, highestUs, significantDigits)
		wait.Go(func() {
			for {
				due := time.Now()
				if rate > 0 {
					due = begin.Add(time.Duration(float64(next.Add(1)) / rate * float64(time.Second)))
					time.Sleep(time.Until(due))
				}
				if due.Sub(begin) > length {
					return
				}
				if !get(client, p) {
					failed.Add(1)
					continue
				}
				_ = histograms[i].RecordValue(min(time.Since(due).Microseconds(), highestUs)) // cannot exceed highestUs
			}
		})
	}
	wait.Wait()
	all := hdrhistogram.New(1, highestUs, significantDigits)
	for _, h := range histograms {
		all.Merge(h)
	}
	return result{rate: float64(all.TotalCount()) / time.Since(begin).Seconds(), failed: failed.Load(), times: all}
}

// get sends one request and reports whether it was answered with status 200.
func get(client *http.Client, p path) bool {
	req, err := http.NewRequest(http.MethodGet, p.url, nil)
	if err != nil {
		return false
	}
	if p.key != "" {
		req.Header.Set(call.HeaderKey, p.key)
	}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// ms returns a percentile of the latencies in milliseconds.
func (r result) ms(percentile float64) float64 {
	return math.Round(float64(r.times.ValueAtQuantile(percentile))) / 1000
}
