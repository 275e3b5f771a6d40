package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"
)

type loadFlags struct {
	targets  []string
	keys     []string
	models   []string
	rate     float64
	duration time.Duration
	prompt   int
	tokens   int
	seed     uint64
	jsonOut  string
	report   string
}

func newLoad() *cobra.Command {
	var f loadFlags
	c := &cobra.Command{
		Use:   "load",
		Short: "Load a running deployment and report latencies",
		Long: `Send streamed completions at a fixed rate, whether or not earlier ones have been
answered (open loop), and report the time to the first token, the time between
tokens and the whole time for each organisation and model or class.`,
		Example: `  banyanyard load --target http://127.0.0.1:8080 --key demo-key-nurses --model family-question --rate 20 --duration 10s
  banyanyard load --target http://10.0.0.11:8080 --target http://10.0.0.12:8080 --key KEY --model quercia --json run.json --report run.png`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return runLoad(c.Context(), c.OutOrStdout(), f) },
	}
	c.Flags().StringArrayVar(&f.targets, "target", []string{"http://127.0.0.1:8080"}, "callers' address of an instance; repeat it for several")
	c.Flags().StringArrayVar(&f.keys, "key", nil, "bearer key of an organisation, or NAME=KEY to name it in the report; repeat it for several (required)")
	c.Flags().StringArrayVar(&f.models, "model", nil, "model, version or class to ask for; repeat it for several (required)")
	c.Flags().Float64Var(&f.rate, "rate", 10, "requests a second")
	c.Flags().DurationVar(&f.duration, "duration", 10*time.Second, "how long requests are sent")
	c.Flags().IntVar(&f.prompt, "prompt-bytes", 400, "size of a prompt")
	c.Flags().IntVar(&f.tokens, "max-tokens", 256, "most tokens of an answer")
	c.Flags().Uint64Var(&f.seed, "seed", 1, "seed of the arrivals")
	c.Flags().StringVar(&f.jsonOut, "json", "", "file for the report as JSON")
	c.Flags().StringVar(&f.report, "report", "", "file for a plot of the latencies (.png or .svg)")
	_ = c.MarkFlagRequired("key")
	_ = c.MarkFlagRequired("model")
	return c
}

func runLoad(ctx context.Context, out io.Writer, f loadFlags) error {
	if f.rate <= 0 || f.duration <= 0 {
		return &usageError{cause: fmt.Errorf("--rate and --duration must be positive")}
	}
	run := newLoadRun(f)
	run.send(ctx)
	report := run.report()
	if err := report.print(out); err != nil {
		return err
	}
	if f.jsonOut != "" {
		if err := writeJSON(f.jsonOut, report); err != nil {
			return err
		}
	}
	if f.report != "" {
		if err := plotReport(f.report, report); err != nil {
			return err
		}
	}
	if report.Failed() > 0 {
		return fmt.Errorf("%d of %d requests were not answered whole; the report tells why", report.Failed(), report.Sent())
	}
	return nil
}

func writeJSON(file string, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(data, '\n'), 0o644)
}
