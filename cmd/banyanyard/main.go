// Command banyanyard is a model-aware request router. Its subcommands run an
// instance, manage the routing rules and load-test a deployment.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of the process.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	os.Exit(runCommandLine(ctx, os.Args[1:]))
}

// runCommandLine runs the command that args name and returns the exit code.
func runCommandLine(ctx context.Context, args []string) int {
	root := newRootCommand()
	root.SetArgs(args)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return exitOK
	}
	_, _ = fmt.Fprintln(root.ErrOrStderr(), "banyanyard:", err)
	return exitCode(err)
}
