package main

import (
	"fmt"

	"banyanyard/io/platform"

	"github.com/spf13/cobra"
)

func newRulesShowCommand() *cobra.Command {
	var url string
	c := &cobra.Command{
		Use:     "show",
		Short:   "Print the rules in force",
		Long:    "Print the rules in force, with a comment that names their revision, so that the\noutput can be edited and applied.",
		Example: "  banyanyard rules show --platform http://10.0.0.2:7000 > rules.toml",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			head, set, err := readRulesInForce(c.Context(), &platform.Client{BaseURL: url})
			if err != nil {
				return err
			}
			_, err = fmt.Fprint(c.OutOrStdout(), withRevisionComment(set.Text, head.Number))
			return err
		},
	}
	addPlatformFlag(c, &url)
	return c
}
