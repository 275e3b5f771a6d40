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

func newRulesCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "rules",
		Short: "Check, compare and apply the routing rules",
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	c.AddCommand(newRulesCheckCommand(), newRulesShowCommand(), newRulesDiffCommand(), newRulesApplyCommand(), newRulesStatusCommand())
	return c
}

// addPlatformFlag adds the required flag --platform, which sets url.
func addPlatformFlag(c *cobra.Command, url *string) {
	c.Flags().StringVar(url, "platform", "", "base URL of the platform (required)")
	_ = c.MarkFlagRequired("platform")
}

// readRulesFile reads and parses a rules file and returns its text and rules.
func readRulesFile(file string) (string, *rules.Set, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return "", nil, err
	}
	set, err := rules.Parse(string(data))
	return string(data), set, err
}

// readRulesInForce reads the head revision and its rules from the platform. The
// rules are empty if none have been applied yet.
func readRulesInForce(ctx context.Context, store *platform.Client) (revision.Head, *rules.Set, error) {
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

// revisionComment matches the comment that names the revision a rules file is
// based on.
var revisionComment = regexp.MustCompile(`(?m)^# revision: (\d+)$`)

// parseBaseRevision returns the revision that the text is based on according to its
// revision comment, and whether it has a valid one.
func parseBaseRevision(text string) (int64, bool) {
	m := revisionComment.FindStringSubmatch(text)
	if m == nil {
		return 0, false
	}
	n, err := strconv.ParseInt(m[1], 10, 64)
	return n, err == nil
}

// withRevisionComment returns the text with its revision comment set to number.
func withRevisionComment(text string, number int64) string {
	line := fmt.Sprintf("# revision: %d", number)
	if revisionComment.MatchString(text) {
		return revisionComment.ReplaceAllString(text, line)
	}
	return line + "\n" + strings.TrimPrefix(text, "\n")
}
