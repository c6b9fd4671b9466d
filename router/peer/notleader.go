package peer

import (
	"encoding/json"
	"errors"

	"github.com/sourcegraph/jsonrpc2"
)

// codeNotLeader is the jsonrpc2 error code of NotLeaderError.
const codeNotLeader = 1001

// NotLeaderError is the error that a control replica returns if it is not the
// leader. The method did not run, so the call can be retried on another replica.
type NotLeaderError struct {
	// Leader is the peer address of the leader; empty if unknown.
	Leader string `json:"leader"`
	// ID is the leader's name in the settings. A process that has an address for
	// this name uses it instead of Leader, because the leader may be reachable
	// under different addresses from different networks.
	ID string `json:"id,omitempty"`
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "not leader; the leader is unknown"
	}
	return "not leader; the leader is at " + e.Leader
}

// encodeError converts a *NotLeaderError to a jsonrpc2 error and returns other
// errors unchanged.
func encodeError(err error) error {
	var notLeader *NotLeaderError
	if !errors.As(err, &notLeader) {
		return err
	}
	rpcErr := &jsonrpc2.Error{Code: codeNotLeader, Message: notLeader.Error()}
	rpcErr.SetError(notLeader)
	return rpcErr
}

// decodeError restores the *NotLeaderError that encodeError converted and returns
// other errors unchanged.
func decodeError(err error) error {
	var rpcErr *jsonrpc2.Error
	if !errors.As(err, &rpcErr) || rpcErr.Code != codeNotLeader || rpcErr.Data == nil {
		return err
	}
	var notLeader NotLeaderError
	if json.Unmarshal(*rpcErr.Data, &notLeader) != nil {
		return err
	}
	return &notLeader
}
