package daemon

import "time"

const (
	// acceptShare divides the shutdown timeout: after the first part the listeners close,
	// if the units have not moved away before. Requests accepted by then have time to end.
	acceptShare = 2
	// lastShare is the last part of the shutdown timeout, at the begin of which requests
	// in progress are ended with a failure, so that it can be written.
	lastShare = 6
)

// stopSchedule divides the shutdown timeout.
type stopSchedule struct {
	// closeListeners is when no further connections are accepted, at the latest.
	// endRequests is when requests in progress are ended, end when the process ends.
	closeListeners, endRequests, end time.Time
}

func newStopSchedule(begin time.Time, timeout time.Duration) stopSchedule {
	return stopSchedule{
		closeListeners: begin.Add(timeout / acceptShare),
		endRequests:    begin.Add(timeout - timeout/lastShare),
		end:            begin.Add(timeout),
	}
}
