package main

import (
	"context"
	"fmt"
	"os"
	"regexp"
	"strconv"
	"strings"

	"banyanyard/core/revision"
	"banyanyard/core/rules"
	"banyanyard/io/platform"

	"github.com/spf13/cobra"
)

func newRules() *cobra.Command {
	c := &cobra.Command{
		Use:   "rules",
		Short: "Check, compare and apply the routing rules",
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	c.AddCommand(newRulesCheck(), newRulesShow(), newRulesDiff(), newRulesApply(), newRulesStatus())
	return c
}

// addPlatformFlag adds the flag with which operators reach the platform.
func addPlatformFlag(c *cobra.Command, url *string) {
	c.Flags().StringVar(url, "platform", "", "base URL of the platform (required)")
	_ = c.MarkFlagRequired("platform")
}

// readRulesFile reads and checks a rules file.
func readRulesFile(file string) (string, *rules.Set, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return "", nil, err
	}
	set, err := rules.Parse(string(data))
	return string(data), set, err
}

// inForce reads the configuration in force. Before the first apply it is empty.
func inForce(ctx context.Context, store *platform.Client) (revision.Head, *rules.Set, error) {
	head, _, err := platform.ReadHead(ctx, store)
	if err != nil {
		return head, nil, err
	}
	text := ""
	if head.Number > 0 {
		if text, err = platform.ReadRules(ctx, store, head); err != nil {
			return head, nil, err
		}
	}
	set, err := rules.Parse(text)
	return head, set, err
}

// revisionLine is the comment by which a file says which revision it was made
// from.
var revisionLine = regexp.MustCompile(`(?m)^# revision: (\d+)$`)

// madeFrom returns the revision that a text says it was made from.
func madeFrom(text string) (int64, bool) {
	m := revisionLine.FindStringSubmatch(text)
	if m == nil {
		return 0, false
	}
	n, err := strconv.ParseInt(m[1], 10, 64)
	return n, err == nil
}

// withRevision returns the text with the comment for a revision.
func withRevision(text string, number int64) string {
	line := fmt.Sprintf("# revision: %d", number)
	if revisionLine.MatchString(text) {
		return revisionLine.ReplaceAllString(text, line)
	}
	return line + "\n" + strings.TrimPrefix(text, "\n")
}
