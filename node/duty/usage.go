package duty

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"banyanyard/core/duty"
	"banyanyard/core/era"
	"banyanyard/core/gossip"
	"banyanyard/core/member"
	"banyanyard/core/usage"
	"banyanyard/io/jsonlog"

	"github.com/cespare/xxhash/v2"
)

const (
	// DutyUsage is the duty of reporting usage. The body of its calls is a usage.Window.
	DutyUsage = "usage"

	// minReportInterval is the time between two reports of an instance to others. What it has
	// counted since the last one is lost with it. In large deployments it is longer, up to
	// maxReportInterval, so that a collector gets about reportRate reports a second.
	minReportInterval = time.Second
	maxReportInterval = 4 * time.Second
	reportRate        = 100
	// collectors is the number of instances that are reported to besides the holder: the
	// first ones in the ranking, of which one succeeds it.
	collectors = 2
	// usageSlots is the number of rows of the newest reports. They outlast the time in which
	// a successor may still send a report.
	usageSlots = 4
	// usageRow begins the keys of these rows.
	usageRow = "usage-"
	// reportPrefix begins the keys of reports between instances. Those of others begin with
	// the name of a service.
	reportPrefix = "/usage/"
	// keepRetry is the time from a call to the store that failed to the next one.
	keepRetry = 300 * time.Millisecond
)

// Peers sends reports to other instances.
type Peers interface {
	Report(ctx context.Context, address string, e gossip.Entry) (gossip.Entry, error)
}

// A Tenure is what instances tell each other of the tenure: a Runner.
type Tenure interface {
	Row() *duty.Row // nil if not known
	Hear(ctx context.Context, start string, row duty.Row)
}

// Usage counts what begins to run at upstreams, adds it up over all instances, and is the
// task that reports it to the platform. Create it with NewUsage. It is safe for concurrent
// use.
//
// Invariant: a report is sent only as the store has it; what the store has of a window is
// never changed.
type Usage struct {
	Spans  usage.Spans
	Self   member.Identity
	Store  Store
	Peers  Peers
	Clock  func() time.Duration // as Runner.Clock, but not nil
	Tenure Tenure
	Log    *jsonlog.Logger

	mu        sync.Mutex
	counter   usage.Counter           // guarded by mu
	ledger    usage.Ledger            // guarded by mu
	clock     usage.Clock             // guarded by mu
	members   []member.Status         // of live instances, in the ranking; guarded by mu
	confirmed map[string]confirmation // by address; guarded by mu
	done      map[int64]bool          // windows that are reported or over; guarded by mu
	kept      map[int64]usage.Window  // windows as the store has them, not done; guarded by mu
	slots     map[int64]era.Version   // versions of rows, by slot; used by keep only
	era       uint64                  // newest known era of the store; guarded by mu
	eraSince  time.Time               // when era was first seen; guarded by mu
	keeping   bool                    // keep is running; guarded by mu
	work      context.Context         // ends with Run; guarded by mu
}

// A confirmation is what an instance has confirmed of this one's reports.
type confirmation struct {
	start  string
	totals map[int64]int
}

// Count records that a request of an organisation has begun to run.
func (u *Usage) Count(organisation string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counter.Record(u.Spans, u.Spans.Number(u.now()), organisation)
}

// now returns true time. The caller holds mu.
func (u *Usage) now() time.Time {
	now := u.Clock()
	u.clock.Observe(now, u.Self.ID, time.Now())
	return u.clock.Now(now)
}

// rankOf orders instances as holders and as collectors.
func rankOf(instance string) uint64 { return xxhash.Sum64String("duty\x00" + instance) }

// Live returns the live instances among all, in the ranking.
func Live(all []member.Status) []member.Status {
	live := slices.DeleteFunc(slices.Clone(all), func(m member.Status) bool { return m.State > member.Leaving })
	slices.SortFunc(live, func(a, b member.Status) int {
		return cmp.Or(cmp.Compare(rankOf(b.Instance), rankOf(a.Instance)), cmp.Compare(a.ID, b.ID))
	})
	return live
}

// SetMembers takes the known instances, this one included.
func (u *Usage) SetMembers(all []member.Status) {
	live := Live(all)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.members = live
	maps.DeleteFunc(u.confirmed, func(address string, _ confirmation) bool {
		return !slices.ContainsFunc(all, func(m member.Status) bool { return m.Address == address })
	})
}

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

// observeEra records an era of the store. The caller holds mu.
func (u *Usage) observeEra(now time.Time, e uint64) {
	if e > u.era {
		u.era, u.eraSince = e, now
	}
}

