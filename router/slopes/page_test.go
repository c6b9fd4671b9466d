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
	// tolerance is the largest allowed ratio between a figure of the page and the
	// measured value.
	tolerance = 2
)

// pageRow is a line of the page's table of slopes: | name | unit | value |.
type pageRow struct {
	name, unit string
	value      float64
}

// readPageRows returns the rows of the table between the page's markers.
func readPageRows(t *testing.T) []pageRow {
	is := is.New(t)
	text, err := os.ReadFile(pagePath)
	is.NoErr(err)
	_, rest, found := strings.Cut(string(text), "<!-- slopes -->")
	is.True(found) // the page has the start marker
	table, _, found := strings.Cut(rest, "<!-- /slopes -->")
	is.True(found) // the page has the end marker
	var rows []pageRow
	for line := range strings.Lines(table) {
		cells := strings.Split(strings.TrimSpace(line), "|")
		if len(cells) != 5 || !strings.Contains(cells[1], "/") {
			continue // blank lines and the table's head
		}
		value, err := strconv.ParseFloat(strings.ReplaceAll(strings.TrimSpace(cells[3]), ",", ""), 64)
		is.NoErr(err)
		rows = append(rows, pageRow{strings.TrimSpace(cells[1]), strings.TrimSpace(cells[2]), value})
	}
	return rows
}

// maxAttempts bounds how often a slope is measured, because other processes can
// increase its times and change when garbage is collected.
const maxAttempts = 3

// Guards against a capacity page with figures that no longer apply to the code: sizes
// and allocations must be within the tolerance in both directions, times must not
// exceed it upwards. The limit of times is scaled by the reference work if the machine
// is slower than it was for the page.
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
			t.Errorf("the page has the slope %s, which this package does not measure", name)
			continue
		}
		var differences []string
		for attempt := 0; attempt < maxAttempts && (attempt == 0 || len(differences) > 0); attempt++ {
			got := s.measure(t, tolerance*pageTime(list))
			slower := max(1, got[referenceUnit]/pageTime(byName["reference/work"]))
			differences = compare(t, list, got, slower)
		}
		for _, d := range differences {
			t.Error(d)
		}
	}
}

// compare returns the differences between the page's rows of a slope and its measured
// values that exceed the tolerance. slower is how many times slower the machine is.
func compare(t *testing.T, list []pageRow, got measurements, slower float64) []string {
	var differences []string
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
			differences = append(differences, fmt.Sprintf("%s: %s is not measured", r.name, r.unit))
		case v > limit, !isTime && v*tolerance < r.value:
			differences = append(differences, fmt.Sprintf("%s: %s is %.0f, the page states %.0f; machine slower by %.2f", r.name, r.unit, v, r.value, slower))
		}
	}
	return differences
}

// pageTime returns the page's time of a slope in nanoseconds, or 0 if it states none.
func pageTime(list []pageRow) float64 {
	for _, r := range list {
		if r.unit == "ns/op" {
			return r.value
		}
	}
	return 0
}
