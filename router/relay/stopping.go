package relay

import (
	"context"
	"errors"

	"bramleyquay.example/coord/dispatch"
	"bramleyquay.example/router/httpserver"
)

// reasonStopping requests were in progress near the end of a planned stop of this
// process.
const reasonStopping = "process stops"

// endReason returns the reason of a request that waited until ctx ended.
func endReason(ctx context.Context) string {
	switch {
	case httpserver.IsStopping(ctx):
		return reasonStopping
	case errors.Is(context.Cause(ctx), errMustAnswer):
		return dispatch.ReasonDeadlinePassed
	}
	return reasonCallerLeft
}
