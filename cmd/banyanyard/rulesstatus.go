package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"banyanyard/io/operator"

	"github.com/spf13/cobra"
)

// instanceTimeout bounds a request to an instance's operators' address.
const instanceTimeout = 3 * time.Second

func newRulesStatusCommand() *cobra.Command {
	var instance string
	c := &cobra.Command{
		Use:   "status",
		Short: "Show which instances have which revision in force",
		Long: `Ask one instance what it knows of the deployment: the state of each instance, the
revision that it has in force and since when it is in that state; the upstreams;
the roll-outs; and how often the cheap models of cascades suffice.`,
		Example: "  banyanyard rules status --instance http://10.0.0.11:8082",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := fetchStatus(c.Context(), instance)
			if err != nil {
				return err
			}
			return printStatus(c.OutOrStdout(), s)
		},
	}
	c.Flags().StringVar(&instance, "instance", "http://127.0.0.1:8082", "operators' address of any instance")
	return c
}

// fetchStatus asks the instance at the operators' address base for its status.
func fetchStatus(ctx context.Context, base string) (*operator.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, instanceTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(base, "/")+"/status", nil)
	if err != nil {
		return nil, &usageError{cause: err}
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("the instance cannot be reached (%w): name another with --instance", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.New("the address is not an operators' address: use the listen.operators address of an instance")
	}
	var s operator.Status
	return &s, json.NewDecoder(response.Body).Decode(&s)
}

func printStatus(out io.Writer, s *operator.Status) error {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "INSTANCE\tFAILURE DOMAIN\tSTATE\tREVISION\tSINCE")
	for _, m := range s.Members {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\n", m.ID, m.FailureDomain, m.State, m.Revision, formatTime(m.Since))
	}
	_, _ = fmt.Fprintln(w, "\nUPSTREAM\tSERVICE\tWARM\tHELD\tLIMIT\tSHARE")
	for _, u := range s.Upstreams {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d%%\t%d\t%d\t%d\n", u.ID, upstreamState(u), u.WarmPercent, u.Inflight, u.Limit, u.Share)
	}
	printRolloutsAndClasses(w, s)
	return w.Flush()
}

// printRolloutsAndClasses prints the roll-outs and the classes' ratings, if there
// are any.
func printRolloutsAndClasses(w io.Writer, s *operator.Status) {
	if len(s.Rollouts) > 0 {
		_, _ = fmt.Fprintln(w, "\nROLLOUT\tSHARE\tREQUESTS\tERRORS\tSTATE")
	}
	for _, r := range s.Rollouts {
		_, _ = fmt.Fprintf(w, "%s\t%d%%\t%d\t%d\t%s\n", r.Rollout, r.SharePercent, r.Requests, r.Errors, rolloutState(r))
	}
	if len(s.Classes) > 0 {
		_, _ = fmt.Fprintln(w, "\nORGANISATION\tCLASS\tRATINGS\tCHEAP SUFFICED\tNEWEST")
	}
	for _, c := range s.Classes {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%.2f\t%s\n", c.Organisation, c.Class, c.Ratings, c.Sufficed, formatTime(c.NewestRating))
	}
}

func rolloutState(r operator.RolloutStatus) string {
	switch {
	case r.StopReason != "":
		return "stopped: " + r.StopReason
	case r.Done:
		return "done"
	}
	return "running"
}

// formatTime returns t in RFC 3339, or "-" if it is zero.
func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.Format(time.RFC3339)
}

func upstreamState(u operator.UpstreamStatus) string {
	switch {
	case !u.InService:
		return "out"
	case !u.Reachable:
		return "unreachable"
	}
	return "in"
}
