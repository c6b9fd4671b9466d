// Package idempotency runs a request with an idempotency key at most once.
//
// The owner of a unit keeps one Record for each key. Before the target sees a
// request, a started record is on every copy; before the caller sees the
// answer, a finished record is. A new owner reads one copy of the previous
// epoch, which contains every record whose request may have been dispatched,
// because dispatch waited for all copies. Reading raises the copy's fence, so
// that a previous owner gets no further acknowledgement.
//
// A started record that no request of this process is running was left by a
// lost owner or a lost answer. Its outcome is unknown and the request is never
// run again.
//
// Owner is the owner's side and Copy is the holder's side. Both are state
// machines without goroutine, clock or socket. Neither is safe for concurrent
// use.
package idempotency
