// Package routefile reads the routing document of a cluster in fleet mode as
// operators write it: JSON with comments. A document is validated only if it
// can be decoded. Findings of the decoder have a line and a column, those of
// the validation a path only.
package routefile

import (
	"time"

	"bramleyquay.example/coord/routes"
	"bramleyquay.example/router/strictjson"
)

// file is a routing document as operators write it.
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
	Accounts []account `json:"accounts"`
}

type route struct {
	Name               string            `json:"name"`
	Host               string            `json:"host"`
	Prefix             string            `json:"prefix"`
	Kind               string            `json:"kind"`
	Priority           int               `json:"rank"`
	LatencyObjectiveMs int64             `json:"objectiveMs"`
	TimeoutMs          int64             `json:"timeoutMs"`
	Attempts           int               `json:"attempts"`
	Destinations       []weightedService `json:"parts"`
	Public             bool              `json:"public"`
}

type weightedService struct {
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

// Parse reads and validates a document. The document must not be used if there
// are findings; it is nil if the text cannot be decoded.
func Parse(text []byte) (*routes.Document, []strictjson.Finding) {
	var f file
	_, findings := strictjson.Decode(text, &f)
	if len(findings) > 0 {
		return nil, findings
	}
	d := f.document()
	for _, finding := range d.Validate() {
		findings = append(findings, strictjson.Finding{Path: finding.Place, Text: finding.Text})
	}
	return d, findings
}

func ms(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// document translates the file into the routing document of the control group.
func (f *file) document() *routes.Document {
	d := &routes.Document{Version: f.Version, Limits: routes.Limits{
		HeaderBytes: f.Limits.HeaderBytes, BodyBytes: f.Limits.BodyBytes,
		HeaderTimeout: ms(f.Limits.HeaderTimeoutMs), IdleTimeout: ms(f.Limits.IdleTimeoutMs),
	}}
	for _, r := range f.Routes {
		out := routes.Route{
			Name: r.Name, Host: r.Host, Prefix: r.Prefix, Kind: routes.Kind(r.Kind), Priority: r.Priority,
			LatencyObjective: ms(r.LatencyObjectiveMs), Timeout: ms(r.TimeoutMs), Attempts: r.Attempts, Public: r.Public,
		}
		for _, p := range r.Destinations {
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
	for i := range f.Accounts {
		d.Accounts = append(d.Accounts, f.Accounts[i].account())
	}
	return d
}
