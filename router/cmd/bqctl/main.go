// Command bqctl is the command-line tool for operators of a cluster.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"bramleyquay.example/router/bqctl"
)

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := bqctl.Run(ctx, os.Args[1:], bqctl.Env{Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr, Getenv: os.Getenv})
	cancel()
	os.Exit(code)
}
