package main

import (
	"errors"
	"strings"

	"github.com/spf13/cobra"
)

// A usageError reports an invalid command line. It maps to exitUsage.
type usageError struct{ cause error }

func (e *usageError) Error() string { return e.cause.Error() + "; see banyanyard help" }

// Unwrap lets errors.Is and errors.As match the cause.
func (e *usageError) Unwrap() error { return e.cause }

func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "banyanyard",
		Short:         "Route requests to model versions and cascades",
		Long:          "banyanyard routes callers' requests to models, versions and cascades by rules,\nand keeps serving them while instances and failure domains leave and return.",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		RunE:          func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &usageError{cause: err} })
	root.AddCommand(newServeCommand(), newRulesCommand(), newTakeOutCommand(), newExplainCommand(), newLoadCommand(), newDemoCommand(), newVersionCommand())
	return root
}

// exitCode returns exitUsage for an invalid command line and exitFailed for any
// other error. Cobra reports unknown commands and wrong arguments as plain errors,
// so these are recognised by their prefix.
func exitCode(err error) int {
	var usage *usageError
	if errors.As(err, &usage) {
		return exitUsage
	}
	for _, prefix := range []string{"unknown command", "accepts ", "requires at least", "required flag", "invalid argument"} {
		if strings.HasPrefix(err.Error(), prefix) {
			return exitUsage
		}
	}
	return exitFailed
}
