package relay

import (
	"context"
	"io"
	"time"

	"bramleyquay.example/coord/dispatch"
	"bramleyquay.example/router/httpclient"
	"bramleyquay.example/router/httpserver"
	"bramleyquay.example/router/memory"
)

const (
	// maxHopBodyBytes is the longest body that is sent to the gate of another process
	// together with the head of its request. A longer one is sent once the gate has
	// accepted the request, so that a refused request does not load the links.
	maxHopBodyBytes = 8 << 10
	// maxNoWaitBodyBytes is the same for a try without waiting, which a busy target
	// refuses. With bodies of 4 KB sent to be refused, 24 gates with links of
	// 6.3 Mbit/s got 2.9 Mbit/s each, and all messages were delayed by 100 ms.
	maxNoWaitBodyBytes = 1 << 10
	// maxTransfers bounds the bodies that a gate receives from peers at the same time.
	// A few fill a link; more would delay all other messages on it.
	maxTransfers = 2
)

// reasonBodyBroken is the reason if the caller's body could not be read to its end.
const reasonBodyBroken = "body broke off"

// receiveBody receives the body that a peer sends after the gate has accepted the
// request. Bodies arrive in the order of their latency objectives, and one that would
// arrive too late is refused at once. A body longer than httpserver.InlineBodyBytes
// stays with the peer until the request has a slot, and is passed on as it arrives.
func (g *Gate) receiveBody(ctx context.Context, req *routedRequest) (result, bool) {
	upload := req.request.Upload
	if upload == nil || upload.Length < 0 || upload.Length > httpserver.InlineBodyBytes {
		return result{}, true
	}
	if req.noWait {
		if wait := g.queue.expectedWait(req); wait > 0 {
			return refused(dispatch.ReasonNoFreeSlot, max(wait, minRetryAfter)), false
		}
	}
	transferred := func(bool) {}
	if upload.Length > maxHopBodyBytes {
		entered := time.Now()
		id, a := g.transfers.acquire(ctx, req, targetLimits{slots: maxTransfers})
		if !a.Start {
			r := refused(a.Reason, a.RetryAfter)
			r.waited = time.Since(entered)
			return r, false
		}
		transferred = func(complete bool) { g.transfers.release(id, complete, dispatch.Limit{}) }
	}
	// A peer that stops sending must not keep others from sending beyond the deadline.
	stop := context.AfterFunc(ctx, upload.Interrupt)
	body, err := readUpload(upload, req.request.Memory)
	stop()
	transferred(err == nil)
	if err != nil {
		return refused(withCause(reasonBodyBroken, err), 0), false
	}
	req.request.Body, req.request.Upload = body, nil
	// Waiting here costs less than sending the body to another target.
	req.noWait = false
	return result{}, true
}

func readUpload(u *httpserver.Upload, account *memory.Account) ([]byte, error) {
	r, err := u.Open()
	if err != nil {
		return nil, err
	}
	body, err := memory.ReadAll(account, r, u.Length, u.Length)
	if err == nil && int64(len(body)) < u.Length {
		err = io.ErrUnexpectedEOF
	}
	return body, err
}

// openSource opens a body that is passed on as it is read. It returns nil if there is
// none.
func openSource(u *httpserver.Upload) (*httpclient.Source, error) {
	if u == nil {
		return nil, nil
	}
	r, err := u.Open()
	if err != nil {
		return nil, err
	}
	return &httpclient.Source{Length: u.Length, Open: func() (io.Reader, error) { return r, nil }}, nil
}

// hopBody sets the body of a request that is sent to the gate of another process.
func hopBody(out *httpclient.Request, req *routedRequest) {
	in := req.request
	out.Body = in.Body
	out.AwaitContinue = len(in.Body) > maxHopBodyBytes || req.noWait && len(in.Body) > maxNoWaitBodyBytes
	if u := in.Upload; u != nil {
		out.AwaitContinue = true
		out.Source = &httpclient.Source{Length: u.Length, Open: u.Open}
	}
}

// upload returns the body that is passed on as it is read, or nil.
func (r *routedRequest) upload() *httpserver.Upload {
	if r.request == nil {
		return nil
	}
	return r.request.Upload
}

// bodyBytes returns the length of the body, or dispatch.UnknownBodyBytes.
func (r *routedRequest) bodyBytes() int64 {
	u := r.upload()
	switch {
	case u == nil:
		return int64(len(r.request.Body))
	case u.Length < 0:
		return dispatch.UnknownBodyBytes
	}
	return u.Length
}

// isConsumed reports whether the body cannot be sent again.
func (r *routedRequest) isConsumed() bool {
	u := r.upload()
	return u != nil && u.IsOpened()
}
