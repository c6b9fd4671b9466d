package bqctl

import (
	"context"
	"fmt"
	"time"
)

type statusCommand struct{}

// Run prints the state once.
func (c *statusCommand) Run(s *session) error {
	ctx, cancel, err := s.connect()
	if err != nil {
		return err
	}
	defer cancel()
	status, err := s.remote.Status(ctx)
	if err != nil {
		return err
	}
	s.print("%s", statusText(status))
	return s.printJSON(status)
}

type dumpCommand struct {
	Member string `arg:"" help:"Member id."`
}

// Run prints a member's state, which is JSON in any case.
func (c *dumpCommand) Run(s *session) error {
	ctx, cancel, err := s.connect()
	if err != nil {
		return err
	}
	defer cancel()
	text, err := s.remote.Dump(ctx, c.Member)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(s.env.Stdout, "%s\n", text)
	return err
}

type watchCommand struct {
	Interval time.Duration `help:"Time between two screens." default:"1s"`
	Count    int           `help:"Number of screens; 0 goes on until interrupted." default:"0"`
}

// clearScreen moves the cursor to the top left and clears what is below.
const clearScreen = "\x1b[H\x1b[2J"

// minInterval bounds the load that a forgotten screen puts on the leader.
const minInterval = 100 * time.Millisecond

// Run refreshes one screen. A screen that fails says so, and the next one is
// tried.
func (c *watchCommand) Run(s *session) error {
	_, cancel, err := s.connect()
	if err != nil {
		return err
	}
	cancel() // every screen has its own time
	for i := 0; c.Count == 0 || i < c.Count; i++ {
		if i > 0 {
			select {
			case <-s.ctx.Done():
				return nil
			case <-time.After(max(c.Interval, minInterval)):
			}
		}
		if err := s.screen(); err != nil {
			return err
		}
	}
	return nil
}

func (s *session) screen() error {
	ctx, cancel := context.WithTimeout(s.ctx, s.globals.Timeout)
	defer cancel()
	status, err := s.remote.Status(ctx)
	if err != nil {
		if s.ctx.Err() != nil {
			return nil
		}
		if s.globals.JSON {
			s.report(err)
			return nil
		}
		_, _ = fmt.Fprintf(s.env.Stdout, "%sno state at %s: %s\n", clearScreen, time.Now().Format("15:04:05"), clean(err.Error()))
		return nil
	}
	if s.globals.JSON {
		return s.printJSON(status)
	}
	_, err = fmt.Fprintf(s.env.Stdout, "%s%s\n", clearScreen, clean(statusText(status)))
	return err
}
