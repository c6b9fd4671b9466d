package strictjson_test

import (
	"encoding/json"
	"testing"
	"unicode/utf8"

	"github.com/matryer/is"

	"bramleyquay.example/router/strictjson"
)

// FuzzIsText guards against a name in a JSON text that is decoded to another one, and against
// a refusal of one that is not.
func FuzzIsText(f *testing.F) {
	for _, text := range []string{`"r;2\u00fc\n"`, `"\ud83d\ude00"`, `"\ud800"`, `"\ude00\ud83d"`, `"\\ud800"`, `"\\\ud83dx"`, "\"\xff\"", `"\ufffd"`} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		is := is.New(t)
		var s string
		if json.Unmarshal([]byte(text), &s) != nil {
			return
		}
		replaced := 0
		for _, r := range s {
			if r == utf8.RuneError {
				replaced++
			}
		}
		if replaced == 0 {
			is.True(strictjson.IsText([]byte(text)))
		}
		if strictjson.IsText([]byte(text)) {
			written, err := json.Marshal(s)
			is.NoErr(err)
			var again string
			is.NoErr(json.Unmarshal(written, &again))
			is.Equal(again, s)
		}
	})
}

// Guards against half a character that is decoded to U+FFFD without a finding.
func TestHalfACharacter(t *testing.T) {
	is := is.New(t)
	for text, want := range map[string]bool{`"\ud83d\ude00"`: true, `"\\ud800"`: true, `"\ufffd"`: true, `"\ud800"`: false, `"\ude00\ud83d"`: false, `"\ud83d\u0041"`: false, "\"\xff\"": false} {
		is.Equal(strictjson.IsText([]byte(text)), want)
	}
	var out struct {
		Name string `json:"name"`
	}
	_, findings := strictjson.Decode([]byte("{\n \"name\": \"r\\ud800\"}"), &out)
	is.Equal(len(findings), 1)
	is.Equal(findings[0].Line, 2)
}
