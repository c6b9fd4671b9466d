package routes_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"bramleyquay.example/coord/routes"
)

// Guards against a valid document whose names no header carries, against a refusal of names
// that can be carried, and against replicas of two builds that disagree about a document in
// the log: the further rules hold for new changes only.
func TestNamesThatRequestsCarry(t *testing.T) {
	long := strings.Repeat("x", routes.MaxNameBytes)
	for _, c := range []struct {
		route, service, host string
		finding              string
	}{
		{"r;2\r\n%\x00", `a;b%3B"ü, c`, "h.example:80", ""},
		{long, long, "h", ""},
		{long + "x", "s", "h", "route 1: the name is longer than 4096 bytes"},
		{"r", long + "x", "h", "service 1: the name is longer than 4096 bytes"},
		{"r\xff", "s", "h", `route "r\xff": the name is not valid UTF-8`},
		{"r", "a\nb", "h", `service "a\nb": it has a control character, which no HTTP header can carry`},
		{"r", "a\x7f", "h", `service "a\x7f": it has a control character, which no HTTP header can carry`},
		{"r", " a", "h", `service " a": it begins or ends with a blank, which HTTP headers lose`},
		{"r", "a\tb\u0085", "h\t", `route "r": no request can have the host "h\t": it begins or ends with a blank, which HTTP headers lose`},
	} {
		is := is.New(t)
		d := &routes.Document{Version: 1, Services: []routes.Service{{Name: c.service}}, Routes: []routes.Route{{
			Name: c.route, Host: c.host, Prefix: "/", Kind: routes.Idempotent, Destinations: []routes.WeightedService{{Service: c.service, Weight: 1}},
		}}}
		var got []string
		for _, f := range d.Validate() {
			got = append(got, f.String())
		}
		is.Equal(strings.Join(got, "\n"), c.finding)
		is.Equal(len(d.ValidateLogged()), 0)
	}
}
