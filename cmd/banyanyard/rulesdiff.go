package main

import (
	"fmt"
	"io"

	"banyanyard/core/rules"
	"banyanyard/io/platform"

	"github.com/spf13/cobra"
)

func newRulesDiffCommand() *cobra.Command {
	var url string
	c := &cobra.Command{
		Use:     "diff FILE [FILE]",
		Short:   "Compare a rules file with the rules in force, or two files",
		Example: "  banyanyard rules diff rules.toml --platform http://10.0.0.2:7000\n  banyanyard rules diff old.toml new.toml",
		Args:    cobra.RangeArgs(1, 2),
		RunE: func(c *cobra.Command, args []string) error {
			before, after, err := readRuleSets(c, args, url)
			if err != nil {
				return err
			}
			return printDiff(c.OutOrStdout(), rules.Diff(before, after))
		},
	}
	c.Flags().StringVar(&url, "platform", "", "base URL of the platform; required with one file")
	return c
}

// readRuleSets returns the rules to compare: those of the two files in args, or
// those in force at the platform and those of the only file.
func readRuleSets(c *cobra.Command, args []string, url string) (before, after *rules.Set, err error) {
	if _, after, err = readRulesFile(args[len(args)-1]); err != nil {
		return nil, nil, err
	}
	if len(args) == 2 {
		_, before, err = readRulesFile(args[0])
		return before, after, err
	}
	if url == "" {
		return nil, nil, &usageError{cause: fmt.Errorf("pass two files, or set --platform to the platform's URL")}
	}
	_, before, err = readRulesInForce(c.Context(), &platform.Client{BaseURL: url})
	return before, after, err
}

// printDiff prints every removed (-) and added (+) line, then the number of
// changes.
func printDiff(w io.Writer, changes []rules.Change) error {
	for _, c := range changes {
		if c.Before != nil {
			if _, err := fmt.Fprintln(w, "-", c.Before.Text); err != nil {
				return err
			}
		}
		if c.After != nil {
			if _, err := fmt.Fprintln(w, "+", c.After.Text); err != nil {
				return err
			}
		}
	}
	_, err := fmt.Fprintf(w, "%d rules differ\n", len(changes))
	return err
}
