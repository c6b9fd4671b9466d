package fleetagent

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"bramleyquay.example/coord/routes"
)

// Guards against metrics of accounts that are no longer in the document, whose number
// would grow with each change. The ingress counts the requests (package relay).
func TestQuotaMetrics(t *testing.T) {
	is := is.New(t)
	a := testAgent()
	written := func() string {
		var out bytes.Buffer
		metrics.WritePrometheus(&out, false)
		return out.String()
	}
	for _, name := range []string{"first", "second"} {
		a.SetViewForTest(&View{Routes: routes.NewTable(&routes.Document{Version: 1, Accounts: []routes.Account{{Name: name}, {Name: "limited", Rate: 1}}})})
		ok, _ := a.TakeQuota(context.Background(), name, 0)
		is.True(ok)
		ok, _ = a.TakeQuota(context.Background(), "limited", 0)
		is.True(!ok)
		is.True(strings.Contains(written(), `bramleyquay_account_allotment{account="`+name+`"} 0`))
		is.True(!strings.Contains(written(), `bramleyquay_account_requests{account="`+name)) // would be counted twice
	}
	is.True(!strings.Contains(written(), `account="first"`))
	is.True(strings.Contains(written(), `bramleyquay_account_allotment{account="limited"} 0`))
}
