package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// A loadReport is the outcome of a run.
type loadReport struct {
	Rate     float64       `json:"rate-per-second"`
	Seconds  float64       `json:"seconds"`
	Requests []modelReport `json:"requests"`
}

// A modelReport is the outcome for one model or class.
type modelReport struct {
	Key        string         `json:"organisation"`
	Model      string         `json:"model"`
	Sent       int            `json:"sent"`
	Whole      int            `json:"answered-whole"`
	Failures   map[string]int `json:"failures,omitempty"`
	FirstToken quantiles      `json:"first-token-ms"`
	Gap        quantiles      `json:"between-tokens-ms"`
	Total      quantiles      `json:"whole-ms"`
}

// Quantiles of a histogram, in milliseconds.
type quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	// Curve holds the milliseconds at 1, 2 … 99 percent.
	Curve []float64 `json:"curve"`
}

func (r *loadRun) report() loadReport {
	report := loadReport{Rate: r.flags.rate, Seconds: r.flags.duration.Seconds()}
	for _, s := range r.flags.streams() {
		res := r.results[s]
		report.Requests = append(report.Requests, modelReport{
			Key: s.organisation, Model: s.model, Sent: res.sent, Whole: res.whole, Failures: res.failures,
			FirstToken: quantilesOf(res.firstToken), Gap: quantilesOf(res.gap), Total: quantilesOf(res.total),
		})
	}
	return report
}

func quantilesOf(h *hdrhistogram.Histogram) quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	q := quantiles{P50: at(50), P95: at(95), P99: at(99)}
	for percent := 1.0; percent < 100; percent++ {
		q.Curve = append(q.Curve, at(percent))
	}
	return q
}

// Sent returns the number of requests.
func (r *loadReport) Sent() int {
	n := 0
	for i := range r.Requests {
		n += r.Requests[i].Sent
	}
	return n
}

// Failed returns the number of requests that were not answered whole.
func (r *loadReport) Failed() int {
	n := r.Sent()
	for i := range r.Requests {
		n -= r.Requests[i].Whole
	}
	return n
}

func (r *loadReport) print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "organisation\tmodel\tsent\twhole\tfirst token p50\tp95\tp99\tbetween p50\tp95\tp99\twhole p50\tp95\tp99\tms")
	for _, m := range r.Requests {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t", m.Key, m.Model, m.Sent, m.Whole)
		for _, q := range [...]quantiles{m.FirstToken, m.Gap, m.Total} {
			_, _ = fmt.Fprintf(w, "%.1f\t%.1f\t%.1f\t", q.P50, q.P95, q.P99)
		}
		_, _ = fmt.Fprintln(w)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, m := range r.Requests {
		for _, kind := range slices.Sorted(maps.Keys(m.Failures)) {
			if _, err := fmt.Fprintf(out, "%s, %s: %d times %s\n", m.Key, m.Model, m.Failures[kind], kind); err != nil {
				return err
			}
		}
	}
	return nil
}

// plotReport draws the time to the first token over the share of requests.
func plotReport(file string, r loadReport) error {
	p := plot.New()
	p.Title.Text = "Time to the first token"
	p.X.Label.Text = "percent of requests"
	p.Y.Label.Text = "ms"
	p.Add(plotter.NewGrid())
	var lines []any
	for _, m := range r.Requests {
		points := make(plotter.XYs, len(m.FirstToken.Curve))
		for i, ms := range m.FirstToken.Curve {
			points[i] = plotter.XY{X: float64(i + 1), Y: ms}
		}
		lines = append(lines, m.Key+", "+m.Model, points)
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return err
	}
	return p.Save(18*vg.Centimeter, 12*vg.Centimeter, file)
}
