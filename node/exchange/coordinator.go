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
	"banyanyard/core/place"
	"banyanyard/core/trial"

	"github.com/cespare/xxhash/v2"
)

const (
	// trialCheckInterval is the time between looks at the trials.
	trialCheckInterval = 250 * time.Millisecond
	// checksPerReport is the number of looks between two reports of evidence.
	checksPerReport = 2
	// rankDelay is how much longer each further instance waits before it does
	// what the one before it should have done.
	rankDelay = 600 * time.Millisecond
	// recordWriteTimeout bounds the writing of a record.
	recordWriteTimeout = 800 * time.Millisecond
	// collectorCount is the number of instances to which the others report.
	collectorCount = 2
	// stopKeyPrefix begins the keys of stops.
	stopKeyPrefix = "stop/"
)

// A RolloutRecord is what the store keeps of an order.
type RolloutRecord struct {
	State    trial.State
	To       string
	Revision uint64 // of the order
	Version  uint64 // of the record; 0 when there is none
}

// RecordStore keeps the state of orders.
type RecordStore interface {
	// Write replaces the record of a service if it still has the version.
	Write(ctx context.Context, service string, r RolloutRecord) error
}

// A PeerClient speaks to the other instances.
type PeerClient interface {
	// Publish spreads an entry to all.
	Publish(ctx context.Context, e gossip.Entry, urgent bool)
	// Report tells one of them what this instance has seen, and returns what
	// it knows of all.
	Report(ctx context.Context, address string, e gossip.Entry) (gossip.Entry, error)
}

// A RolloutCoordinator drives the trials of a router together with other instances. All
// instances do the same; conditions on the store's rows keep them apart.
type RolloutCoordinator struct {
	Router   *Router
	Records  RecordStore
	Peers    PeerClient
	Instance string

	members  []member.Status          // guarded by Router.mu
	records  map[string]RolloutRecord // guarded by Router.mu; by service
	writeDue map[string]time.Time
}

