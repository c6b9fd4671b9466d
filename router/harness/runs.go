package harness

import (
	"bufio"
	"os"
	"strings"
)

// Runs returns how often each payment ran, by idempotency key, from the run logs of
// all targets.
func (c *Cluster) Runs() (map[string]int, error) {
	runs := map[string]int{}
	for _, n := range c.Nodes {
		f, err := os.Open(n.RunLog)
		if os.IsNotExist(err) {
			continue
		}
		if err != nil {
			return nil, err
		}
		lines := bufio.NewScanner(f)
		for lines.Scan() {
			key, _, _ := strings.Cut(lines.Text(), " ")
			runs[key]++
		}
		err = lines.Err()
		_ = f.Close() // only read
		if err != nil {
			return nil, err
		}
	}
	return runs, nil
}

// CheckPayments returns how many payments ran more than once, and how many were
// confirmed (answered as done) without having run.
func CheckPayments(runs map[string]int, confirmed map[string]bool) (twice, missing int) {
	for _, n := range runs {
		if n > 1 {
			twice++
		}
	}
	for key := range confirmed {
		if runs[key] == 0 {
			missing++
		}
	}
	return twice, missing
}
