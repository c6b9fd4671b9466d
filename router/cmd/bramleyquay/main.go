// Command bramleyquay is the daemon: one process beside each target, and the
// control replicas.
package main

func main() {}
