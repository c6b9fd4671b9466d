package main

import (
	"context"

	"bramleyquay.example/router/harness"
	"bramleyquay.example/router/operator"
)

// fault is one way to break the cluster, and its repair.
type fault struct {
	name   string
	inject func(*bench)
	repair func(*bench)
}

func crash(name string, n func(*bench) *harness.Node) fault {
	return fault{
		name:   name,
		inject: func(b *bench) { b.avoid(n(b)).Daemon.Kill() },
		repair: func(b *bench) { b.restart() },
	}
}

func freeze(name string, n func(*bench) *harness.Node) fault {
	return fault{
		name:   name,
		inject: func(b *bench) { b.avoid(n(b)).Daemon.Freeze() },
		repair: func(b *bench) { b.restart() },
	}
}

func of(service string, i int) func(*bench) *harness.Node {
	return func(b *bench) *harness.Node { return b.cluster.NodesOf(service)[i] }
}

func leader(b *bench) *harness.Node { return b.leader }

var (
	ownerKilled  = crash("owner killed", of("catalogue", 1))
	payKilled    = crash("payment owner killed", of("enrolment", 0))
	ownerFrozen  = freeze("owner frozen", of("catalogue", 2))
	leaderKilled = crash("control leader killed", leader)
	leaderFrozen = freeze("control leader frozen", leader)
	targetKilled = fault{
		name:   "target killed",
		inject: func(b *bench) { of("catalogue", 0)(b).Target.Kill() },
		repair: func(b *bench) { b.restart() },
	}
	targetFrozen = fault{
		name:   "target frozen",
		inject: func(b *bench) { of("catalogue", 3)(b).Target.Freeze() },
		repair: func(b *bench) { of("catalogue", 3)(b).Target.Resume() },
	}
	cutOff = fault{
		name:   "process cut off from control",
		inject: func(b *bench) { of("catalogue", 0)(b).CutControl(true, true) },
		repair: func(b *bench) { of("catalogue", 0)(b).HealControl() },
	}
	cutOneWay = fault{
		name:   "answers of control lost",
		inject: func(b *bench) { of("enrolment", 1)(b).CutControl(false, true) },
		repair: func(b *bench) { of("enrolment", 1)(b).HealControl() },
	}
	centreLost = fault{
		name: "data centre lost",
		inject: func(b *bench) {
			for _, n := range b.cluster.Nodes {
				if n.DataCentre == "mct-3" {
					b.avoid(n).Daemon.Kill()
				}
			}
		},
		repair: func(b *bench) { b.restart() },
	}
	centreDrained = fault{
		name: "data centre drained",
		inject: func(b *bench) {
			b.note(b.cluster.Drain(context.Background(), operator.ScopeDataCentre, "mct-2", true))
		},
		repair: func(b *bench) {
			b.note(b.cluster.Drain(context.Background(), operator.ScopeDataCentre, "mct-2", false))
		},
	}
	stop = fault{
		name:   "planned stop of a process",
		inject: func(b *bench) { n := b.avoid(of("catalogue", 3)(b)); go n.Daemon.Terminate(harness.StopLimit) },
		repair: func(b *bench) { b.restart() },
	}
)

// faults are the single faults of the fault model and pairs of them.
var faults = [][]fault{
	{ownerKilled}, {payKilled}, {ownerFrozen}, {targetKilled}, {targetFrozen}, {leaderKilled}, {leaderFrozen},
	{cutOff}, {cutOneWay}, {centreLost}, {centreDrained}, {stop},
	{ownerKilled, leaderKilled}, {ownerFrozen, leaderKilled}, {payKilled, leaderFrozen}, {targetFrozen, leaderKilled},
	{ownerKilled, payKilled}, {cutOff, leaderKilled}, {centreDrained, ownerFrozen}, {centreLost, leaderKilled},
}
