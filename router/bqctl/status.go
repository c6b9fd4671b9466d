package bqctl

import (
	"context"
	"fmt"
	"time"
)

type statusCommand struct{}

// Run prints the state of the cluster once.
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

// Run prints a member's state as JSON, also without --json.
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

// clearScreen moves the cursor to the top left and clears the screen.
const clearScreen = "\x1b[H\x1b[2J"

// minInterval bounds the load on the leader by a watch that is left running.
const minInterval = 100 * time.Millisecond

// Run prints the state repeatedly. If the state cannot be read, it prints the
// error and tries again at the next refresh.
func (c *watchCommand) Run(s *session) error {
	_, cancel, err := s.connect()
	if err != nil {
		return err
	}
	cancel() // each refresh has its own timeout
	for i := 0; c.Count == 0 || i < c.Count; i++ {
		if i > 0 {
			select {
			case <-s.ctx.Done():
				return nil
			case <-time.After(max(c.Interval, minInterval)):
			}
		}
		if err := s.refreshScreen(); err != nil {
			return err
		}
	}
	return nil
}

func (s *session) refreshScreen() error {
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
		_, _ = fmt.Fprintf(s.env.Stdout, "%scannot read the state at %s: %s\n", clearScreen, time.Now().Format("15:04:05"), sanitize(err.Error()))
		return nil
	}
	if s.globals.JSON {
		return s.printJSON(status)
	}
	_, err = fmt.Fprintf(s.env.Stdout, "%s%s\n", clearScreen, sanitize(statusText(status)))
	return err
}
