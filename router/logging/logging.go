// Package logging gives each part of a process a logger with a fixed prefix.
package logging

import (
	"io"
	"strings"

	"github.com/phuslu/log"
)

// Logger writes short sentences with the prefix of one part.
type Logger struct {
	inner  *log.Logger
	prefix string
}

// New returns a logger for a process. Level is one of debug, info, warn and
// error; console selects a format for people instead of JSON.
func New(w io.Writer, level string, console bool) *log.Logger {
	l := &log.Logger{Level: log.ParseLevel(level), Writer: &log.IOWriter{Writer: w}, TimeFormat: "2006-01-02T15:04:05.000Z07:00"}
	if console {
		l.Writer = &log.ConsoleWriter{Writer: w}
	}
	return l
}

// ForComponent returns the logger of one part; its lines start with name and a colon.
func ForComponent(inner *log.Logger, name string) Logger {
	return Logger{inner: inner, prefix: name + ": "}
}

// Debugf logs what only a developer needs.
func (l Logger) Debugf(format string, args ...any) { l.inner.Debug().Msgf(l.prefix+format, args...) }

// Infof logs a normal event.
func (l Logger) Infof(format string, args ...any) { l.inner.Info().Msgf(l.prefix+format, args...) }

// Warnf logs an event that an operator may want to look at.
func (l Logger) Warnf(format string, args ...any) { l.inner.Warn().Msgf(l.prefix+format, args...) }

// Errorf logs a failure.
func (l Logger) Errorf(format string, args ...any) { l.inner.Error().Msgf(l.prefix+format, args...) }

// Debug begins a structured line.
func (l Logger) Debug() *log.Entry { return l.inner.Debug().Str("part", l.name()) }

// Info begins a structured line.
func (l Logger) Info() *log.Entry { return l.inner.Info().Str("part", l.name()) }

// Warn begins a structured line.
func (l Logger) Warn() *log.Entry { return l.inner.Warn().Str("part", l.name()) }

// Error begins a structured line.
func (l Logger) Error() *log.Entry { return l.inner.Error().Str("part", l.name()) }

func (l Logger) name() string { return strings.TrimSuffix(l.prefix, ": ") }
