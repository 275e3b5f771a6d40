package main

import (
	"errors"
	"strings"

	"github.com/spf13/cobra"
)

// A usageError reports a command line that is not understood.
type usageError struct{ cause error }

func (e *usageError) Error() string { return e.cause.Error() + "; see banyanyard help" }

// Unwrap returns the cause.
func (e *usageError) Unwrap() error { return e.cause }

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "banyanyard",
		Short:         "Route requests to model versions and cascades",
		Long:          "banyanyard routes callers' requests to models, versions and cascades by rules,\nand keeps them served while instances and failure domains leave and return.",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		RunE:          func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &usageError{cause: err} })
	root.AddCommand(newServe(), newRules(), newTakeOut(), newLoad(), newDemo(), newVersion())
	return root
}

// exitCode tells wrong use from failure. Cobra reports unknown commands and
// wrong arguments with plain errors.
func exitCode(err error) int {
	var usage *usageError
	if errors.As(err, &usage) {
		return exitUsage
	}
	for _, sign := range []string{"unknown command", "accepts ", "requires at least", "required flag", "invalid argument"} {
		if strings.HasPrefix(err.Error(), sign) {
			return exitUsage
		}
	}
	return exitFailed
}
