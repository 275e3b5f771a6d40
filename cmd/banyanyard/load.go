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
	targets     []string
	keys        []string
	models      []string
	rate        float64
	duration    time.Duration
	promptBytes int
	maxTokens   int
	seed        uint64
	jsonFile    string
	plotFile    string
}

func newLoadCommand() *cobra.Command {
	var f loadFlags
	c := &cobra.Command{
		Use:   "load",
		Short: "Load-test a running deployment and report latencies",
		Long: `Send streaming completion requests at a fixed rate, whether or not earlier ones
have been answered (open loop). Report the time to the first token, the time
between tokens and the total time for each organisation and model or class.`,
		Example: `  banyanyard load --target http://127.0.0.1:8080 --key demo-key-nurses --model family-question --rate 20 --duration 10s
  banyanyard load --target http://10.0.0.11:8080 --target http://10.0.0.12:8080 --key KEY --model quercia --json run.json --report run.png`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return runLoad(c.Context(), c.OutOrStdout(), f) },
	}
	c.Flags().StringArrayVar(&f.targets, "target", []string{"http://127.0.0.1:8080"}, "URL of an instance's callers' address; repeat the flag for several instances")
	c.Flags().StringArrayVar(&f.keys, "key", nil, "bearer key of an organisation, or NAME=KEY to name it in the report; repeat the flag for several (required)")
	c.Flags().StringArrayVar(&f.models, "model", nil, "model, version or class to request; repeat the flag for several (required)")
	c.Flags().Float64Var(&f.rate, "rate", 10, "requests per second")
	c.Flags().DurationVar(&f.duration, "duration", 10*time.Second, "how long to send requests")
	c.Flags().IntVar(&f.promptBytes, "prompt-bytes", 400, "size of each prompt, in bytes")
	c.Flags().IntVar(&f.maxTokens, "max-tokens", 256, "maximum number of tokens in an answer")
	c.Flags().Uint64Var(&f.seed, "seed", 1, "seed of the random choice of a key and a model for each request")
	c.Flags().StringVar(&f.jsonFile, "json", "", "file to write the report to, as JSON")
	c.Flags().StringVar(&f.plotFile, "report", "", "file to write a plot of the times to the first token to (.png or .svg)")
	_ = c.MarkFlagRequired("key")
	_ = c.MarkFlagRequired("model")
	return c
}

func runLoad(ctx context.Context, out io.Writer, f loadFlags) error {
	if f.rate <= 0 || f.duration <= 0 {
		return &usageError{cause: fmt.Errorf("--rate and --duration must be positive")}
	}
	run := newLoadRun(f)
	run.sendRequests(ctx)
	report := run.report()
	if err := report.print(out); err != nil {
		return err
	}
	if f.jsonFile != "" {
		if err := writeJSON(f.jsonFile, report); err != nil {
			return err
		}
	}
	if f.plotFile != "" {
		if err := plotReport(f.plotFile, report); err != nil {
			return err
		}
	}
	if report.Failed() > 0 {
		return fmt.Errorf("%d of %d requests were not answered in full; the report lists the failures", report.Failed(), report.Sent())
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
