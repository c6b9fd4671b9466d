// Package explain finds the log lines of a request in the collected logs of all
// processes and says how the request ended and why.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"bramleyquay.example/router/logging"
)

// Line is one structured log line.
type Line struct {
	Time      time.Time `json:"time"`
	Level     string    `json:"level"`
	Process   string    `json:"process"`
	Component string    `json:"part"`
	Message   string    `json:"message"`
	Request   string    `json:"request"`
	Outcome   string    `json:"outcome"`
	Status    int       `json:"status"`
	Reason    string    `json:"reason"`
	Target    string    `json:"target"`
	Service   string    `json:"service"`
	Account   string    `json:"account"`
	// Text is the JSON text of the line, without a collector's prefix.
	Text string `json:"-"`
}

// Report is what the logs say about one request.
type Report struct {
	// Lines are about the request and the calls that targets made while
	// they handled it, in order of time. The ids of these calls begin with
	// the request's id and a dot.
	Lines []Line
	// NearbyEvents are the lines about no request that the processes in Lines
	// logged shortly before the request or while it ran, in order of time.
	NearbyEvents []Line
	// Cause is a sentence on how the request ended.
	Cause string
}

const (
	// lookback is how long before a request an event may affect it: a lease
	// of 5 s and an announcement interval of 1 s, the defaults of the fleet
	// mode.
	lookback = 6 * time.Second
	// maxLineBytes bounds one log line.
	maxLineBytes = 1 << 20
)

// Read reads the lines of one log. Lines that are not JSON objects, or have more than
// maxLineBytes, are skipped. A prefix before the first brace, such as a collector's time
// stamp, is allowed.
func Read(r io.Reader) ([]Line, error) {
	var out []Line
	in := bufio.NewReader(r)
	for {
		text, err := readLine(in)
		if start := bytes.IndexByte(text, '{'); start >= 0 {
			l := Line{Text: string(text[start:])}
			if json.Unmarshal(text[start:], &l) == nil {
				out = append(out, l)
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return out, nil
		case err != nil:
			return out, err
		}
	}
}

// readLine returns the next line without its end, or an empty one if it has more than
// maxLineBytes.
func readLine(in *bufio.Reader) ([]byte, error) {
	var line []byte
	tooLong := false
	for {
		part, err := in.ReadSlice('\n')
		tooLong = tooLong || len(line)+len(part) > maxLineBytes
		if !tooLong {
			line = append(line, part...)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if tooLong {
			return nil, err
		}
		return bytes.TrimRight(line, "\r\n"), err
	}
}

// ExplainRequest explains the request with the given id from the lines of all
// processes. It returns an error if no line is about the request.
func ExplainRequest(id string, lines []Line) (Report, error) {
	id = logging.Text(id)
	var r Report
	processes := map[string]bool{}
	for _, l := range lines {
		if l.Request == id || strings.HasPrefix(l.Request, id+".") {
			r.Lines = append(r.Lines, l)
			processes[l.Process] = true
		}
	}
	if len(r.Lines) == 0 {
		return r, fmt.Errorf("no log line is about request %q", id)
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(r.Lines, byTime)
	from, to := r.Lines[0].Time.Add(-lookback), r.Lines[len(r.Lines)-1].Time
	for _, l := range lines {
		if l.Request == "" && processes[l.Process] && !l.Time.Before(from) && !l.Time.After(to) {
			r.NearbyEvents = append(r.NearbyEvents, l)
		}
	}
	slices.SortStableFunc(r.NearbyEvents, byTime)
	r.Cause = cause(id, r.Lines)
	return r, nil
}

// cause returns a sentence on how the request ended and why. lines are those of
// the request and of its own calls, whose ids begin with id and a dot.
func cause(id string, lines []Line) string {
	var answer, gate *Line
	failedCalls := 0
	for i := range lines {
		l := &lines[i]
		switch {
		case l.Request != id:
			if l.Component == "ingress" && l.Status >= 500 {
				failedCalls++
			}
		case l.Component == "ingress" && l.Status > 0:
			answer = l
		case l.Component == "gate":
			gate = l
		}
	}
	if answer == nil {
		return "the ingress logged no answer to the request: its process ended before that, or its log is missing"
	}
	var s strings.Builder
	switch {
	case answer.Status < 400:
		fmt.Fprintf(&s, "answered %d", answer.Status)
	case answer.Status < 500:
		fmt.Fprintf(&s, "refused %d at the entry: %s", answer.Status, answer.Reason)
	case answer.Outcome == "not-run":
		fmt.Fprintf(&s, "refused %d, it did not run: %s", answer.Status, answer.Reason)
	case answer.Outcome == "done":
		fmt.Fprintf(&s, "the target itself answered %d", answer.Status)
	default:
		fmt.Fprintf(&s, "answered %d, it may have run: %s", answer.Status, answer.Reason)
	}
	if answer.Account != "" {
		fmt.Fprintf(&s, "; account %s", answer.Account)
	}
	if gate != nil {
		fmt.Fprintf(&s, "; last at target %s, process %s", gate.Target, gate.Process)
	} else if answer.Status >= 500 {
		s.WriteString("; it reached no gate")
	}
	if failedCalls > 0 {
		fmt.Fprintf(&s, "; %d of its own calls failed", failedCalls)
	}
	return s.String()
}
