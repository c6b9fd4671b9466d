// Package routefile reads routing documents of operators: JSON with comments,
// checked as a whole, with every finding at its line and column where it has
// one.
package routefile

import (
	"time"

	"bramleyquay.example/coord/routes"
	"bramleyquay.example/router/strictjson"
)

// file is a document as operators write it. Times are in milliseconds.
type file struct {
	Version uint64 `json:"version"`
	Limits  struct {
		HeaderBytes     int64 `json:"headerBytes"`
		BodyBytes       int64 `json:"bodyBytes"`
		HeaderTimeoutMs int64 `json:"headerTimeoutMs"`
		IdleTimeoutMs   int64 `json:"idleTimeoutMs"`
	} `json:"limits"`
	Routes   []route   `json:"routes"`
	Services []service `json:"services"`
}

type route struct {
	Name        string `json:"name"`
	Host        string `json:"host"`
	Prefix      string `json:"prefix"`
	Kind        string `json:"kind"`
	Rank        int    `json:"rank"`
	ObjectiveMs int64  `json:"objectiveMs"`
	TimeoutMs   int64  `json:"timeoutMs"`
	Attempts    int    `json:"attempts"`
	Parts       []part `json:"parts"`
}

type part struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

type service struct {
	Name           string  `json:"name"`
	MaxConnections int     `json:"maxConnections"`
	ColdPeriodMs   int64   `json:"coldPeriodMs"`
	ColdRate       float64 `json:"coldRate"`
	Sharded        bool    `json:"sharded"`
	WarmupMs       int64   `json:"warmupMs"`
}

// Parse reads a document. With findings it must not be put in force.
func Parse(text []byte) (*routes.Document, []strictjson.Finding) {
	var f file
	_, findings := strictjson.Decode(text, &f)
	if len(findings) > 0 {
		return nil, findings
	}
	d := f.document()
	for _, found := range d.Validate() {
		findings = append(findings, strictjson.Finding{Path: found.Place, Text: found.Text})
	}
	return d, findings
}

func ms(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func (f *file) document() *routes.Document {
	d := &routes.Document{Version: f.Version, Limits: routes.Limits{
		HeaderBytes: f.Limits.HeaderBytes, BodyBytes: f.Limits.BodyBytes,
		HeaderTimeout: ms(f.Limits.HeaderTimeoutMs), IdleTimeout: ms(f.Limits.IdleTimeoutMs),
	}}
	for _, r := range f.Routes {
		out := routes.Route{
			Name: r.Name, Host: r.Host, Prefix: r.Prefix, Kind: routes.Kind(r.Kind), Priority: r.Rank,
			LatencyObjective: ms(r.ObjectiveMs), Timeout: ms(r.TimeoutMs), Attempts: r.Attempts,
		}
		for _, p := range r.Parts {
			out.Destinations = append(out.Destinations, routes.WeightedService(p))
		}
		d.Routes = append(d.Routes, out)
	}
	for _, s := range f.Services {
		d.Services = append(d.Services, routes.Service{
			Name: s.Name, MaxConnections: s.MaxConnections, ColdPeriod: ms(s.ColdPeriodMs), ColdRate: s.ColdRate,
			Sharded: s.Sharded, Warmup: ms(s.WarmupMs),
		})
	}
	return d
}
