package slopes

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const (
	pagePath = "../../docs/CAPACITY.md"
	// tolerance is how far the page may be from the code.
	tolerance = 2
)

// pageRow is a line of the page's table of slopes: | name | unit | value |.
type pageRow struct {
	name, unit string
	value      float64
}

// readPageRows reads the table between the page's markers.
func readPageRows(t *testing.T) []pageRow {
	is := is.New(t)
	text, err := os.ReadFile(pagePath)
	is.NoErr(err)
	_, text2, found := strings.Cut(string(text), "<!-- slopes -->")
	is.True(found) // the page has the start marker
	table, _, found := strings.Cut(text2, "<!-- /slopes -->")
	is.True(found) // the page has the end marker
	var rows []pageRow
	for line := range strings.Lines(table) {
		f := strings.Split(strings.TrimSpace(line), "|")
		if len(f) != 5 || !strings.Contains(f[1], "/") {
			continue // blank lines and the table's head
		}
		value, err := strconv.ParseFloat(strings.ReplaceAll(strings.TrimSpace(f[3]), ",", ""), 64)
		is.NoErr(err)
		rows = append(rows, pageRow{strings.TrimSpace(f[1]), strings.TrimSpace(f[2]), value})
	}
	return rows
}

// maxAttempts bounds the measurements of one slope: other processes can disturb
// processor times and garbage collections.
const maxAttempts = 3

// TestPageMatchesSlopes guards against a capacity page whose figures the code
// does not have any more: sizes and allocations must be within the factor in
// both directions, times must not be longer than the factor. Times are scaled
// by the reference if the machine is slower than it was for the page.
func TestPageMatchesSlopes(t *testing.T) {
	is := is.New(t)
	rows := readPageRows(t)
	is.True(len(rows) > 40) // the table was read
	known := map[string]slope{}
	for _, s := range allSlopes() {
		known[s.name] = s
	}
	byName := map[string][]pageRow{}
	for _, r := range rows {
		byName[r.name] = append(byName[r.name], r)
	}
	for name, list := range byName {
		s, ok := known[name]
		if !ok {
			t.Errorf("%s: no such slope", name)
			continue
		}
		var faults []string
		for try := 0; try < maxAttempts && (try == 0 || len(faults) > 0); try++ {
			got := s.measure(t, tolerance*pageTime(list))
			slower := max(1, got[referenceUnit]/pageTime(byName["reference/work"]))
			faults = compare(t, list, got, slower)
		}
		for _, f := range faults {
			t.Error(f)
		}
	}
}

// compare returns what differs between the page's rows of a slope and its
// measured values.
func compare(t *testing.T, list []pageRow, got measurements, slower float64) []string {
	var faults []string
	for _, r := range list {
		v, ok := got[r.unit]
		isTime := strings.HasSuffix(r.unit, "ns") || r.unit == "ns/op"
		limit := tolerance * r.value
		if isTime {
			limit *= slower
		}
		t.Logf("| %s | %s | %.0f |", r.name, r.unit, v)
		switch {
		case !ok:
			faults = append(faults, fmt.Sprintf("%s: has no %s", r.name, r.unit))
		case v > limit, !isTime && v*tolerance < r.value:
			faults = append(faults, fmt.Sprintf("%s: %s is %.0f, the page states %.0f; machine slower by %.2f", r.name, r.unit, v, r.value, slower))
		}
	}
	return faults
}

// pageTime returns the page's time of a slope, 0 if it states none.
func pageTime(list []pageRow) float64 {
	for _, r := range list {
		if r.unit == "ns/op" {
			return r.value
		}
	}
	return 0
}
