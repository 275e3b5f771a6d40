package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/user"
	"time"

	"banyanyard/core/revision"
	"banyanyard/core/rules"
	"banyanyard/io/platform"

	"github.com/spf13/cobra"
)

// applyTimeout bounds all attempts to apply rules and to learn whether they were
// accepted.
const applyTimeout = 30 * time.Second

type applyFlags struct {
	platformURL  string
	baseRevision int64
	appliedBy    string
}

func newRulesApplyCommand() *cobra.Command {
	var f applyFlags
	c := &cobra.Command{
		Use:   "apply FILE",
		Short: "Put a rules file in force",
		Long: `Put a rules file in force, provided that the rules have not changed since the
revision that the file is based on. That revision is given by --from or by the
comment "# revision: N", which "rules show" writes. If another operator has
applied rules since, the differences between the file and the rules in force are
printed and nothing is changed.`,
		Example: "  banyanyard rules apply rules.toml --platform http://10.0.0.2:7000",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return applyRules(c.Context(), c.OutOrStdout(), args[0], f)
		},
	}
	addPlatformFlag(c, &f.platformURL)
	c.Flags().Int64Var(&f.baseRevision, "from", -1, "revision that the file is based on; overrides the file's comment")
	c.Flags().StringVar(&f.appliedBy, "by", userName(), "name to record as the one who applied the rules")
	return c
}

// userName returns the name of the system user who runs the command.
func userName() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

// applyRules puts the rules file in force. If the file is not based on the
// revision in force, it prints the differences and returns a *revision.StaleError.
func applyRules(ctx context.Context, out io.Writer, file string, f applyFlags) error {
	text, set, err := readRulesFile(file)
	if err != nil {
		return err
	}
	base, ok := parseBaseRevision(text)
	if f.baseRevision >= 0 {
		base, ok = f.baseRevision, true
	}
	if !ok {
		return &usageError{cause: fmt.Errorf("%s does not name the revision that it is based on: start from the output of \"rules show\", or set --from (0 for the first rules)", file)}
	}
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	store := &platform.Client{BaseURL: f.platformURL}
	head, err := platform.ApplyRules(ctx, store, base, withRevisionComment(text, base+1), f.appliedBy)
	var stale *revision.StaleError
	if errors.As(err, &stale) {
		return printConflict(ctx, out, store, set, stale)
	}
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "revision %d is accepted; see rules status for the instances that have it in force\n", head.Number)
	return err
}

// printConflict prints the differences between the rules that another operator has
// put in force and the file's rules, set. It returns stale, or an error if reading
// or printing fails.
func printConflict(ctx context.Context, out io.Writer, store *platform.Client, set *rules.Set, stale *revision.StaleError) error {
	head, current, err := readRulesInForce(ctx, store)
	if err != nil {
		return errors.Join(stale, err)
	}
	if _, err := fmt.Fprintf(out, "revision %d by %s is in force since %s; the file would change it as follows:\n", head.Number, head.AppliedBy, head.AppliedAt.Format(time.RFC3339)); err != nil {
		return err
	}
	if err := printDiff(out, rules.Diff(current, set)); err != nil {
		return err
	}
	return stale
}
