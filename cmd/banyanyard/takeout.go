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
	instance string
	by       string
	undo     bool
}

func newTakeOut() *cobra.Command {
	var f takeOutFlags
	c := &cobra.Command{
		Use:   "take-out FAILURE-DOMAIN",
		Short: "Take a failure domain out while the platform is down",
		Long: `Tell one instance to take a failure domain out. The order spreads to all
instances that can be reached, within seconds and without the platform. It ends
with the next configuration that is in force, which should say the same.`,
		Example: "  banyanyard take-out milano-a --instance http://10.0.0.11:8082 --by 'G. Ferri'\n  banyanyard take-out milano-a --instance http://10.0.0.11:8082 --by 'G. Ferri' --undo",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return takeOut(c.Context(), c.OutOrStdout(), args[0], f)
		},
	}
	c.Flags().StringVar(&f.instance, "instance", "http://127.0.0.1:8082", "operators' address of any instance")
	c.Flags().StringVar(&f.by, "by", userName(), "who asks for it")
	c.Flags().BoolVar(&f.undo, "undo", false, "undo an earlier order")
	return c
}

func takeOut(ctx context.Context, out io.Writer, domain string, f takeOutFlags) error {
	body, err := json.Marshal(operator.TakeOut{FailureDomain: domain, By: f.by, Undo: f.undo})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
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
		return fmt.Errorf("the order was not taken: %s", strings.TrimSpace(string(reason)))
	}
	_, err = fmt.Fprintln(out, "the order spreads; apply the same to the rules when the platform is back")
	return err
}
