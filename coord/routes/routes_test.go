package routes_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/routes"
)

func document() *routes.Document {
	return &routes.Document{
		Version: 3,
		Routes: []routes.Route{
			{Name: "all", Host: "a.example", Prefix: "/", Kind: routes.Idempotent, Timeout: time.Second, Attempts: 2,
				Destinations: []routes.WeightedService{{Service: "one", Weight: 90}, {Service: "two", Weight: 10}}},
			{Name: "deep", Host: "a.example", Prefix: "/x/y/", Kind: routes.NonIdempotent, Timeout: time.Second,
				Destinations: []routes.WeightedService{{Service: "two", Weight: 1}}},
		},
		Services: []routes.Service{{Name: "one"}, {Name: "two"}},
	}
}

// Guards against a route that gets the requests of another one with a longer prefix.
func TestLongestPrefix(t *testing.T) {
	is := is.New(t)
	table := routes.NewTable(document())
	is.Equal(table.Match("A.example:80", "/x/y/z").Name, "deep")
	is.Equal(table.Match("a.example", "/x/y").Name, "all")
	is.Equal(table.Match("b.example", "/x/y/z"), nil)
}

// Guards against a division of requests that differs from the weights over a few
// requests.
func TestWeights(t *testing.T) {
	is := is.New(t)
	table := routes.NewTable(document())
	r := table.Match("a.example", "/")
	count := map[string]int{}
	for range 50 {
		count[table.PickService(r)]++
	}
	is.Equal(count["one"], 45)
	is.Equal(count["two"], 5)
}

// Guards against an invalid document that is accepted.
func TestValidate(t *testing.T) {
	tests := map[string]func(*routes.Document){
		"unknown service":      func(d *routes.Document) { d.Routes[0].Destinations[0].Service = "three" },
		"same host and prefix": func(d *routes.Document) { d.Routes[1].Prefix = "/" },
		"no weight":            func(d *routes.Document) { d.Routes[1].Destinations[0].Weight = 0 },
		"long timeout":         func(d *routes.Document) { d.Routes[0].Timeout = 601 * time.Second },
		"objective too high":   func(d *routes.Document) { d.Routes[0].LatencyObjective = 61 * time.Second },
		"unknown kind":         func(d *routes.Document) { d.Routes[0].Kind = "odd" },
		"no version":           func(d *routes.Document) { d.Version = 0 },
	}
	if f := document().Validate(); len(f) > 0 {
		t.Fatalf("valid document refused: %v", f)
	}
	for name, invalidate := range tests {
		t.Run(name, func(t *testing.T) {
			d := document()
			invalidate(d)
			if len(d.Validate()) == 0 {
				t.Fatal("accepted")
			}
		})
	}
}

// Guards against a process whose document differs from the operator's after a patch
// was applied.
func TestPatch(t *testing.T) {
	is := is.New(t)
	from, to := document(), document()
	to.Version = 9
	to.Routes = append(to.Routes[1:], routes.Route{Name: "new", Host: "b.example", Prefix: "/", Kind: routes.Idempotent,
		Destinations: []routes.WeightedService{{Service: "one", Weight: 1}}})
	to.Routes[0].Timeout = time.Minute
	p := routes.Diff(from, to)
	is.Equal(p.RemovedRoutes, []string{"all"})
	got, ok := p.Apply(from)
	is.True(ok)
	is.Equal(got, to)
	_, ok = p.Apply(to)
	is.True(!ok)
}
