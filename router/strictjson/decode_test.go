package strictjson

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

type inner struct {
	Name  string `json:"name"`
	Count uint32 `json:"count"`
}

type outer struct {
	On     bool    `json:"on"`
	WaitMs int64   `json:"waitMs"`
	Items  []inner `json:"items"`
	Ptr    *inner  `json:"ptr"`
}

func texts(findings []Finding) string {
	lines := make([]string, 0, len(findings))
	for _, f := range findings {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// Guards against values that are silently changed or lost.
func TestDecodeReadsValues(t *testing.T) {
	is := is.New(t)
	var out outer
	positions, findings := Decode([]byte("{\n// é\n\"on\": true, \"waitMs\": 1e3,\n\"items\": [{\"name\": \"ä\\n\", \"count\": 4294967295,},], \"ptr\": {\"count\": 2}}"), &out)
	is.Equal(texts(findings), "")
	is.Equal(out, outer{On: true, WaitMs: 1000, Items: []inner{{"ä\n", 4294967295}}, Ptr: &inner{Count: 2}})
	line, column := positions.Find("items[0].count")
	is.Equal([2]int{line, column}, [2]int{4, 36})
	line, column = positions.Find("items[0].missing.deeper")
	is.Equal([2]int{line, column}, [2]int{4, 11}) // position of items[0]
}

// Guards against errors that encoding/json accepts, rounds away or reports one at
// a time.
func TestDecodeReportsFaults(t *testing.T) {
	deep := strings.Repeat("[", 100_000)
	cases := map[string]string{
		`{"on": 1, "waitMs": 1.5, "items": {}}`:       "1:8: on: expected true or false, found a number\n1:21: waitMs: expected a whole number of milliseconds\n1:35: items: expected an array, found an object",
		`{"items": [{"count": -1}, {"count": 1e12}]}`: "1:22: items[0].count: number is out of range: expected 0 to 4294967295\n1:37: items[1].count: number is out of range: expected 0 to 4294967295",
		`{"waitMs": 9223372036854775808}`:             "1:12: waitMs: number is out of range: expected -9223372036854775808 to 9223372036854775807",
		`{"waitMs": 1e400}`:                           "1:12: waitMs: expected a whole number of milliseconds",
		`{"On": true, "\u001b[2J": 1}`:                "1:2: On: unknown field; did you mean on?\n1:14: \"\\x1b[2J\": unknown field; known fields are items, on, ptr, waitMs",
		`{"on": true, "on": false}`:                   "1:14: on: field is given twice",
		"{\n \"on\": treu}":                           "2:8: invalid literal: expected a string in double quotes without line breaks, a number, true, false or null",
		"{\"é\": 1 2}":                                "1:9: invalid character '2' after object value (expecting ',' or '}')",
		"{\"on\": \"\xff\"}":                          "1:9: text is not valid UTF-8",
		`[]`:                                          "1:1: expected an object, found an array",
		`{"ptr": null}`:                               "1:9: ptr: expected an object, found null",
		deep:                                          "1:65: values are nested more than 64 levels deep",
		"{/*" + deep + "*/ // [" + deep + "\n" + `}`:  "",
		`{"items": [{"name": "\"[` + deep + `"}]}`:    "",
		strings.Repeat(" ", MaxBytes+1):               "1:1: text is larger than 1048576 bytes",
		"":                                            "1:1: parsing value: unexpected EOF",
	}
	for text, want := range cases {
		var out outer
		_, findings := Decode([]byte(text), &out)
		if got := texts(findings); got != want {
			t.Errorf("%.60q:\nwant %s\ngot  %s", text, want, got)
		}
	}
}

// Guards against an unbounded number of findings for a text of another kind.
func TestDecodeBoundsFindings(t *testing.T) {
	is := is.New(t)
	var out outer
	_, findings := Decode([]byte("{"+strings.Repeat(`"x":1,`, 100_000)+"}"), &out)
	is.Equal(len(findings), maxFindings)
}

// Guards against fractions that are refused or rounded, and against strings that
// are accepted as numbers.
func TestDecodeFractions(t *testing.T) {
	is := is.New(t)
	var out struct {
		Ratio float64 `json:"ratio"`
	}
	_, findings := Decode([]byte(`{"ratio": 0.25}`), &out)
	is.Equal(len(findings), 0)
	is.Equal(out.Ratio, 0.25)
	for _, text := range []string{`{"ratio": "0.25"}`, `{"ratio": 1e999}`} {
		_, findings = Decode([]byte(text), &out)
		is.Equal(len(findings), 1)
	}
}
