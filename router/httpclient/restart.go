package httpclient

import (
	"errors"
	"slices"
)

// errMayHaveRestarted is the cause of a NotSentError with Config.FailOnRestart.
var errMayHaveRestarted = errors.New("the server may have been restarted: no connection is left that was open at the last request")

// continuity tells whether a server has gone on since a request that it has answered. A
// connection that was open then and still is proves it. Client.mu guards it.
type continuity struct {
	// inUse is the number of requests in progress. answered is set once a request has been
	// answered since the last call of Resume, and lost once the proof is missing.
	inUse          int
	answered, lost bool
}

// Resume lets requests be sent again after Do has returned a *NotSentError because of
// Config.FailOnRestart. The caller knows which start of the server the next one is for.
func (c *Client) Resume() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.server.lost {
		c.server.lost, c.server.answered = false, false
	}
}

// begin counts a request. It returns an error if the server may have been restarted since
// an earlier one.
func (c *Client) begin() error {
	if !c.cfg.FailOnRestart {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeBroken()
	if c.server.answered && c.server.inUse == 0 && len(c.idle) == 0 && c.spent == nil {
		c.server.lost = true
	}
	if c.server.lost {
		return errMayHaveRestarted
	}
	c.server.inUse++
	return nil
}

// end records the end of a request that begin has counted.
func (c *Client) end(answered bool) {
	if !c.cfg.FailOnRestart {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.server.inUse--
	c.server.answered = c.server.answered || answered
}

// closeBroken closes the idle connections that the server has closed, or on which
// unexpected bytes have arrived, behind which a close would not be seen. The caller holds
// mu.
func (c *Client) closeBroken() {
	c.idle = slices.DeleteFunc(c.idle, func(pc *persistConn) bool {
		broken := !pc.usable()
		if broken {
			_ = pc.raw.Close() // it is not used any more
		}
		return broken
	})
	if c.spent != nil && !c.spent.usable() {
		_ = c.spent.raw.Close() // it is not used any more
		c.spent = nil
	}
}
