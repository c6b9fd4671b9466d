package metriclabel_test

import (
	"regexp"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"bramleyquay.example/router/metriclabel"
)

var (
	sample   = regexp.MustCompile(`(?s)^requests\{name="((?:[^"\\]|\\[\\"n])*)",status="200"\}$`)
	unescape = strings.NewReplacer(`\\`, `\`, `\"`, `"`, `\n`, "\n")
)

// FuzzLabel guards against a name that ends the process, because the library takes a metric
// for malformed, that makes all metrics of the process unreadable, or that is changed.
func FuzzLabel(f *testing.F) {
	f.Add("r;2\r\n\x00\"\\n{}=,ü")
	f.Add("\xff\\")
	f.Fuzz(func(t *testing.T, value string) {
		is := is.New(t)
		name := metriclabel.Name("requests", "name", value, "status", "200")
		is.NoErr(metrics.ValidateMetric(name))
		m := sample.FindStringSubmatch(name)
		is.True(m != nil)
		is.Equal(unescape.Replace(m[1]), strings.ToValidUTF8(value, "\uFFFD"))
		is.True(utf8.ValidString(name))
	})
}
