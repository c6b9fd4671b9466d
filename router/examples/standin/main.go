// Command standin is a stand-in target of a cluster with hashed shards. It can start
// cold and be slowed down, and it logs every payment that it runs.
package main

import (
	"os"

	"bramleyquay.example/router/standin"
)

func main() { os.Exit(standin.Main(os.Args[1:], os.Stderr)) }
