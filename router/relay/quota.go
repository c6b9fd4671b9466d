package relay

import (
	"context"
	"net/http"
	"time"

	"bramleyquay.example/router/httpserver"
)

const (
	// maxQuotaWait bounds the wait for the first allotment of an account's limit at
	// this process: a renewal and its answer, with a margin.
	maxQuotaWait = 150 * time.Millisecond
	// quotaWaitShare is the largest part of the latency objective that the wait may
	// take. The rest is left for the request itself.
	quotaWaitShare = 4
)

// reasonOverQuota requests exceed the limit of their account.
const reasonOverQuota = "account is over its limit"

// quota takes requests of the limits of accounts. fleetagent.Agent implements it.
type quota interface {
	TakeQuota(ctx context.Context, account string, maxWait time.Duration) (ok bool, retryAfter time.Duration)
	RefundQuota(account string)
}

// takeQuota takes the request from the limit of its account. It does nothing for
// requests without an account or of one without a limit. If the account is over its
// limit, or ctx ends before that is known, it returns the answer for the caller.
func (in *Ingress) takeQuota(ctx context.Context, st *requestState) *httpserver.Response {
	if st.account == nil {
		return nil
	}
	if st.account.Rate > 0 {
		objective := st.request.objective.Sub(st.request.request.Received)
		ok, after := in.quota.TakeQuota(ctx, st.account.Name, min(maxQuotaWait, objective/quotaWaitShare))
		switch {
		case !ok && ctx.Err() != nil:
			// The context ended during the wait for an allotment, which says nothing about the limit.
			st.last = refused(endReason(ctx), 0)
			return in.refusal(st)
		case !ok:
			in.accounts.count(st.account.Name, resultOverQuota)
			return in.overQuota(st, after)
		}
	}
	in.accounts.count(st.account.Name, resultAdmitted)
	return nil
}

// overQuota returns the answer to a request of an account that is over its limit. The
// time until a retry is rounded up, because a request that comes before it is refused
// again.
func (in *Ingress) overQuota(st *requestState, after time.Duration) *httpserver.Response {
	if after <= 0 {
		after = defaultRetryAfter
	}
	st.last = refused(reasonOverQuota, after)
	resp := in.failure(st, http.StatusTooManyRequests)
	setRetryAfter(resp, (after + time.Millisecond - 1).Truncate(time.Millisecond))
	return resp
}

// settleQuota gives back what takeQuota took if the request ran at no target. A request
// that may have run is charged.
func (in *Ingress) settleQuota(st *requestState) {
	if st.account == nil || st.account.Rate <= 0 || st.mayHaveRun {
		return
	}
	in.quota.RefundQuota(st.account.Name)
	in.accounts.count(st.account.Name, resultRefunded)
}
