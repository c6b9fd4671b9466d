package shard

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against text that is parsed as another unit, and against a panic on any
// input.
func FuzzParse(f *testing.F) {
	for _, s := range []string{"catalogue/3", "catalogue:north/3/00000000000000ff", "a/b", "/", "a/1/0", "a/1/2/3"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		u, err := Parse(text)
		if err != nil {
			return
		}
		again, err := Parse(u.String())
		is := is.New(t)
		is.NoErr(err)
		is.Equal(again, u)
	})
}
