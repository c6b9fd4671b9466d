package relay

import (
	"context"
	"errors"

	"bramleyquay.example/router/httpserver"
)

// reasonStopping requests were in progress near the end of a planned stop of this
// process.
const reasonStopping = "process stops"

// isStopping reports whether ctx has ended because this process stops.
func isStopping(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), httpserver.ErrStopping)
}

// endReason returns the reason of a request that waited until ctx ended.
func endReason(ctx context.Context) string {
	if isStopping(ctx) {
		return reasonStopping
	}
	return reasonCallerLeft
}