// mayBeLost reports whether the store may have lost the content of a window's report, by a
// row of it, so that no other may be reported.
func (u *Usage) mayBeLost(number int64, row Row) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.observeEra(u.now(), row.Version.Era())
	return u.era > 0 && u.Spans.End(number).Before(u.eraSince)
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

// Next implements duty.Task. It returns the windows that the store has and the platform has
// not accepted, and lets the store keep the next ones.
func (u *Usage) Next(time.Time) []duty.Call {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.now()
	u.ledger.Learn(u.report(now, nil))
	for number := range u.done {
		if now.Sub(u.Spans.End(number)) > 2*u.Spans.Late {
			delete(u.done, number)
		}
	}
	var calls []duty.Call
	for _, number := range slices.Sorted(maps.Keys(u.kept)) {
		if now.Sub(u.Spans.End(number)) >= u.Spans.Late {
			u.Log.Line("usage-missed").Int("window", number).Millis("late-ms", now.Sub(u.Spans.End(number))).End()
			u.finish(number)
			continue
		}
		calls = append(calls, duty.Call{Duty: DutyUsage, Subject: "windows", Body: u.kept[number]})
	}
	isDone := func(number int64) bool { _, kept := u.kept[number]; return kept || u.done[number] }
	due := u.ledger.Due(u.Spans, now, u.starts(), isDone)
	if len(due) > 0 && !u.keeping && u.work != nil {
		u.keeping = true
		go u.keep(u.work, usage.Window{Number: due[0], Counts: u.ledger.Sum(due[0])}, now)
	}
	return calls
}

// starts returns the starts of live instances. The caller holds mu.
func (u *Usage) starts() []string {
	starts := make([]string, len(u.members))
	for i, m := range u.members {
		starts[i] = m.ID
	}
	return starts
}

// finish records that a window is reported or over. The caller holds mu.
func (u *Usage) finish(number int64) {
	if u.done == nil {
		u.done = map[int64]bool{}
	}
	u.done[number] = true
	delete(u.kept, number)
}

// Done implements duty.Task.
func (u *Usage) Done(_ time.Time, c duty.Call, err error) {
	w, ok := c.Body.(usage.Window)
	if !ok || err != nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.Log.Line("usage-reported").Int("window", w.Number).Int("requests", int64(w.Counts.Total())).Int("organisations", int64(len(w.Counts))).
		Millis("after-end-ms", u.now().Sub(u.Spans.End(w.Number))).End()
	u.finish(w.Number)
}

// keep lets the store keep the content of a window's report, or learns what it has kept.
func (u *Usage) keep(ctx context.Context, w usage.Window, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	kept, err := u.keepInStore(ctx, w)
	if err != nil {
		// Pace the attempts, also when the store refuses at once.
		_ = sleep(ctx, keepRetry)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.keeping = false
	u.Log.Line("usage-kept").Int("window", w.Number).Int("requests", int64(w.Counts.Total())).Int("kept-window", kept.Number).Int("kept-requests", int64(kept.Counts.Total())).
		Int("live", int64(len(u.members))).Int("behind", int64(u.ledger.Behind(u.starts(), u.Spans.End(w.Number)))).
		Millis("after-end-ms", now.Sub(u.Spans.End(w.Number))).Err(err).End()
	switch {
	case err != nil:
	case kept.Number == w.Number:
		if u.kept == nil {
			u.kept = map[int64]usage.Window{}
		}
		u.kept[w.Number] = kept
	default:
		u.finish(w.Number) // the row has a newer window, or the store may have lost this one
	}
}

// keepInStore returns what the row of a window's slot has: the window as it was first
// written, or another one if it must not be written any more.
func (u *Usage) keepInStore(ctx context.Context, w usage.Window) (usage.Window, error) {
	slot := w.Number % usageSlots
	key := usageRow + strconv.FormatInt(slot, 10)
	version, known := u.slots[slot]
	if u.slots == nil {
		u.slots = map[int64]era.Version{}
	}
	if !known {
		row, err := u.Store.Read(ctx, key)
		if err != nil {
			return usage.Window{}, err
		}
		var stored usage.Window
		if row.Version.Number() > 0 {
			if err := json.Unmarshal(row.Value, &stored); err != nil {
				u.Log.Line("row-rejected").Str("key", key).Err(err).End()
			}
		}
		version = row.Version
		if stored.Number >= w.Number || u.mayBeLost(w.Number, row) {
			u.slots[slot] = version
			return stored, nil
		}
	}
	value, err := json.Marshal(w)
	if err != nil {
		return usage.Window{}, err
	}
	written, err := u.Store.Write(ctx, key, version, value)
	if err != nil {
		delete(u.slots, slot) // the row may have been written: read it
		return usage.Window{}, err
	}
	u.slots[slot] = written
	return w, nil
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
