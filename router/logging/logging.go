// Package logging provides loggers for the components of a process: plain messages
// with the component as prefix, and structured lines with the component in a field.
package logging

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/phuslu/log"
)

// Logger is the logger of one component.
type Logger struct {
	inner  *log.Logger
	prefix string
}

// New returns a logger for a process that writes to w. level is one of trace, debug,
// info, warn and error; with an unknown level nothing is logged. console selects a
// human-readable format instead of JSON.
func New(w io.Writer, level string, console bool) *log.Logger {
	l := &log.Logger{Level: log.ParseLevel(level), Writer: &log.IOWriter{Writer: jsonLines{out: w}}, TimeFormat: "2006-01-02T15:04:05.000Z07:00"}
	if console {
		l.Writer = &log.ConsoleWriter{Writer: w, QuoteString: true}
	}
	return l
}

// ForComponent returns the logger of one component. Its plain messages start with
// name and a colon; its structured lines have name in the field "part".
func ForComponent(inner *log.Logger, name string) Logger {
	return Logger{inner: inner, prefix: name + ": "}
}

// Debugf logs a message for developers.
func (l Logger) Debugf(format string, args ...any) { l.message(l.inner.Debug(), format, args) }

// Infof logs a normal event.
func (l Logger) Infof(format string, args ...any) { l.message(l.inner.Info(), format, args) }

// Warnf logs an event that an operator may want to look at.
func (l Logger) Warnf(format string, args ...any) { l.message(l.inner.Warn(), format, args) }

// Errorf logs a failure.
func (l Logger) Errorf(format string, args ...any) { l.message(l.inner.Error(), format, args) }

func (l Logger) message(e *log.Entry, format string, args []any) {
	if e != nil { // otherwise the level is not logged
		e.Msg(Line(l.prefix + fmt.Sprintf(format, args...)))
	}
}

// Text returns a text as a field of a JSON line has it: as it is if it is valid UTF-8, and
// otherwise with the bytes that are not escaped as in Go strings.
func Text(text string) string {
	return escape(text, func(rune) bool { return false }, goEscape)
}

// Line returns text as one line of valid UTF-8 without control characters: these, and bytes
// that are not UTF-8, are escaped as in Go strings. The human-readable format writes messages
// as they are, and JSON cannot have other bytes.
func Line(text string) string { return escape(text, unicode.IsControl, goEscape) }

// escape replaces the bytes of a text that are not UTF-8, and some characters, by what replace
// returns for each.
func escape(text string, escaped func(rune) bool, replace func(char string) string) string {
	if utf8.ValidString(text) && !strings.ContainsFunc(text, escaped) {
		return text
	}
	var out strings.Builder
	for len(text) > 0 {
		r, size := utf8.DecodeRuneInString(text)
		if r == utf8.RuneError && size == 1 || escaped(r) {
			out.WriteString(replace(text[:size]))
		} else {
			out.WriteString(text[:size])
		}
		text = text[size:]
	}
	return out.String()
}

// goEscape escapes a character as in Go strings.
func goEscape(char string) string {
	quoted := strconv.Quote(char)
	return quoted[1 : len(quoted)-1]
}

// Debug starts a structured line at debug level; Msg writes it.
func (l Logger) Debug() *log.Entry { return l.inner.Debug().Str("part", l.component()) }

// Info starts a structured line at info level; Msg writes it.
func (l Logger) Info() *log.Entry { return l.inner.Info().Str("part", l.component()) }

// Warn starts a structured line at warn level; Msg writes it.
func (l Logger) Warn() *log.Entry { return l.inner.Warn().Str("part", l.component()) }

// Error starts a structured line at error level; Msg writes it.
func (l Logger) Error() *log.Entry { return l.inner.Error().Str("part", l.component()) }

func (l Logger) component() string { return strings.TrimSuffix(l.prefix, ": ") }
