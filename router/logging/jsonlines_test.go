package logging_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/matryer/is"

	"bramleyquay.example/router/logging"
)

// FuzzLines guards against a text that makes a log line unreadable, forges another line, or
// reaches the reader changed.
func FuzzLines(f *testing.F) {
	f.Add("r;2\x00\x1b[2J\r\n\u0085ü'<")
	f.Add("/\xff\\\"")
	f.Add("a\nb")
	f.Fuzz(func(t *testing.T, text string) {
		is := is.New(t)
		var out bytes.Buffer
		log := logging.ForComponent(logging.New(&out, "info", false), "gate")
		log.Info().Str("route", text).Msg("request")
		log.Infof("text %s", text)
		lines := strings.SplitAfter(out.String(), "\n")
		is.Equal(len(lines), 3) // the last one is empty
		var l struct{ Route, Message string }
		is.NoErr(json.Unmarshal([]byte(lines[0]), &l))
		is.Equal(l.Route, logging.Text(text))
		is.True(l.Route == text || !utf8.ValidString(text))
		is.NoErr(json.Unmarshal([]byte(lines[1]), &l))
		is.Equal(l.Message, "gate: text "+logging.Line(text))

		out.Reset()
		log = logging.ForComponent(logging.New(&out, "info", true), "gate")
		log.Info().Str("route", text).Msg("request")
		log.Infof("text %s", text)
		is.Equal(strings.Count(out.String(), "\n"), 2)
	})
}

// slowWriter blocks until it is released.
type slowWriter chan struct{}

func (w slowWriter) Write(p []byte) (int, error) { <-w; return len(p), nil }

// Guards against long lines, as of long paths of callers, that take the memory of a process
// while the output of its log is slow.
func TestQueuedBytesAreBounded(t *testing.T) {
	is := is.New(t)
	out := make(slowWriter)
	w := logging.NewNonBlockingWriter(out)
	line := bytes.Repeat([]byte("x"), 64<<10)
	for range 4000 {
		_, err := w.Write(line)
		is.NoErr(err)
	}
	is.True(w.Dropped() > 3900) // 4 MiB are queued, and a batch is being written
	close(out)
}
