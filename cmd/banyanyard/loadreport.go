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

// A loadReport is the outcome of a load run, as printed and written as JSON.
type loadReport struct {
	Rate     float64        `json:"rate-per-second"`
	Seconds  float64        `json:"seconds"`
	Requests []seriesReport `json:"requests"`
}

// A seriesReport is the outcome of one organisation's requests for one model or
// class.
type seriesReport struct {
	Organisation string         `json:"organisation"`
	Model        string         `json:"model"`
	Sent         int            `json:"sent"`
	Completed    int            `json:"answered-whole"`
	Failures     map[string]int `json:"failures,omitempty"`
	FirstToken   quantiles      `json:"first-token-ms"`
	TokenGap     quantiles      `json:"between-tokens-ms"`
	Total        quantiles      `json:"whole-ms"`
}

// quantiles holds quantiles of a histogram, in milliseconds.
type quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	// Curve holds the 1st to 99th percentiles, in order.
	Curve []float64 `json:"curve"`
}

// report summarises the results. It must not be called while requests are in
// flight.
func (r *loadRun) report() loadReport {
	report := loadReport{Rate: r.flags.rate, Seconds: r.flags.duration.Seconds()}
	for _, s := range r.flags.series() {
		res := r.results[s]
		report.Requests = append(report.Requests, seriesReport{
			Organisation: s.organisation, Model: s.model, Sent: res.sent, Completed: res.completed, Failures: res.failures,
			FirstToken: histogramQuantiles(res.firstToken), TokenGap: histogramQuantiles(res.tokenGap), Total: histogramQuantiles(res.total),
		})
	}
	return report
}

// histogramQuantiles converts the microseconds in h to milliseconds.
func histogramQuantiles(h *hdrhistogram.Histogram) quantiles {
	millisAt := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	q := quantiles{P50: millisAt(50), P95: millisAt(95), P99: millisAt(99)}
	for percent := 1.0; percent < 100; percent++ {
		q.Curve = append(q.Curve, millisAt(percent))
	}
	return q
}

// Sent returns the number of requests in the report.
func (r *loadReport) Sent() int {
	n := 0
	for i := range r.Requests {
		n += r.Requests[i].Sent
	}
	return n
}

// Failed returns the number of requests that were not answered in full.
func (r *loadReport) Failed() int {
	n := r.Sent()
	for i := range r.Requests {
		n -= r.Requests[i].Completed
	}
	return n
}

// print writes a table of latencies to out, and below it the failures by kind.
func (r *loadReport) print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "organisation\tmodel\tsent\twhole\tfirst token p50\tp95\tp99\tbetween p50\tp95\tp99\twhole p50\tp95\tp99\tms")
	for _, m := range r.Requests {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t", m.Organisation, m.Model, m.Sent, m.Completed)
		for _, q := range [...]quantiles{m.FirstToken, m.TokenGap, m.Total} {
			_, _ = fmt.Fprintf(w, "%.1f\t%.1f\t%.1f\t", q.P50, q.P95, q.P99)
		}
		_, _ = fmt.Fprintln(w)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, m := range r.Requests {
		for _, kind := range slices.Sorted(maps.Keys(m.Failures)) {
			if _, err := fmt.Fprintf(out, "%s, %s: %d times %s\n", m.Organisation, m.Model, m.Failures[kind], kind); err != nil {
				return err
			}
		}
	}
	return nil
}

// plotReport plots the time to the first token against the percentage of requests.
// The file's extension selects the image format.
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
		lines = append(lines, m.Organisation+", "+m.Model, points)
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return err
	}
	return p.Save(18*vg.Centimeter, 12*vg.Centimeter, file)
}
