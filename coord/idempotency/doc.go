// Package idempotency runs a request with an idempotency key at most once within
// the lifetime of its record.
//
// The owner of a unit keeps one Record for each key and replicates it to the
// unit's copies. Before the target receives a request, every copy, in sync or
// syncing, has stored a started record, and at least one copy in sync is in
// another data centre (but see Config.AllowNoRemoteCopy). Before the caller
// receives the response, every copy has stored a finished record, unless the
// caller's deadline comes first. A new owner
// fetches the records from one copy of the previous epoch. That copy has the
// record of every request that may have been dispatched, because each dispatch
// waited for all copies. The fetch raises the copy's fence, so that a previous
// owner gets no further acknowledgement.
//
// A started record without a request in progress in this process is left over
// from a lost owner or a lost response. Its outcome is unknown, and the request
// is not run again within the lifetime of the record.
//
// This package belongs to the mode with hashed shards (package control). A
// process uses Owner and CopyStore as follows:
//
//   - New ownership table: for each unit that this member owns,
//     Owner.ApplyAssignment, with Assignment.LocalRecords from CopyStore.Detach
//     at the new epoch if it did not own the unit by the table applied before;
//     for each other unit Owner.Release; then CopyStore.Prune.
//   - Incoming record.write or record.fetch: first Owner.Fence with the
//     message's unit and epoch, then CopyStore.Write or CopyStore.Fetch.
//   - Released: CopyStore.Attach, before any further event.
//   - Synced and Ready: reported to control with the next renewal. A Ready
//     stays valid for later epochs of the same owner.
//   - New incarnation of the member: Owner.Release for all units, then a new
//     CopyStore with the new incarnation. The Owner may be retained, because it
//     has no units then. The results of requests that are at the target go to
//     the Owner that dispatched them.
//
// Both are state machines without goroutine, clock or socket. Neither is safe
// for concurrent use.
package idempotency
