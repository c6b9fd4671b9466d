// Command bramleyquay is the daemon. It runs as the sidecar process of a target or as
// a control replica, in a cluster with hashed shards or (command fleet) in fleet mode,
// and it checks settings files.
package main

import (
	"os"

	"bramleyquay.example/router/daemon"
)

func main() { os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr)) }
