// Package standin is a stand-in target of a cluster with hashed shards, for demos and
// tests.
package standin

import "time"

// Config is the command line of a stand-in target.
type Config struct {
	Service  string `required:"" help:"Name of the service."`
	Platform string `required:"" help:"Platform address of the process beside the target."`
	Listen   string `default:"127.0.0.1:0" help:"Address to listen on."`
	Slots    int    `default:"12" help:"Requests that the target runs at once."`
	// ServiceTime is the time that one request takes on a warm target.
	ServiceTime time.Duration `default:"2ms" help:"Time of one request."`
	// ColdTime is how long the target is cold after its start.
	ColdTime time.Duration `default:"0s" help:"Time after the start in which the target is cold."`
	// ColdFactor multiplies the service time of a cold target, twice if more than
	// about a quarter of its slots are in use.
	ColdFactor   int    `default:"4" help:"Slowdown of a cold target."`
	ChecksFences bool   `help:"Refuse requests outside of grants and of older epochs."`
	RunLog       string `help:"File to which each payment that ran is appended."`
	IntervalLog  string `help:"File to which key, begin and end of each request with a key are appended."`
}