// SetMembers replaces the instances that may be running.
func (d *RolloutCoordinator) SetMembers(all []member.Status) {
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

// ApplyRecord takes the record of a service as the store has it.
func (d *RolloutCoordinator) ApplyRecord(service string, record RolloutRecord) {
	d.Router.mu.Lock()
	if d.records == nil {
		d.records = map[string]RolloutRecord{}
	}
	if d.records[service].Version < record.Version {
		d.records[service] = record
	}
	d.Router.mu.Unlock()
	d.Router.AdoptTrialState(service, record.Revision, record.State, "the store's record")
}

// ReapplyRecord applies the record of a service to an order that was heard after it.
func (d *RolloutCoordinator) ReapplyRecord(service string) {
	d.Router.mu.Lock()
	record := d.records[service]
	d.Router.mu.Unlock()
	d.Router.AdoptTrialState(service, record.Revision, record.State, "the store's record")
}

// HandleEntry takes an entry of another instance.
func (d *RolloutCoordinator) HandleEntry(e gossip.Entry) {
	if service, ok := strings.CutPrefix(e.Key, stopKeyPrefix); ok {
		d.Router.AdoptTrialState(service, e.Version, trial.Stopped, "another instance stopped it")
		return
	}
	if strings.HasPrefix(e.Key, crashKeyPrefix) {
		d.Router.mergeCrashCounts(e)
	}
}

// HandleReport takes the report of another instance and returns a summary of all. Its
// key is the service and the instance, its data a trial.HandleReport.
func (d *RolloutCoordinator) HandleReport(e gossip.Entry) gossip.Entry {
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
func (d *RolloutCoordinator) Run(ctx context.Context) {
	d.writeDue = map[string]time.Time{}
	ticker := time.NewTicker(trialCheckInterval)
	defer ticker.Stop()
	for looks := 0; ; looks++ {
		select {
		case <-ticker.C:
		case <-d.Router.trialStops:
		case e := <-d.Router.outgoing:
			d.Peers.Publish(ctx, e, true)
			continue
		case <-ctx.Done():
			return
		}
		for _, v := range d.checkTrials(time.Now()) {
			d.publishCheck(ctx, v, looks%checksPerReport == 0)
			d.writeRecord(ctx, v)
		}
	}
}

// A trialCheck is what a look at a trial has found.
type trialCheck struct {
	order        trial.Order
	state        trial.State
	report       trial.Report
	storedRecord RolloutRecord
	wantState    trial.State // that the record should have
	rank         int         // of this instance among those that may write it
	// collectors are the addresses of the other instances to report to.
	collectors []string
}

func (d *RolloutCoordinator) checkTrials(now time.Time) []trialCheck {
	r := d.Router
	r.mu.Lock()
	defer r.mu.Unlock()
	others := d.otherInstances()
	var views []trialCheck
	for service, t := range r.trials {
		old := r.fleet.Running(service, func(version string) bool { return version != t.Order.To })
		v := trialCheck{order: t.Order, report: t.Report(now, old), storedRecord: d.records[service]}
		v.state, _ = t.State()
		v.wantState = v.state
		if v.state == trial.Running && (t.OldVersionDrained(now, old, others) || t.PastDrainDeadline(now) && t.AllMoved(now, others)) {
			v.wantState = trial.Completed
		}
		v.rank, v.collectors = d.rankInstances(service)
		views = append(views, v)
	}
	return views
}

// otherInstances returns the names of the other instances that are not known to be
// gone. The caller holds Router.mu.
func (d *RolloutCoordinator) otherInstances() []string {
	var names []string
	for _, m := range d.members {
		if m.State != member.Gone && m.Instance != d.Instance {
			names = append(names, m.Instance)
		}
	}
	return names
}

// rankInstances orders the instances that may do the duty for a service. It returns this
// instance's place and the addresses of the first others. The caller holds
// Router.mu.
func (d *RolloutCoordinator) rankInstances(service string) (rank int, first []string) {
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
		if i < collectorCount {
			first = append(first, m.Address)
		}
	}
	return rank, first
}

// publishCheck tells the others what this instance has seen.
func (d *RolloutCoordinator) publishCheck(ctx context.Context, v trialCheck, report bool) {
	if v.state == trial.Stopped && v.storedRecord.State != trial.Stopped {
		d.Peers.Publish(ctx, gossip.Entry{Key: stopKeyPrefix + v.order.Service, Version: v.order.Revision}, true)
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
		go d.sendReport(ctx, v.order.Service, address, e)
	}
}

// sendReport tells one of the instances that collect reports.
func (d *RolloutCoordinator) sendReport(ctx context.Context, service, address string, e gossip.Entry) {
	answer, err := d.Peers.Report(ctx, address, e)
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

// writeRecord makes the store's record say what this instance knows. Instances of a
// higher rank wait for those before them.
func (d *RolloutCoordinator) writeRecord(ctx context.Context, v trialCheck) {
	key := v.order.Service
	if v.storedRecord.Revision == v.order.Revision && v.storedRecord.State == v.wantState && v.storedRecord.Version > 0 {
		delete(d.writeDue, key)
		return
	}
	if v.storedRecord.Revision == v.order.Revision && v.storedRecord.State != trial.Running && v.storedRecord.Version > 0 {
		return // a record that is settled stays
	}
	now := time.Now()
	due, ok := d.writeDue[key]
	if !ok {
		due = now.Add(time.Duration(v.rank) * rankDelay)
		d.writeDue[key] = due
	}
	if now.Before(due) {
		return
	}
	d.writeDue[key] = now.Add(rankDelay)
	record := RolloutRecord{State: v.wantState, To: v.order.To, Revision: v.order.Revision, Version: v.storedRecord.Version}
	callCtx, cancel := context.WithTimeout(ctx, recordWriteTimeout)
	defer cancel()
	err := d.Records.Write(callCtx, v.order.Service, record)
	d.Router.Log.Line("rollout-record").Str("service", v.order.Service).Str("to", v.order.To).Int("version", int64(v.order.Revision)).
		Str("state", v.wantState.String()).Int("record-version", int64(v.storedRecord.Version)).Int("rank", int64(v.rank)).Err(err).End()
	if err == nil && v.wantState != v.state {
		d.Router.AdoptTrialState(v.order.Service, v.order.Revision, v.wantState, "recorded by this instance")
	}
}

// UpstreamCount returns how many upstreams are known.
func (r *Router) UpstreamCount() int {
	n := 0
	r.WithFleet(func(_ time.Time, f *place.Fleet) { n = f.Len() })
	return n
}
