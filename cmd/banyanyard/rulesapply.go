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

// applyTimeout bounds the attempts to learn whether rules were accepted.
const applyTimeout = 30 * time.Second

type applyFlags struct {
	platform string
	from     int64
	by       string
}

func newRulesApply() *cobra.Command {
	var f applyFlags
	c := &cobra.Command{
		Use:   "apply FILE",
		Short: "Put a rules file in force",
		Long: `Put a rules file in force, if the rules have not changed since the revision that
the file was made from. That revision is the comment "# revision: N" which rules
show writes, or --from. When another operator was first, the lines that came
between are printed and nothing is changed.`,
		Example: "  banyanyard rules apply rules.toml --platform http://10.0.0.2:7000",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return applyRules(c.Context(), c.OutOrStdout(), args[0], f)
		},
	}
	addPlatformFlag(c, &f.platform)
	c.Flags().Int64Var(&f.from, "from", -1, "revision that the file was made from; overrides the file's comment")
	c.Flags().StringVar(&f.by, "by", userName(), "who applies the rules")
	return c
}

func userName() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

func applyRules(ctx context.Context, out io.Writer, file string, f applyFlags) error {
	text, set, err := readRulesFile(file)
	if err != nil {
		return err
	}
	from, ok := madeFrom(text)
	if f.from >= 0 {
		from, ok = f.from, true
	}
	if !ok {
		return &usageError{cause: fmt.Errorf("%s does not say which revision it was made from: start from rules show, or use --from (0 for the first rules)", file)}
	}
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	store := &platform.Client{BaseURL: f.platform}
	head, err := platform.ApplyRules(ctx, store, from, withRevision(text, from+1), f.by)
	var stale *revision.StaleError
	if errors.As(err, &stale) {
		return showBetween(ctx, out, store, set, stale)
	}
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "revision %d is accepted; see rules status for the instances that have it in force\n", head.Number)
	return err
}

// showBetween prints what differs between the file and the rules that another
// operator has put in force.
func showBetween(ctx context.Context, out io.Writer, store *platform.Client, set *rules.Set, stale *revision.StaleError) error {
	head, current, err := inForce(ctx, store)
	if err != nil {
		return errors.Join(stale, err)
	}
	if _, err := fmt.Fprintf(out, "revision %d by %s is in force since %s; against it the file would change:\n", head.Number, head.AppliedBy, head.AppliedAt.Format(time.RFC3339)); err != nil {
		return err
	}
	if err := printDiff(out, rules.Diff(current, set)); err != nil {
		return err
	}
	return stale
}
