package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"bramleyquay.example/coord/shard"
	"bramleyquay.example/router/harness"
)

const document = `{
	"dataCentres": [{"name": "dc"}],
	"services": [{"name": "bench", "keyed": true, "dataCentres": ["dc"], "shards": 16,
		"limits": {"queue": 1024}, "ramp": {"startSlots": 128, "durationMs": 1}}],
	"automation": {"rebalance": true, "hotKeys": false, "failover": true, "replicaReplacement": false, "ejection": false, "repeats": true},
}`

// run starts two sidecar processes with their targets and measures three paths to the
// target that owns a key: directly, through its own sidecar process, and through the
// other sidecar process.
func run(ctx context.Context, o options) error {
	folder, err := os.MkdirTemp("", "bramleyquay-bench-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	c, err := harness.New(harness.Layout{
		DataCentres: []string{"dc"}, Replicas: 1, Folder: folder, Daemon: o.Daemon, Standin: o.Standin,
		Template: filepath.Join(o.Examples, "process.hujson.tmpl"), LogLevel: "warn",
		Services: []harness.Service{{Name: "bench", Targets: 2, TargetArgs: []string{"--slots=128", "--service-time=0s"}}},
	})
	if err != nil {
		return err
	}
	defer c.Stop()
	if err := c.Start(); err != nil {
		return err
	}
	if _, err := c.Apply(ctx, 0, "bench", document); err != nil {
		return err
	}
	if err := c.AwaitServing(ctx); err != nil {
		return err
	}
	paths, err := requestPaths(ctx, c)
	if err != nil {
		return err
	}
	report(o, paths)
	return nil
}

// requestPaths returns the three paths to the owner of a key.
func requestPaths(ctx context.Context, c *harness.Cluster) ([]path, error) {
	const key = "bench-key"
	index := shard.IndexForHash(shard.Hash(key), 16) // the number of shards in document
	for i, n := range c.Nodes {
		d, err := n.Dump(ctx)
		if err != nil {
			return nil, err
		}
		for _, e := range d.Owned {
			if e.Unit.Shard != index {
				continue
			}
			return []path{
				{name: "direct", url: "http://" + d.Gate.Target.Address + "/item"},
				{name: "owner's process", url: "http://" + n.Caller + "/bench/item", key: key},
				{name: "other process", url: "http://" + c.Nodes[1-i].Caller + "/bench/item", key: key},
			}, nil
		}
	}
	return nil, fmt.Errorf("no process owns shard %d", index)
}

// report measures all paths at full load, and then at half the rate that the last path,
// through the other process, reached. It prints the results.
func report(o options, paths []path) {
	saturated := make([]result, len(paths))
	fmt.Printf("%-34s %10s %8s %8s %8s %7s\n", "path", "requests/s", "p50 ms", "p99 ms", "p99.9 ms", "failed")
	printResult := func(name string, r result) {
		fmt.Printf("%-34s %10.0f %8.3f %8.3f %8.3f %7d\n", name, r.rate, r.ms(50), r.ms(99), r.ms(99.9), r.failed)
	}
	for i, p := range paths {
		measure(p, o.Callers, o.Length/5, 0) // opens the connections
		saturated[i] = measure(p, o.Callers, o.Length, 0)
		printResult(p.name+", saturated", saturated[i])
	}
	half := saturated[len(paths)-1].rate / 2
	var direct result
	for i, p := range paths {
		r := measure(p, o.Callers, o.Length, half)
		printResult(fmt.Sprintf("%s, half rate", p.name), r)
		if i == 0 {
			direct = r
		} else {
			fmt.Printf("%-34s adds %.3f ms at p99 (goal: at most 1 ms)\n", p.name, r.ms(99)-direct.ms(99))
		}
	}
}
