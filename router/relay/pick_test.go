package relay

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/coord/balancer"
	"bramleyquay.example/coord/dispatch"
)

// Guards against targets that count as failed or full because callers disconnect or this
// process stops, and against failures that do not count.
func TestKindOfResult(t *testing.T) {
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	late, cancelLate := context.WithDeadline(t.Context(), time.Now().Add(-time.Second))
	defer cancelLate()
	broken, full := result{outcome: unknown, reached: true}, refused(dispatch.ReasonNoFreeSlot, 0)
	for name, c := range map[string]struct {
		ctx  context.Context
		last result
		want balancer.ResultKind
	}{
		"broken":                              {t.Context(), broken, balancer.Failed},
		"broken, caller left":                 {ended, broken, balancer.Cancelled},
		"broken, deadline passed":             {late, broken, balancer.Cancelled},
		"refused":                             {t.Context(), full, balancer.Refused},
		"refused, caller left":                {ended, full, balancer.Cancelled},
		"refused, deadline passed":            {late, full, balancer.Refused},
		"answered":                            {t.Context(), answered(200), balancer.OK},
		"answered, caller left":               {ended, answered(200), balancer.OK},
		"answered with an error, caller left": {ended, answered(500), balancer.Failed},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(kindOf(c.ctx, c.last), c.want)
		})
	}
}
