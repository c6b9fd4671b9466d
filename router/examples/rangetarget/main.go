// Command rangetarget is a stand-in target that holds ranges of keys.
package main

import (
	"os"

	"bramleyquay.example/router/rangetarget"
)

func main() { os.Exit(rangetarget.Main(os.Args[1:], os.Stderr)) }
