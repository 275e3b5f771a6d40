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

	"banyanyard/io/operator"

	"github.com/spf13/cobra"
)

// maxExplanationBytes bounds the answer of an instance.
const maxExplanationBytes = 8 << 20

func newExplainCommand() *cobra.Command {
	var q operator.ExplainQuery
	var instance string
	var asJSON bool
	c := &cobra.Command{
		Use:   "explain --host HOST --path PATH",
		Short: "Explain where a request would go now, without sending it",
		Long: `Ask an instance on the platform where a request would go now and why: the model and
version that would be asked, what keeps it from each upstream and for how long, how
probable the others are, or why it would be held or refused. Nothing is sent, and
nothing changes at the instance.`,
		Example: "  banyanyard explain --instance http://10.9.0.1:8220 --host api.example --path /draft/1 \\\n" +
			"    --organisation nurses --session s1 --parts intake:3000,case-17:400",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			x, err := fetchExplanation(c.Context(), instance, &q)
			if err != nil {
				return err
			}
			if asJSON {
				return json.NewEncoder(c.OutOrStdout()).Encode(x)
			}
			return printExplanation(c.OutOrStdout(), x)
		},
	}
	f := c.Flags()
	f.StringVar(&instance, "instance", "http://127.0.0.1:8220", "readiness address of any instance")
	f.StringVar(&q.Host, "host", "", "host, as callers send it")
	f.StringVar(&q.Path, "path", "", "path, as callers send it")
	f.StringVar(&q.Organisation, "organisation", "", "name of the organisation; not needed on public routes")
	f.StringVar(&q.Request, "request", "", "identifier of the request, which decides between services and versions")
	f.StringVar(&q.Session, "session", "", "session of the request")
	f.StringVar(&q.Model, "model", "", "model that the caller names")
	f.IntVar(&q.PromptTokens, "prompt-tokens", 0, "size of the prompt; by default that of its parts")
	f.StringVar(&q.Parts, "parts", "", "parts of the prompt, ID:TOKENS separated by commas; the last one is the request's own")
	f.IntVar(&q.OutputTokens, "output-tokens", 0, "the caller's estimate of the answer")
	f.BoolVar(&asJSON, "json", false, "print JSON")
	for _, name := range []string{"host", "path"} {
		if err := c.MarkFlagRequired(name); err != nil {
			panic(err) // the flag has just been defined
		}
	}
	return c
}

// fetchExplanation asks the instance at the address base for an explanation.
func fetchExplanation(ctx context.Context, base string, q *operator.ExplainQuery) (*operator.Explanation, error) {
	ctx, cancel := context.WithTimeout(ctx, instanceTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(base, "/")+"/explain?"+q.Values().Encode(), nil)
	if err != nil {
		return nil, &usageError{cause: err}
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("the instance cannot be reached (%w): name another with --instance", err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxExplanationBytes))
	switch {
	case err != nil:
		return nil, fmt.Errorf("the instance did not answer in full (%w): ask again", err)
	case response.StatusCode == http.StatusNotFound:
		return nil, errors.New("the address explains nothing: use the readiness address of an instance on the platform")
	case response.StatusCode != http.StatusOK:
		return nil, errors.New(strings.TrimSpace(string(body)))
	}
	var x operator.Explanation
	return &x, json.Unmarshal(body, &x)
}

func printExplanation(out io.Writer, x *operator.Explanation) error {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	line := func(name, text string) {
		if text != "" {
			_, _ = fmt.Fprintf(w, "%s\t%s\n", name, text)
		}
	}
	line("instance", fmt.Sprintf("%s, configuration %d", x.Instance, x.Table))
	line("route", fmt.Sprintf("%s (%s), priority %d", x.Route, x.Kind, x.Priority))
	line("organisation", x.Organisation)
	line("service", x.Service)
	line("split", strings.Join(x.Services, ", "))
	line("model", strings.TrimPrefix(x.Model+": "+x.ModelWhy, ": "))
	line("version", x.Version)
	line("outcome", outcomeText(x))
	_, _ = fmt.Fprintln(w, "because\t"+x.Why)
	if err := w.Flush(); err != nil {
		return err
	}
	_, _ = fmt.Fprintln(w, "\nUPSTREAM\tDOMAIN\tVERSION\tCHANCE\tEXCLUDED BY\tFOR\tLOAD\tOWN\tAGE")
	for i := range x.Candidates {
		c := &x.Candidates[i]
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%.0f%%%s\t%s\t%s\t%.1f\t%d\t%s\n",
			c.Upstream, c.FailureDomain, c.Version, 100*c.Chance, marks(c), dash(c.Excluded), exclusionTime(c),
			c.Load, c.Running, ageText(x, c))
	}
	return w.Flush()
}

func outcomeText(x *operator.Explanation) string {
	switch x.Outcome {
	case "held":
		return fmt.Sprintf("held for at most %.0f ms", x.HeldMs)
	case "refused":
		return fmt.Sprintf("refused, Retry-After about %.1f s", x.RetryAfterMs/1000)
	}
	return "would go to " + x.Upstream
}

// marks returns what is to be noted of an upstream besides its chance.
func marks(c *operator.ExplainCandidate) string {
	if c.Cold {
		return ", cold"
	}
	return ""
}

func dash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func exclusionTime(c *operator.ExplainCandidate) string {
	switch {
	case c.ForMs < 0:
		return "no end"
	case c.Excluded == "" || c.ForMs == 0:
		return "-"
	}
	return fmt.Sprintf("%.0f ms", c.ForMs)
}

func ageText(x *operator.Explanation, c *operator.ExplainCandidate) string {
	if !x.NewsKnown {
		return "own"
	}
	return fmt.Sprintf("%.0f ms", c.AgeMs)
}
