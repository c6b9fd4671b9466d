package ingress

import (
	"strconv"
	"strings"
	"testing"
)

// FuzzLoadHeader guards against a load header that is parsed as other numbers than
// it contains, or as numbers beyond any real load.
func FuzzLoadHeader(f *testing.F) {
	for _, s := range []string{"1/2/3", "", "//", "1/2", "1/2/3/4", "-1/2/3", "99999999999999999999/1/1", "1/ 2/3", "٣/1/1"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		l := parseLoad(s)
		if l == nil {
			return
		}
		if strings.HasPrefix(s, "/") || strings.HasSuffix(s, "/") || strings.Contains(s, "//") {
			t.Fatalf("%q lacks a number and is parsed as %+v", s, *l)
		}
		for _, n := range []int{l.Running, l.Limit, l.Queued} {
			if n < 0 || n > 1<<25 {
				t.Fatalf("%q is parsed as %+v", s, *l)
			}
		}
		text := strconv.Itoa(l.Running) + "/" + strconv.Itoa(l.Limit) + "/" + strconv.Itoa(l.Queued)
		if again := parseLoad(text); again == nil || *again != *l {
			t.Fatalf("%q is parsed as %+v and %q as %+v", s, *l, text, again)
		}
	})
}
