// Package logging provides loggers for the components of a process: plain messages
// with the component as prefix, and structured lines with the component in a field.
package logging

import (
	"io"
	"strings"

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
	l := &log.Logger{Level: log.ParseLevel(level), Writer: &log.IOWriter{Writer: w}, TimeFormat: "2006-01-02T15:04:05.000Z07:00"}
	if console {
		l.Writer = &log.ConsoleWriter{Writer: w}
	}
	return l
}

// ForComponent returns the logger of one component. Its plain messages start with
// name and a colon; its structured lines have name in the field "part".
func ForComponent(inner *log.Logger, name string) Logger {
	return Logger{inner: inner, prefix: name + ": "}
}

// Debugf logs a message for developers.
func (l Logger) Debugf(format string, args ...any) { l.inner.Debug().Msgf(l.prefix+format, args...) }

// Infof logs a normal event.
func (l Logger) Infof(format string, args ...any) { l.inner.Info().Msgf(l.prefix+format, args...) }

// Warnf logs an event that an operator may want to look at.
func (l Logger) Warnf(format string, args ...any) { l.inner.Warn().Msgf(l.prefix+format, args...) }

// Errorf logs a failure.
func (l Logger) Errorf(format string, args ...any) { l.inner.Error().Msgf(l.prefix+format, args...) }

// Debug starts a structured line at debug level; Msg writes it.
func (l Logger) Debug() *log.Entry { return l.inner.Debug().Str("part", l.component()) }

// Info starts a structured line at info level; Msg writes it.
func (l Logger) Info() *log.Entry { return l.inner.Info().Str("part", l.component()) }

// Warn starts a structured line at warn level; Msg writes it.
func (l Logger) Warn() *log.Entry { return l.inner.Warn().Str("part", l.component()) }

// Error starts a structured line at error level; Msg writes it.
func (l Logger) Error() *log.Entry { return l.inner.Error().Str("part", l.component()) }

func (l Logger) component() string { return strings.TrimSuffix(l.prefix, ": ") }
