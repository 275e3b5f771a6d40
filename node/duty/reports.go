package duty

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"banyanyard/core/gossip"
	"banyanyard/core/usage"
)

const (
	// minReportInterval is the time between two reports of an instance to others. What it has
	// counted since the last one is lost with it. In large deployments it is longer, up to
	// maxReportInterval, so that a collector gets about reportRate reports a second.
	minReportInterval = time.Second
	maxReportInterval = 4 * time.Second
	reportRate        = 100
	// collectors is the number of instances that are reported to besides the holder: the
	// first ones in the ranking, of which one succeeds it.
	collectors = 2
	// reportPrefix begins the keys of reports between instances. Those of others begin with
	// the name of a service.
	reportPrefix = "/usage/"
)

// Run reports to other instances until ctx is done.
func (u *Usage) Run(ctx context.Context) {
	u.mu.Lock()
	u.work = ctx
	u.mu.Unlock()
	for ctx.Err() == nil {
		began := time.Now()
		u.ReportToOthers(ctx)
		// The context's end also ends the loop.
		_ = sleep(ctx, time.Until(began.Add(u.reportInterval())))
	}
}

func (u *Usage) reportInterval() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	interval := time.Duration(len(u.members)) * time.Second / reportRate
	return min(max(interval, minReportInterval), maxReportInterval)
}

// ReportToOthers reports to the instances that add up, and returns once they have answered.
func (u *Usage) ReportToOthers(ctx context.Context) {
	u.mu.Lock()
	now := u.now()
	u.ledger.Learn(u.report(now, nil))
	u.ledger.Forget(u.Spans, now)
	holder := ""
	if row := u.Tenure.Row(); row != nil {
		holder = row.Record.Holder
		u.observeEra(now, row.Version.Era())
	}
	addresses := u.collectors(holder)
	u.mu.Unlock()
	var sending sync.WaitGroup
	for _, address := range addresses {
		sending.Go(func() { u.sendReport(ctx, address) })
	}
	sending.Wait()
}

// collectors returns the addresses of the instances to report to. The caller holds mu.
func (u *Usage) collectors(holder string) []string {
	var addresses []string
	first := 0
	for _, m := range u.members {
		if m.Instance == u.Self.Instance {
			continue
		}
		if first < collectors || m.Instance == holder {
			addresses = append(addresses, m.Address)
		}
		if m.Instance != holder {
			first++
		}
	}
	return addresses
}

// report returns a report without what has been confirmed. The caller holds mu.
func (u *Usage) report(now time.Time, confirmed map[int64]int) usage.Report {
	return usage.Report{
		Instance: u.Self.Instance, Start: u.Self.ID, WallMs: time.Now().UnixMilli(), AsOfMs: now.UnixMilli(),
		Windows: u.counter.Changed(confirmed),
	}
}

func (u *Usage) sendReport(ctx context.Context, address string) {
	u.mu.Lock()
	known := u.confirmed[address]
	sent := u.Clock()
	totals := u.counter.Totals()
	data, err := json.Marshal(u.report(u.now(), known.totals))
	u.mu.Unlock()
	if err != nil {
		u.Log.Line("report-not-sent").Str("address", address).Err(err).End()
		return
	}
	reply, err := u.Peers.Report(ctx, address, gossip.Entry{Key: reportPrefix + u.Self.Instance, Data: data})
	if err != nil {
		return // the next report includes this one
	}
	var answer usage.Answer
	if err := json.Unmarshal(reply.Data, &answer); err != nil {
		u.Log.Line("news-rejected").Str("key", reply.Key).Err(err).End()
		return
	}
	if answer.Tenure != nil {
		u.Tenure.Hear(ctx, answer.Start, *answer.Tenure)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.clock.Learn(sent, u.Clock(), address, answer)
	if u.confirmed == nil {
		u.confirmed = map[string]confirmation{}
	}
	if known.start != answer.Start && known.start != "" {
		totals = nil // a new start was not told of what the one before had confirmed
	}
	u.confirmed[address] = confirmation{start: answer.Start, totals: totals}
}

// Handles reports whether an entry is a report of usage.
func (u *Usage) Handles(e gossip.Entry) bool { return strings.HasPrefix(e.Key, reportPrefix) }

// HandleReport adds the report of another instance.
func (u *Usage) HandleReport(e gossip.Entry) gossip.Entry {
	var report usage.Report
	if err := json.Unmarshal(e.Data, &report); err != nil {
		u.Log.Line("news-rejected").Str("key", e.Key).Err(err).End()
		return gossip.Entry{}
	}
	u.mu.Lock()
	now := u.Clock()
	u.ledger.Learn(report)
	u.clock.Observe(now, report.Start, time.UnixMilli(report.WallMs))
	u.clock.Observe(now, u.Self.ID, time.Now())
	at, sources := u.clock.Median(now)
	u.mu.Unlock()
	data, err := json.Marshal(usage.Answer{Start: u.Self.ID, TrueMs: at.UnixMilli(), Sources: sources, Tenure: u.Tenure.Row()})
	if err != nil {
		u.Log.Line("news-rejected").Str("key", e.Key).Err(err).End()
		return gossip.Entry{}
	}
	return gossip.Entry{Key: e.Key, Data: data}
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
