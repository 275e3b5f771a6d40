package exchange

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"banyanyard/core/gossip"
	"banyanyard/core/member"
	"banyanyard/core/placement"
	"banyanyard/core/trial"

	"github.com/cespare/xxhash/v2"
)

const (
	// dutyInterval is the time between looks at the trials.
	dutyInterval = 250 * time.Millisecond
	// reportEvery is the number of looks between two reports of evidence.
	reportEvery = 2
	// rankDelay is how much longer each further instance waits before it does
	// what the one before it should have done.
	rankDelay = 600 * time.Millisecond
	// recordTimeout bounds the writing of a record.
	recordTimeout = 800 * time.Millisecond
	// collectors is the number of instances to which the others report.
	collectors = 2
	// stopPrefix begins the keys of stops.
	stopPrefix = "stop/"
)

// A Record is what the store keeps of an order.
type Record struct {
	State    trial.State
	To       string
	Revision uint64 // of the order
	Version  uint64 // of the record; 0 when there is none
}

// Records keeps the state of orders.
type Records interface {
	// Write replaces the record of a service if it still has the version.
	Write(ctx context.Context, service string, r Record) error
}

// A Spreader speaks to the other instances.
type Spreader interface {
	// Publish spreads an entry to all.
	Publish(ctx context.Context, e gossip.Entry, urgent bool)
	// Report tells one of them what this instance has seen, and returns what
	// it knows of all.
	Report(ctx context.Context, address string, e gossip.Entry) (gossip.Entry, error)
}

// A Duty drives the trials of a router together with other instances. All
// instances do the same; conditions on the store's rows keep them apart.
type Duty struct {
	Router   *Router
	Records  Records
	Spreader Spreader
	Instance string

	members []member.Status   // guarded by Router.mu
	records map[string]Record // guarded by Router.mu; by service
	due     map[string]time.Time
}

// Members replaces the instances that may be running.
func (d *Duty) Members(all []member.Status) {
	names := make([]string, 0, len(all))
	for _, m := range all {
		if m.State != member.Gone && !slices.Contains(names, m.Instance) {
			names = append(names, m.Instance)
		}
	}
	r := d.Router
	r.mu.Lock()
	defer r.mu.Unlock()
	d.members = all
	r.fleet.SetInstances(names)
}

// Record takes the record of a service as the store has it.
func (d *Duty) Record(service string, record Record) {
	d.Router.mu.Lock()
	if d.records == nil {
		d.records = map[string]Record{}
	}
	if d.records[service].Version < record.Version {
		d.records[service] = record
	}
	d.Router.mu.Unlock()
	d.Router.Settle(service, record.Revision, record.State, "the store's record")
}

// Settled applies the record of a service to an order that was heard after it.
func (d *Duty) Settled(service string) {
	d.Router.mu.Lock()
	record := d.records[service]
	d.Router.mu.Unlock()
	d.Router.Settle(service, record.Revision, record.State, "the store's record")
}

// News takes an entry of another instance.
func (d *Duty) News(e gossip.Entry) {
	if service, ok := strings.CutPrefix(e.Key, stopPrefix); ok {
		d.Router.Settle(service, e.Version, trial.Stopped, "another instance stopped it")
		return
	}
	if strings.HasPrefix(e.Key, crashPrefix) {
		d.Router.learnCrash(e)
	}
}

// Report takes the report of another instance and returns a summary of all. Its
// key is the service and the instance, its data a trial.Report.
func (d *Duty) Report(e gossip.Entry) gossip.Entry {
	service, instance, _ := strings.Cut(e.Key, "/")
	var report trial.Report
	if err := json.Unmarshal(e.Data, &report); err != nil {
		d.Router.Log.Line("news-rejected").Str("key", e.Key).Err(err).End()
		return gossip.Entry{}
	}
	summary := d.Router.LearnReport(instance, service, report)
	data, err := json.Marshal(summary)
	if err != nil {
		d.Router.Log.Line("summary-not-sent").Str("service", service).Err(err).End()
		return gossip.Entry{}
	}
	return gossip.Entry{Key: e.Key, Data: data}
}

// Run looks at the trials until the context ends.
func (d *Duty) Run(ctx context.Context) {
	d.due = map[string]time.Time{}
	ticker := time.NewTicker(dutyInterval)
	defer ticker.Stop()
	for looks := 0; ; looks++ {
		select {
		case <-ticker.C:
		case <-d.Router.stopped:
		case e := <-d.Router.news:
			d.Spreader.Publish(ctx, e, true)
			continue
		case <-ctx.Done():
			return
		}
		for _, v := range d.look(time.Now()) {
			d.spread(ctx, v, looks%reportEvery == 0)
			d.write(ctx, v)
		}
	}
}

