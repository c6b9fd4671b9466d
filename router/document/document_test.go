package document

import (
	"bytes"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"

	"bramleyquay.example/coord/config"
	"bramleyquay.example/router/settings"
)

const validDocument = `{
  // Cascadia
  "dataCentres": [{"name": "c1"}, {"name": "c2"}],
  "services": [
    {"name": "fitting", "keyed": true, "dataCentres": ["c1", "c2"],
     "rules": [{"name": "all", "prefix": "", "dataCentres": ["c1"]}]},
    {"name": "deposits", "payments": true, "dataCentres": ["c1", "c2"], "limits": {"timeoutMs": 500}},
  ],
  "automation": {"rebalance": true, "hotKeys": true, "failover": true,
    "replicaReplacement": true, "ejection": true, "repeats": true},
}`

func lines(findings []settings.Finding) string {
	var out []string
	for _, f := range findings {
		out = append(out, f.String())
	}
	return strings.Join(out, "\n")
}

// Guards against a canonical form that loses or changes a value.
func TestCanonicalIsReadBackUnchanged(t *testing.T) {
	is := is.New(t)
	d, findings := Parse("d.json", []byte(validDocument))
	is.Equal(lines(findings), "")
	first := Canonical(d)
	again, findings := Parse("d.json", first)
	is.Equal(lines(findings), "")
	is.True(reflect.DeepEqual(d.Services, again.Services))
	is.Equal(string(Canonical(again)), string(first))

	empty, findings := Parse("d.json", Canonical(&config.Document{}))
	is.Equal(lines(findings), "")
	is.True(empty != nil)
}

// Guards against findings at the wrong position, and against several findings
// for one cause.
func TestParseGivesPositions(t *testing.T) {
	is := is.New(t)
	d, findings := Parse("d.json", []byte(`{
  "dataCentres": [{"name": "c1", "drained": true}],
  "services": [
    {"name": 5, "keyed": true, "dataCentres": ["c1"], "limits": {"timeoutMs": "2s"},
     "rules": [{"name": "all", "prefx": "", "dataCentres": ["c9"]}]},
  ],
  "automation": {"rebalance": true, "hotKeys": true, "failover": true, "ejection": true, "repeats": true},
}`))
	is.True(d != nil)
	is.True(settings.HasErrors(findings))
	is.Equal(lines(findings), `d.json:4:14: services[0].name: expected a string, found a number
d.json:4:47: services[0].dataCentres: warning: every data centre is drained: nothing is left to serve these requests
d.json:4:79: services[0].limits.timeoutMs: expected a whole number of milliseconds, found a string
d.json:5:16: services[0].rules[0].prefix: is missing
d.json:5:32: services[0].rules[0].prefx: unknown field; did you mean prefix?
d.json:5:61: services[0].rules[0].dataCentres[0]: data centre "c9" is not defined
d.json:7:17: automation.replicaReplacement: is missing`)

	d, findings = Parse("d.json", []byte("{\n \"services\": [}"))
	is.True(d == nil)
	is.Equal(lines(findings), "d.json:2:15: invalid character '}' at start of value")
}

// Guards against a difference that omits a changed line or shows an equal line as
// changed, except in changes above maxCells.
func TestDiff(t *testing.T) {
	is := is.New(t)
	is.Equal(Diff([]byte("a\nb\n"), []byte("a\nb\n")), "")
	is.Equal(Diff([]byte("1\n2\n3\n4\n5\nx\n6\n7\n8\n9\n"), []byte("1\n2\n3\n4\n5\ny\nz\n6\n7\n8\n9\n")),
		"@ 2 equal lines\n 3\n 4\n 5\n-x\n+y\n+z\n 6\n 7\n 8\n")
	is.Equal(Diff(nil, []byte("a\n")), "+a\n")
	d, _ := Parse("d.json", []byte(validDocument))
	is.Equal(Compare(validDocument, string(Canonical(d))), "") // comments and layout
	is.True(strings.Contains(Compare(validDocument, strings.Replace(validDocument, "500", "600", 1)), "+        \"timeoutMs\": 600\n"))
	is.Equal(Compare("", "{"), "+{\n")
	// Above maxCells the memory of the comparison must not grow with the square
	// of the number of lines: the common line is shown as removed and added.
	before, after := strings.Repeat("a\n", 5_000)+"x\na\n", strings.Repeat("b\n", 5_000)+"x\nb\n"
	is.True(strings.Contains(Diff([]byte(before), []byte(after)), "-x\n"))
}

// Guards against panics, findings at positions outside of the text, and valid
// documents that change when their canonical form is parsed.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{validDocument, "", "[]", `{"services":[{"rules":[{}]}]}`, `{"services":[{"payments":true,"recordCopies":-1,"shards":4294967295}]}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		d, findings := Parse("f", text)
		if d == nil && !settings.HasErrors(findings) {
			t.Fatal("no document and no finding")
		}
		for _, finding := range findings {
			if finding.Line < 1 || finding.Line > bytes.Count(text, []byte("\n"))+1 || finding.Column < 1 {
				t.Fatalf("finding %v is outside of the text", finding)
			}
		}
		if settings.HasErrors(findings) {
			return
		}
		canonical := Canonical(d)
		again, findings := Parse("f", canonical)
		if settings.HasErrors(findings) || !bytes.Equal(Canonical(again), canonical) {
			t.Fatalf("canonical form is not read back: %s", lines(findings))
		}
	})
}
