// The stand-ins and scripts of the review of December 2026. Usage: cases CASE RECORD. The
// program starts the project's own program from the folder of the repository, plays one
// case and exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case
// could not run. With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"
)

// verdict says whether a rule was broken, and what was seen.
type verdict struct {
	broken bool
	seen   string
}

// caseFunc plays a case. trouble says whether the disruption is part of it.
type caseFunc func(rec *recorder, dir string, trouble bool) (verdict, error)

// cases are registered by the files of the cases.
var cases = map[string]caseFunc{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// maxDuration is the time after which a case counts as one that could not run.
const maxDuration = 115 * time.Second

func play(f caseFunc, record string, trouble bool) int {
	out, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = out.Close() }()
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	rec := &recorder{out: out, begin: time.Now()}
	rec.add("case begins", "trouble", trouble)
	time.AfterFunc(maxDuration, func() {
		fmt.Println("the case took too long")
		_ = os.RemoveAll(dir)
		os.Exit(2) // the processes that it started end with it
	})
	v, err := f(rec, dir, trouble)
	if err != nil {
		rec.add("case could not run", "error", err)
		fmt.Println(err)
		if !errors.Is(err, errCannotRun) {
			fmt.Println("unexpected error")
		}
		return 2
	}
	rec.add("verdict", "broken", v.broken, "seen", v.seen)
	fmt.Println(v.seen)
	if v.broken {
		return 1
	}
	return 0
}
