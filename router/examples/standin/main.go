// Command standin is a stand-in target for the demo and the scenario tests. It
// can start cold, slow down and freeze, and it logs every payment that it runs.
package main

import (
	"os"

	"bramleyquay.example/router/standin"
)

func main() { os.Exit(standin.Main(os.Args[1:], os.Stderr)) }
