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

// path is one way to the target.
type path struct {
	name string
	url  string
	key  string
}

// result is one measurement.
type result struct {
	rate   float64 // answers per second
	failed int64
	times  *hdrhistogram.Histogram // microseconds
}

const (
	highestUs = 60_000_000
	digits    = 3
)

// measure sends requests over a number of connections for a time. With a rate
// above 0 requests are due at even intervals, and their latency counts from
// when they were due, so that a slow answer delays none of the others' clocks.
func measure(p path, callers int, length time.Duration, rate float64) result {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers, MaxConnsPerHost: callers, DisableCompression: true}}
	defer client.CloseIdleConnections()
	var failed, next atomic.Int64
	histograms := make([]*hdrhistogram.Histogram, callers)
	var wait sync.WaitGroup
	begin := time.Now()
	for i := range callers {
		histograms[i] = hdrhistogram.New(1, highestUs, digits)
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
				_ = histograms[i].RecordValue(min(time.Since(due).Microseconds(), highestUs)) // bounded above
			}
		})
	}
	wait.Wait()
	all := hdrhistogram.New(1, highestUs, digits)
	for _, h := range histograms {
		all.Merge(h)
	}
	return result{rate: float64(all.TotalCount()) / time.Since(begin).Seconds(), failed: failed.Load(), times: all}
}

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

// ms returns a percentile in milliseconds.
func (r result) ms(percentile float64) float64 {
	return math.Round(float64(r.times.ValueAtQuantile(percentile))) / 1000
}
