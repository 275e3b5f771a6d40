package main

import (
	"fmt"

	"github.com/spf13/cobra"
)

func newRulesCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "check FILE",
		Short:   "Check a rules file, offline",
		Long:    "Check a rules file without the platform. Every problem is reported with its\nline and its remedy.",
		Example: "  banyanyard rules check rules.toml",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			_, set, err := readRulesFile(args[0])
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "%s: %d rules, no problems found\n", args[0], len(set.Rules))
			return err
		},
	}
}
