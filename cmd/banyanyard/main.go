// Command banyanyard is a model-aware router for model versions and cascades.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:]))
}

// run executes one command line and returns its exit code.
func run(ctx context.Context, args []string) int {
	root := newRoot()
	root.SetArgs(args)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return exitDone
	}
	_, _ = fmt.Fprintln(root.ErrOrStderr(), "banyanyard:", err)
	return exitCode(err)
}
