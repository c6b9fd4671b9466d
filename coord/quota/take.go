package quota

import "time"

// Request counts a request of an account, admitted or not, for the demand. It must be
// called once for each request, before Take.
func (h *Holder) Request(now time.Duration, name string) {
	if h.HasLimit(name) {
		a := h.account(name)
		a.demand.count(now)
		a.lastUse = now
	}
}

// Take takes a token for a request and reports whether there was one. Accounts without a
// limit need none.
func (h *Holder) Take(now time.Duration, name string) bool {
	limit, ok := h.limits[name]
	if !ok {
		return true
	}
	h.expire(now)
	a := h.accounts[name]
	if a == nil || h.left {
		return false
	}
	if a.quick >= 1 && now <= a.quickUntil {
		a.quick--
		return true
	}
	a.tokens = min(a.tokens, limit.effective().Burst)
	if a.tokens >= 1 {
		a.tokens--
		return true
	}
	return a.bucket.take(now)
}

// ShouldRenew reports, once, whether the use of a token should be reported early.
func (h *Holder) ShouldRenew(name string) bool {
	a := h.accounts[name]
	if a == nil || !a.soon || a.tokens >= a.known.Tokens {
		return false
	}
	a.soon = false
	return true
}

// MayGetToken reports whether the leader may have a token for a request that got none:
// it has not said yet that it has none at this time.
func (h *Holder) MayGetToken(now time.Duration, name string) bool {
	a := h.accounts[name]
	return a == nil || now >= a.noTokenUntil
}

// HasAllotment reports whether the process gets tokens of an account without asking for
// them.
func (h *Holder) HasAllotment(now time.Duration, name string) bool {
	h.expire(now)
	a := h.accounts[name]
	return a != nil && a.bucket.Rate > 0
}

// AddWaiting changes the number of requests that wait for a renewal.
func (h *Holder) AddWaiting(name string, n int) { h.account(name).waiting += n }

// RetryAfter returns the time after which a refused request is to return. It takes the
// times into account that were given to others. It must be called once for each refusal.
func (h *Holder) RetryAfter(now time.Duration, name string) time.Duration {
	a, limit := h.account(name), h.limits[name]
	a.refused++
	if a.refusedSince == 0 {
		a.refusedSince = now
	}
	first, rate := max(a.noTokenUntil-now, 0), limit.Rate
	if a.bucket.Rate > 0 {
		rate = a.bucket.Rate
		if own := a.bucket.nextToken(now); first == 0 || own < first {
			first = own
		}
	} else if first == 0 {
		first = tokenTime(1, rate)
	}
	return a.returns.next(now, first, rate)
}

// Refund gives back the token of a request that ran nowhere. Tokens that do not fit into
// the allotment of the process go back to the leader.
func (h *Holder) Refund(now time.Duration, name string) {
	if !h.HasLimit(name) {
		return
	}
	h.expire(now)
	a := h.account(name)
	if a.bucket.Burst < 1 {
		a.returned++
		return
	}
	a.bucket.advance(now)
	a.bucket.add(1)
}

// Allotted returns what the process may use of an account, for metrics.
func (h *Holder) Allotted(now time.Duration, name string) (Allotment, float64) {
	h.expire(now)
	a := h.accounts[name]
	if a == nil {
		return Allotment{}, 0
	}
	return a.bucket.Allotment, a.tokens
}