// A view is what a look at a trial has found.
type view struct {
	order  trial.Order
	state  trial.State
	report trial.Report
	record Record
	want   trial.State // that the record should have
	rank   int         // of this instance among those that may write it
	// collectors are the addresses of the other instances to report to.
	collectors []string
}

func (d *Duty) look(now time.Time) []view {
	r := d.Router
	r.mu.Lock()
	defer r.mu.Unlock()
	others := d.running()
	var views []view
	for service, t := range r.trials {
		old := r.fleet.RunningAttempts(service, func(version string) bool { return version != t.Order.To })
		v := view{order: t.Order, report: t.Report(now, old), record: d.records[service]}
		v.state, _ = t.State()
		v.want = v.state
		if v.state == trial.Running && (t.OldVersionDrained(now, old, others) || t.PastDrainDeadline(now) && t.AllMoved(now, others)) {
			v.want = trial.Completed
		}
		v.rank, v.collectors = d.rank(service)
		views = append(views, v)
	}
	return views
}

// running returns the names of the other instances that are not known to be
// gone. The caller holds Router.mu.
func (d *Duty) running() []string {
	var names []string
	for _, m := range d.members {
		if m.State != member.Gone && m.Instance != d.Instance {
			names = append(names, m.Instance)
		}
	}
	return names
}

// rank orders the instances that may do the duty for a service. It returns this
// instance's place and the addresses of the first others. The caller holds
// Router.mu.
func (d *Duty) rank(service string) (rank int, first []string) {
	order := func(instance string) uint64 { return xxhash.Sum64String(service + "\x00" + instance) }
	live := make([]member.Status, 0, len(d.members))
	for _, m := range d.members {
		if m.State <= member.Leaving && m.Instance != d.Instance {
			live = append(live, m)
		}
	}
	slices.SortFunc(live, func(a, b member.Status) int { return cmp.Compare(order(b.Instance), order(a.Instance)) })
	for i, m := range live {
		if order(m.Instance) > order(d.Instance) {
			rank++
		}
		if i < collectors {
			first = append(first, m.Address)
		}
	}
	return rank, first
}

// spread tells the others what this instance has seen.
func (d *Duty) spread(ctx context.Context, v view, report bool) {
	if v.state == trial.Stopped && v.record.State != trial.Stopped {
		d.Spreader.Publish(ctx, gossip.Entry{Key: stopPrefix + v.order.Service, Version: v.order.Revision}, true)
	}
	if !report || v.state != trial.Running {
		return
	}
	data, err := json.Marshal(v.report)
	if err != nil {
		d.Router.Log.Line("report-not-sent").Str("service", v.order.Service).Err(err).End()
		return
	}
	e := gossip.Entry{Key: v.order.Service + "/" + d.Instance, Data: data}
	for _, address := range v.collectors {
		go d.report(ctx, v.order.Service, address, e)
	}
}

// report tells one of the instances that collect reports.
func (d *Duty) report(ctx context.Context, service, address string, e gossip.Entry) {
	answer, err := d.Spreader.Report(ctx, address, e)
	if err != nil {
		return // the next report says the same and more
	}
	var summary trial.Summary
	if err := json.Unmarshal(answer.Data, &summary); err != nil {
		d.Router.Log.Line("news-rejected").Str("key", answer.Key).Err(err).End()
		return
	}
	d.Router.LearnSummary(service, summary)
}

// write makes the store's record say what this instance knows. Instances of a
// higher rank wait for those before them.
func (d *Duty) write(ctx context.Context, v view) {
	key := v.order.Service
	if v.record.Revision == v.order.Revision && v.record.State == v.want && v.record.Version > 0 {
		delete(d.due, key)
		return
	}
	if v.record.Revision == v.order.Revision && v.record.State != trial.Running && v.record.Version > 0 {
		return // a record that is settled stays
	}
	now := time.Now()
	due, ok := d.due[key]
	if !ok {
		due = now.Add(time.Duration(v.rank) * rankDelay)
		d.due[key] = due
	}
	if now.Before(due) {
		return
	}
	d.due[key] = now.Add(rankDelay)
	record := Record{State: v.want, To: v.order.To, Revision: v.order.Revision, Version: v.record.Version}
	callCtx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	err := d.Records.Write(callCtx, v.order.Service, record)
	d.Router.Log.Line("rollout-record").Str("service", v.order.Service).Str("to", v.order.To).Int("version", int64(v.order.Revision)).
		Str("state", v.want.String()).Int("record-version", int64(v.record.Version)).Int("rank", int64(v.rank)).Err(err).End()
	if err == nil && v.want != v.state {
		d.Router.Settle(v.order.Service, v.order.Revision, v.want, "recorded by this instance")
	}
}

// Upstreams returns how many upstreams are known.
func (r *Router) Upstreams() int {
	n := 0
	r.Fleet(func(_ time.Time, f *placement.Fleet) { n = f.Len() })
	return n
}
