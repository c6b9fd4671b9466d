// Package loadsim measures admission, load balancing and retries in virtual time.
// Its test files simulate targets, gates and callers around the real packages
// admission, balancer and retry; docs/measurements.md lists the results.
package loadsim
