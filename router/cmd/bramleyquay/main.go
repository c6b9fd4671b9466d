// Command bramleyquay is the daemon. It runs as the sidecar process of a target or as
// a control replica.
package main

import (
	"os"

	"bramleyquay.example/router/daemon"
)

func main() { os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr)) }
