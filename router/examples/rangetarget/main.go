// Command rangetarget is a stand-in target of a cluster in fleet mode: it runs requests
// for the key ranges that its sidecar process grants to it.
package main

import (
	"os"

	"bramleyquay.example/router/rangetarget"
)

func main() { os.Exit(rangetarget.Main(os.Args[1:], os.Stderr)) }
