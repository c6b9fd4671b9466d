package fleetnode

import (
	"context"

	"golang.org/x/sync/semaphore"

	"bramleyquay.example/coord/fleet"
)

// LatestDocument returns the newest document, confirmed by the leader, and
// whether the change changeID was accepted before. The leader sends the text
// only if this replica does not have that version. It blocks until the leader
// answers or ctx ends.
func (r *Replica) LatestDocument(ctx context.Context, changeID string) (ReadDocumentReply, error) {
	request := ReadDocumentRequest{ChangeID: changeID}
	var text []byte
	err := r.do(ctx, func() {
		request.Have = r.state.Version()
		_, text = r.state.Document()
	})
	if err != nil {
		return ReadDocumentReply{}, err
	}
	var reply ReadDocumentReply
	if err := r.peers.CallLeader(ctx, MethodRead, request, &reply); err != nil {
		return ReadDocumentReply{}, err
	}
	if reply.Version == request.Have {
		reply.Text = text
	}
	return reply, nil
}

// minChangeWeight is the least weight of a change in the semaphore, for its fixed costs.
const minChangeWeight = 64 << 10

// ChangeDocument changes the document and returns the result. build makes the change from
// the newest document; its error is returned as it is, and nothing changes then. A change
// that was accepted before is not built again. bodyBytes is the size of what build reads.
// ChangeDocument blocks until the leader answers or ctx ends; it also waits while changes
// that are in progress at this replica take too much memory. After an error that is not
// of build the change may still take effect; it may be tried again.
func (r *Replica) ChangeDocument(ctx context.Context, changeID string, bodyBytes int, build func(ReadDocumentReply) (*fleet.ApplyDocument, error)) (fleet.Result, error) {
	release, err := r.reserveChange(ctx, bodyBytes)
	if err != nil {
		return fleet.Result{}, err
	}
	defer release()
	current, err := r.LatestDocument(ctx, changeID)
	if err != nil {
		return fleet.Result{}, err
	}
	if current.Accepted {
		return fleet.Result{Status: fleet.Accepted, Version: current.Version}, nil
	}
	change, err := build(current)
	if err != nil {
		return fleet.Result{Version: current.Version}, err
	}
	change.ChangeID = changeID
	var result fleet.Result
	err = r.peers.CallLeader(ctx, MethodPropose, ProposeRequest{ApplyDocument: change}, &result)
	return result, err
}

// newChangeSemaphore returns the semaphore for the bytes of the documents that are changed
// at the same time, or nil without a bound.
func newChangeSemaphore(maxChangeBytes int) *semaphore.Weighted {
	if maxChangeBytes <= 0 {
		return nil
	}
	return semaphore.NewWeighted(int64(max(maxChangeBytes, minChangeWeight)))
}

// reserveChange waits until a change of the current document may begin.
func (r *Replica) reserveChange(ctx context.Context, bodyBytes int) (release func(), err error) {
	if r.changes == nil {
		return func() {}, nil
	}
	var text []byte
	if err := r.do(ctx, func() { _, text = r.state.Document() }); err != nil {
		return nil, err
	}
	weight := int64(max(minChangeWeight, min(len(text)+bodyBytes, r.cfg.MaxChangeBytes)))
	if err := r.changes.Acquire(ctx, weight); err != nil {
		return nil, Error.New("other changes are in progress: %w", err)
	}
	return func() { r.changes.Release(weight) }, nil
}
