package fleetclient

import (
	"context"
	"errors"

	"bramleyquay.example/coord/fleet"
	"bramleyquay.example/router/fleetnode"
)

// ErrAbandoned means that an order was not carried out because its sender no longer waits
// for the answer.
var ErrAbandoned = errors.New("the sender no longer waits for the answer")

// LeaderCaller calls the leader. *leaderclient.Client implements it.
type LeaderCaller interface {
	CallLeader(ctx context.Context, method string, params, result any) error
}

// SetDrain starts (on) or ends the drain of a data centre for an operator, and retries
// until it is done or ctx ends. waiting reports whether the operator still waits. It is
// asked after the drain revision was read, and the order has that revision as its base:
// whenever it is carried out, no other order has been since the operator waited for it.
// After an error other than ErrAbandoned the order may take effect as long as no other
// one does.
func SetDrain(ctx context.Context, leaders LeaderCaller, dataCentre string, on bool, waiting func() bool) error {
	for {
		var current fleetnode.DrainsReply
		if err := leaders.CallLeader(ctx, fleetnode.MethodDrains, struct{}{}, &current); err != nil {
			return err
		}
		if !waiting() {
			return ErrAbandoned
		}
		order := &fleet.SetDrain{DataCentre: dataCentre, On: on, Base: &current.Revision}
		var result fleet.Result
		if err := leaders.CallLeader(ctx, fleetnode.MethodPropose, fleetnode.ProposeRequest{SetDrain: order}, &result); err != nil {
			return err
		}
		if result.Status == fleet.Accepted {
			return nil
		}
	}
}
