package fleetagent

import (
	"context"
	"time"
)

// TakeQuota takes one request of an account's limit. It waits for at most maxWait for
// a first allotment. If ok is false, retryAfter is the expected time until a request
// of the account can be accepted. It returns true for accounts without a limit.
func (a *Agent) TakeQuota(ctx context.Context, account string, maxWait time.Duration) (ok bool, retryAfter time.Duration) {
	return true, 0
}

// RefundQuota gives back what TakeQuota took for a request that ran at no target.
func (a *Agent) RefundQuota(account string) {}
