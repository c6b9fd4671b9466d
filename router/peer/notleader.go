package peer

import (
	"encoding/json"
	"errors"

	"github.com/sourcegraph/jsonrpc2"
)

// codeNotLeader is the jsonrpc2 error code of NotLeaderError.
const codeNotLeader = 1001

// NotLeaderError is answered by a control replica that does not lead. The
// method did not run, so a repeat elsewhere is safe.
type NotLeaderError struct {
	// Leader is the peer address of the leader; empty if unknown.
	Leader string `json:"leader"`
	// ID is the leader's name in the settings. A process that knows an address
	// for it prefers that address, because the way there may differ.
	ID string `json:"id,omitempty"`
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "not leader; the leader is unknown"
	}
	return "not leader; the leader is at " + e.Leader
}

// encodeError gives typed errors their jsonrpc2 form.
func encodeError(err error) error {
	var nl *NotLeaderError
	if !errors.As(err, &nl) {
		return err
	}
	rpc := &jsonrpc2.Error{Code: codeNotLeader, Message: nl.Error()}
	rpc.SetError(nl)
	return rpc
}

// decodeError restores what encodeError wrote.
func decodeError(err error) error {
	var rpc *jsonrpc2.Error
	if !errors.As(err, &rpc) || rpc.Code != codeNotLeader || rpc.Data == nil {
		return err
	}
	var nl NotLeaderError
	if json.Unmarshal(*rpc.Data, &nl) != nil {
		return err
	}
	return &nl
}
