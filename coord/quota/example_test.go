package quota_test

import (
	"fmt"
	"time"

	"bramleyquay.example/coord/quota"
)

// A process asks for a token of an account, and gets one with the reply.
func Example() {
	cfg := quota.DefaultConfig()
	process := quota.Process{Address: "10.0.0.1:7000", Incarnation: 1 << 40}
	leader, holder := quota.NewAllocator(cfg), quota.NewHolder(cfg, process.Incarnation)
	leader.Start(0, 1, nil)
	leader.SetLimits(0, nil)
	limits := map[string]quota.Limit{"account": {Rate: 5, Burst: 5}}
	leader.SetLimits(0, limits)
	holder.SetLimits(0, limits)
	holder.Request(0, "account")
	holder.AddWaiting("account", 1)
	for now := time.Duration(0); !holder.Take(now, "account"); now += time.Millisecond {
		if reply := leader.Renew(now, process.Address, holder.Report(now)); reply != nil {
			holder.Apply(now, now, *reply)
		}
		if len(leader.Unregistered()) > 0 {
			// Through the replicated log.
			leader.SetRegistered([]quota.Registration{{Process: process, Index: 1}})
		}
	}
	fmt.Println("admitted")
	// Output: admitted
}
