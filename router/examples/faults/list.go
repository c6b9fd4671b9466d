package main

import (
	"context"

	"bramleyquay.example/router/harness"
	"bramleyquay.example/router/operator"
)

// fault is a kind of fault: how to inject and how to repair it.
type fault struct {
	name   string
	inject func(*bench)
	repair func(*bench)
}

// crash returns a fault that kills the process of a node.
func crash(name string, n func(*bench) *harness.Node) fault {
	return fault{
		name:   name,
		inject: func(b *bench) { b.markDown(n(b)).Daemon.Kill() },
		repair: func(b *bench) { b.restart() },
	}
}

// freeze returns a fault that suspends the process of a node.
func freeze(name string, n func(*bench) *harness.Node) fault {
	return fault{
		name:   name,
		inject: func(b *bench) { b.markDown(n(b)).Daemon.Freeze() },
		repair: func(b *bench) { b.restart() },
	}
}

// nodeOf returns a function that returns node i of a service.
func nodeOf(service string, i int) func(*bench) *harness.Node {
	return func(b *bench) *harness.Node { return b.cluster.NodesOf(service)[i] }
}

func leader(b *bench) *harness.Node { return b.leader }

var (
	ownerKilled        = crash("owner killed", nodeOf("catalogue", 1))
	paymentOwnerKilled = crash("payment owner killed", nodeOf("enrolment", 0))
	ownerFrozen        = freeze("owner frozen", nodeOf("catalogue", 2))
	leaderKilled       = crash("control leader killed", leader)
	leaderFrozen       = freeze("control leader frozen", leader)
	targetKilled       = fault{
		name:   "target killed",
		inject: func(b *bench) { nodeOf("catalogue", 0)(b).Target.Kill() },
		repair: func(b *bench) { b.restart() },
	}
	targetFrozen = fault{
		name:   "target frozen",
		inject: func(b *bench) { nodeOf("catalogue", 3)(b).Target.Freeze() },
		repair: func(b *bench) { nodeOf("catalogue", 3)(b).Target.Resume() },
	}
	controlCut = fault{
		name:   "process cut off from control",
		inject: func(b *bench) { nodeOf("catalogue", 0)(b).CutControl(true, true) },
		repair: func(b *bench) { nodeOf("catalogue", 0)(b).HealControl() },
	}
	controlAnswersCut = fault{
		name:   "answers of control lost",
		inject: func(b *bench) { nodeOf("enrolment", 1)(b).CutControl(false, true) },
		repair: func(b *bench) { nodeOf("enrolment", 1)(b).HealControl() },
	}
	dataCentreLost = fault{
		name: "data centre lost",
		inject: func(b *bench) {
			for _, n := range b.cluster.Nodes {
				if n.DataCentre == "mct-3" {
					b.markDown(n).Daemon.Kill()
				}
			}
		},
		repair: func(b *bench) { b.restart() },
	}
	dataCentreDrained = fault{
		name: "data centre drained",
		inject: func(b *bench) {
			b.addError(b.cluster.Drain(context.Background(), operator.ScopeDataCentre, "mct-2", true))
		},
		repair: func(b *bench) {
			b.addError(b.cluster.Drain(context.Background(), operator.ScopeDataCentre, "mct-2", false))
		},
	}
	plannedStop = fault{
		name:   "planned stop of a process",
		inject: func(b *bench) { n := b.markDown(nodeOf("catalogue", 3)(b)); go n.Daemon.Terminate(harness.StopLimit) },
		repair: func(b *bench) { b.restart() },
	}
)

// faults lists the groups of faults to inject together: the single faults of the fault
// model, and pairs of them.
var faults = [][]fault{
	{ownerKilled}, {paymentOwnerKilled}, {ownerFrozen}, {targetKilled}, {targetFrozen}, {leaderKilled}, {leaderFrozen},
	{controlCut}, {controlAnswersCut}, {dataCentreLost}, {dataCentreDrained}, {plannedStop},
	{ownerKilled, leaderKilled}, {ownerFrozen, leaderKilled}, {paymentOwnerKilled, leaderFrozen}, {targetFrozen, leaderKilled},
	{ownerKilled, paymentOwnerKilled}, {controlCut, leaderKilled}, {dataCentreDrained, ownerFrozen}, {dataCentreLost, leaderKilled},
}
