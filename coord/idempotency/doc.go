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
// A process uses both sides as follows:
//
//   - New table: for each unit with this member as owner,
//     Owner.ApplyAssignment with Assignment.LocalRecords from
//     CopyStore.Detach at the new epoch; for each other unit Owner.Release;
//     then CopyStore.Prune.
//   - Incoming record.write or record.fetch: first Owner.Fence with the
//     message's unit and epoch, then CopyStore.Write or CopyStore.Fetch.
//   - Released: CopyStore.Attach, at once and before any further event.
//   - Synced and Ready: reported to control with the next renewal. A Ready
//     stays valid for later epochs of the same owner.
//   - New incarnation of the member: Owner.Release for all units, then a new
//     Owner and a new CopyStore. Requests at the target end with the old Owner.
//
// Owner is the owner's side and CopyStore is the holder's side. Both are state
// machines without goroutine, clock or socket. Neither is safe for concurrent
// use.
package idempotency
