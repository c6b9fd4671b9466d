package correlation_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bramleyquay.example/coord/correlation"
)

func ExampleConnection() {
	var c correlation.Connection
	c.Start("a")
	fmt.Println(c.Judge("a", "a") == correlation.Accepted)
	fmt.Println(c.Accepts("a"), c.Accepts("b")) // a second try of a needs another connection
	c.Start("b")
	fmt.Println(c.Judge("b", "a") == correlation.Foreign)
	fmt.Println(c.Judge("b", "") == correlation.Unattributed)
	// Output:
	// true
	// false true
	// true
	// true
}

// Guards against a response that is taken for the response to another request or try: the
// server may repeat any earlier response, with or without an id, at any time.
func TestNoCopyIsAccepted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c correlation.Connection
		var earlier []string // ids of the responses that the server has sent
		for range 30 {
			id := rapid.SampledFrom([]string{"", "a", "b", "c", "d"}).Draw(t, "id")
			if !c.Accepts(id) {
				continue
			}
			c.Start(id)
			for _, copied := range earlier {
				if rapid.Bool().Draw(t, "repeats") && c.Judge(id, copied) == correlation.Accepted {
					t.Fatalf("a copy of the response %q was accepted for the request %q after %q", copied, id, earlier)
				}
			}
			responseID := ""
			if rapid.IntRange(0, 3).Draw(t, "echoes") > 0 {
				responseID = id
			}
			c.Judge(id, responseID)
			earlier = append(earlier, responseID)
		}
	})
}

// Guards against a connection whose ids take memory without bound, and against one that
// is not used again although each response has its id.
func TestConnectionIsUsedUpToItsBound(t *testing.T) {
	is := is.New(t)
	var c correlation.Connection
	n := 0
	for ; c.Accepts(fmt.Sprint(n)); n++ {
		c.Start(fmt.Sprint(n))
		is.Equal(c.Judge(fmt.Sprint(n), fmt.Sprint(n)), correlation.Accepted)
	}
	is.Equal(n, 512)
	is.True(c.IsSpent())
}

func BenchmarkAccepts(b *testing.B) {
	var c correlation.Connection
	for i := range 500 {
		c.Start(fmt.Sprint(i))
	}
	for b.Loop() {
		c.Accepts("new")
	}
}
