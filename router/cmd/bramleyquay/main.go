// Command bramleyquay is the daemon: one process beside each target, and the
// control replicas.
package main

import (
	"os"

	"bramleyquay.example/router/daemon"
)

func main() { os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr)) }
