package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"banyanyard/io/operator"

	"github.com/spf13/cobra"
)

type takeOutFlags struct {
	instance  string
	orderedBy string
	undo      bool
}

func newTakeOutCommand() *cobra.Command {
	var f takeOutFlags
	c := &cobra.Command{
		Use:   "take-out FAILURE-DOMAIN",
		Short: "Take a failure domain out while the platform is down",
		Long: `Tell one instance to take a failure domain out of service. Within seconds the
order reaches all reachable instances; the platform is not needed. The order ends
when the next configuration comes into force, which should make the same change.`,
		Example: "  banyanyard take-out milano-a --instance http://10.0.0.11:8082 --by 'G. Ferri'\n  banyanyard take-out milano-a --instance http://10.0.0.11:8082 --by 'G. Ferri' --undo",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return sendTakeOut(c.Context(), c.OutOrStdout(), args[0], f)
		},
	}
	c.Flags().StringVar(&f.instance, "instance", "http://127.0.0.1:8082", "operators' address of any instance")
	c.Flags().StringVar(&f.orderedBy, "by", userName(), "name to record as the one who gave the order")
	c.Flags().BoolVar(&f.undo, "undo", false, "undo an earlier order")
	return c
}

// sendTakeOut sends the order to take domain out, or to undo that, to an instance.
func sendTakeOut(ctx context.Context, out io.Writer, domain string, f takeOutFlags) error {
	body, err := json.Marshal(operator.TakeOut{FailureDomain: domain, By: f.orderedBy, Undo: f.undo})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, instanceTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, strings.TrimSuffix(f.instance, "/")+"/take-outs", bytes.NewReader(body))
	if err != nil {
		return &usageError{cause: err}
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("the instance cannot be reached (%w): name another with --instance", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusNoContent {
		reason, _ := io.ReadAll(io.LimitReader(response.Body, 4096))
		return fmt.Errorf("the instance did not accept the order: %s", strings.TrimSpace(string(reason)))
	}
	_, err = fmt.Fprintln(out, "the order is being sent to all instances; make the same change to the rules when the platform is available again")
	return err
}
