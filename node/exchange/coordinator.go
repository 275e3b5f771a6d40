package exchange

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"banyanyard/core/era"
	"banyanyard/core/gossip"
	"banyanyard/core/member"
	"banyanyard/core/placement"
	"banyanyard/core/trial"

	"github.com/cespare/xxhash/v2"
)

const (
	// trialCheckInterval is the time between checks of the trials.
	trialCheckInterval = 250 * time.Millisecond
	// checksPerReport is the number of checks per report of evidence.
	checksPerReport = 2
	// rankDelay is the additional time that each rank waits before it writes a
	// record which the instance of the rank before has not written.
	rankDelay = 600 * time.Millisecond
	// completionRankDelay is the same for the record of a completion, which is written shortly
	// before the order's deadline, by the instances that collect reports only. It is less than
	// trialCheckInterval, so that the next check writes.
	completionRankDelay = 200 * time.Millisecond
	// recordWriteTimeout bounds one write of a record.
	recordWriteTimeout = 800 * time.Millisecond
	// collectorCount is the number of instances to which an instance reports.
	collectorCount = 2
	// stopKeyPrefix starts the keys of gossip entries that stop a trial.
	stopKeyPrefix = "stop/"
)

// A RolloutRecord is the stored state of an order.
type RolloutRecord struct {
	State    trial.State
	To       string      // version of the service
	Revision era.Version // of the order
	Version  era.Version // of the record in the store; 0 if there is none
}

// A RecordStore stores the states of orders.
type RecordStore interface {
	// Write replaces the record of a service if the stored one still has
	// r.Version and, in the same transaction, its history unless that is nil.
	Write(ctx context.Context, service string, r RolloutRecord, history []trial.VersionRecord) error
	// WriteHistory replaces the history of a service if the stored one still has the given
	// version; 0 if there is none.
	WriteHistory(ctx context.Context, service string, history []trial.VersionRecord, version era.Version) error
}

// A PeerClient sends messages to the other instances.
type PeerClient interface {
	// Publish spreads an entry to all instances. An urgent one is also pushed at
	// once.
	Publish(ctx context.Context, e gossip.Entry, urgent bool)
	// Report sends this instance's evidence to the instance at the address, and
	// returns that instance's summary over all.
	Report(ctx context.Context, address string, e gossip.Entry) (gossip.Entry, error)
}

// A RolloutCoordinator moves the trials of a router forward together with the
// other instances. All instances may write records; conditional writes to the
// store resolve conflicts.
type RolloutCoordinator struct {
	Router   *Router
	Records  RecordStore
	Peers    PeerClient
	Instance string

	members   []member.Status          // guarded by Router.mu
	records   map[string]RolloutRecord // guarded by Router.mu; by service
	histories map[string]storedHistory // guarded by Router.mu; by service
	writeDue  map[string]time.Time     // earliest next write of a record, by service; used by Run only
	blockers  map[string]string        // that were logged last; guarded by Router.mu; by service

	reportsMu sync.Mutex
	reporting map[reportPath]int // number of reports that have not been answered; guarded by reportsMu

	historyDue map[string]time.Time // earliest next write of a history alone, by service; used by Run only
	// reportedOldRunning and reportedStopped are OldRunning and Stopped of the last report, by
	// service; used by Run only.
	reportedOldRunning map[string]int
	reportedStopped    map[string]bool
}

// A reportPath is a service and the address of an instance that collects the reports on it.
type reportPath struct{ service, address string }

// SetMembers replaces the instances that may be running.
func (c *RolloutCoordinator) SetMembers(all []member.Status) {
	names := make([]string, 0, len(all))
	for _, m := range all {
		if m.State != member.Gone && !slices.Contains(names, m.Instance) {
			names = append(names, m.Instance)
		}
	}
	r := c.Router
	r.mu.Lock()
	defer r.mu.Unlock()
	c.members = all
	r.fleet.SetInstances(names)
}

// ApplyRecord applies the stored record of a service to its trial. A record older than the
// known one is ignored.
func (c *RolloutCoordinator) ApplyRecord(service string, record RolloutRecord) {
	if c.keepRecord(service, record) {
		c.Router.followRecord(service, record, "record")
	}
}

// keepRecord keeps a record unless a newer one is known.
func (c *RolloutCoordinator) keepRecord(service string, record RolloutRecord) bool {
	c.Router.mu.Lock()
	defer c.Router.mu.Unlock()
	if c.records == nil {
		c.records = map[string]RolloutRecord{}
	}
	if record.Version < c.records[service].Version {
		return false
	}
	c.records[service] = record
	c.Router.recordOrder(service, record, "record")
	return true
}

// RemoveRecord forgets the stored record of a service, which the store no longer has, so
// that it is written again.
func (c *RolloutCoordinator) RemoveRecord(service string) {
	c.Router.mu.Lock()
	defer c.Router.mu.Unlock()
	delete(c.records, service)
}

// ReapplyRecord applies the known record of a service to an order that arrived
// after it.
func (c *RolloutCoordinator) ReapplyRecord(service string) {
	c.Router.mu.Lock()
	record := c.records[service]
	c.Router.mu.Unlock()
	c.Router.followRecord(service, record, "record")
}

// HandleEntry processes a gossip entry of another instance.
func (c *RolloutCoordinator) HandleEntry(e gossip.Entry) {
	if service, ok := strings.CutPrefix(e.Key, stopKeyPrefix); ok {
		var to string
		if err := json.Unmarshal(e.Data, &to); err != nil {
			c.Router.Log.Line("news-rejected").Str("key", e.Key).Err(err).End()
			return
		}
		c.Router.AdoptTrialState(service, to, trial.Stopped, "stopped by another instance")
	}
}

// HandleReport processes the report of another instance and returns the summary
// over all instances. The entry's key is the service and the instance, separated
// by a slash; its data is a trial.Report.
func (c *RolloutCoordinator) HandleReport(e gossip.Entry) gossip.Entry {
	service, instance, _ := strings.Cut(e.Key, "/")
	var report trial.Report
	if err := json.Unmarshal(e.Data, &report); err != nil {
		c.Router.Log.Line("news-rejected").Str("key", e.Key).Err(err).End()
		return gossip.Entry{}
	}
	summary := c.Router.LearnReport(instance, service, report)
	data, err := json.Marshal(summary)
	if err != nil {
		c.Router.Log.Line("summary-not-sent").Str("service", service).Err(err).End()
		return gossip.Entry{}
	}
	return gossip.Entry{Key: e.Key, Data: data}
}

// Run checks the trials until ctx is done.
func (c *RolloutCoordinator) Run(ctx context.Context) {
	c.writeDue = map[string]time.Time{}
	c.historyDue = map[string]time.Time{}
	c.reportedOldRunning = map[string]int{}
	c.reportedStopped = map[string]bool{}
	ticker := time.NewTicker(trialCheckInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		report := n%checksPerReport == 0
		select {
		case <-ticker.C:
		case <-c.Router.trialNews:
			report = true
		case <-ctx.Done():
			return
		}
		for _, check := range c.checkTrials(time.Now()) {
			c.publishCheck(ctx, check, report)
			c.writeRecord(ctx, check)
		}
		for _, check := range c.checkHistories() {
			c.writeHistory(ctx, check)
		}
	}
}

// A trialCheck is the result of a check of a trial.
type trialCheck struct {
	order        trial.Order
	state        trial.State
	report       trial.Report
	storedRecord RolloutRecord
	wantState    trial.State           // that the record is to have
	rank         int                   // of this instance among those that may write the record
	history      []trial.VersionRecord // of the service, if the stored one lacks something; nil otherwise
	// collectors are the addresses of the instances to report to.
	collectors []string
	held       bool // a stop is not to be recorded yet; see trial.Trial.MayRecordStop
}

func (c *RolloutCoordinator) checkTrials(now time.Time) []trialCheck {
	r := c.Router
	r.mu.Lock()
	defer r.mu.Unlock()
	for session := range r.sessionsRunning {
		r.refreshSession(now, session)
	}
	others := c.otherInstances()
	var checks []trialCheck
	for _, t := range r.trials {
		checks = append(checks, c.checkTrial(now, t, others))
	}
	return checks
}

// checkTrial moves one trial forward and says what is to be sent and written. The caller holds
// Router.mu.
func (c *RolloutCoordinator) checkTrial(now time.Time, t *trial.Trial, others trial.Others) trialCheck {
	r, service := c.Router, t.Order.Service
	t.Instances = r.fleet.NumInstances()
	rank, collectors := c.rankInstances(service)
	t.Rank = rank
	if t.GiveUp(now) {
		r.logTrial(t, "evidence")
	}
	c.logClearance(now, t)
	oldRunning := r.fleet.RunningAttempts(service, func(version string) bool { return version != t.Order.To })
	newRunning := r.fleet.RunningAttempts(service, func(version string) bool { return version == t.Order.To })
	check := trialCheck{order: t.Order, report: t.Report(now, oldRunning), storedRecord: c.records[service], rank: rank, collectors: collectors}
	check.state, _ = t.State()
	check.wantState = check.state
	blocker := t.CompletionBlocker(now, oldRunning, others)
	if blocker == "" {
		check.wantState = trial.Completed
	}
	if rank < collectorCount && check.state == trial.Running && t.IsEnding(now) {
		c.logBlocker(now, t, oldRunning, blocker)
	}
	check.held = !t.MayRecordStop(now, newRunning)
	r.recordTrial(t)
	check.history = c.historyToWrite(check)
	return check
}

// logClearance logs when the traffic moves, once that has been decided. The caller holds
// Router.mu.
func (c *RolloutCoordinator) logClearance(now time.Time, t *trial.Trial) {
	start, ok := t.TakeClearance()
	if !ok {
		return
	}
	exposure := t.TotalExposure()
	c.Router.Log.Line("rollout-cleared").Str("service", t.Order.Service).Str("to", t.Order.To).Str("version", t.Order.Revision.String()).
		Int("instances", int64(t.Instances)).Millis("move-at-ms", start).Millis("age-ms", now.Sub(t.StartTime())).
		Int("new-attempts", int64(exposure.New)).Int("attempts", int64(exposure.All)).Str("evidence", t.EvidenceText()).End()
}

// logBlocker logs why a trial is not recorded as completed at the end of its time, each
// time that the reason changes. The caller holds Router.mu.
func (c *RolloutCoordinator) logBlocker(now time.Time, t *trial.Trial, oldRunning int, blocker string) {
	service := t.Order.Service
	if last, logged := c.blockers[service]; logged && last == blocker {
		return
	}
	if c.blockers == nil {
		c.blockers = map[string]string{}
	}
	c.blockers[service] = blocker
	exposure := t.TotalExposure()
	c.Router.Log.Line("rollout-completion").Str("service", service).Str("to", t.Order.To).Str("version", t.Order.Revision.String()).
		Bool("allowed", blocker == "").Str("why", blocker).Millis("age-ms", now.Sub(t.StartTime())).Int("old-running", int64(oldRunning)).
		Int("new-attempts", int64(exposure.New)).Int("attempts", int64(exposure.All)).End()
}

// otherInstances returns the other instances that are not known to be gone. The caller
// holds Router.mu.
func (c *RolloutCoordinator) otherInstances() trial.Others {
	var o trial.Others
	for _, m := range c.members {
		if m.State == member.Gone || m.Instance == c.Instance {
			continue
		}
		o.Possible = append(o.Possible, m.Instance)
		if m.State == member.Live {
			o.Live = append(o.Live, m.Instance)
		}
	}
	return o
}

// rankInstances ranks the live instances for a service: those that have more processor time
// first, as collecting reports takes much of it, and others by rendezvous hashing. It returns
// the rank of this instance, from 0, and the addresses of the collectors: the first other
// instances in the ranking. The caller holds Router.mu.
func (c *RolloutCoordinator) rankInstances(service string) (rank int, collectors []string) {
	self := member.Status{Identity: member.Identity{Instance: c.Instance}}
	live := make([]member.Status, 0, len(c.members))
	for _, m := range c.members {
		switch {
		case m.Instance == c.Instance:
			self.Capacity = max(self.Capacity, m.Capacity)
		case m.State <= member.Leaving:
			live = append(live, m)
		}
	}
	// Earlier releases do not tell their capacity, and rank by hashing alone.
	byCapacity := self.Capacity > 0 && !slices.ContainsFunc(live, func(m member.Status) bool { return m.Capacity == 0 })
	compare := func(a, b member.Status) int {
		if byCapacity && a.Capacity != b.Capacity {
			return cmp.Compare(b.Capacity, a.Capacity)
		}
		return cmp.Compare(rendezvousWeight(service, b.Instance), rendezvousWeight(service, a.Instance))
	}
	slices.SortFunc(live, compare)
	for i, m := range live {
		if compare(m, self) < 0 {
			rank++
		}
		if i < collectorCount {
			collectors = append(collectors, m.Address)
		}
	}
	return rank, collectors
}

// rendezvousWeight is the weight of an instance in the ranking for a key.
func rendezvousWeight(key, instance string) uint64 {
	return xxhash.Sum64String(key + "\x00" + instance)
}

// publishCheck publishes a stop that is not yet recorded and, if report is set,
// sends this instance's evidence to the collectors.
func (c *RolloutCoordinator) publishCheck(ctx context.Context, check trialCheck, report bool) {
	stopped := check.state == trial.Stopped && check.storedRecord.State != trial.Stopped
	if stopped {
		c.publishStop(ctx, check.order)
	}
	// Once the traffic has moved, what is in flight decides when the trial may end.
	due := report || c.reportedOldRunning[check.order.Service] != check.report.OldRunning
	if !(stopped && !check.held) && !(due && (stopped || check.state == trial.Running)) {
		return
	}
	data, err := json.Marshal(check.report)
	if err != nil {
		c.Router.Log.Line("report-not-sent").Str("service", check.order.Service).Err(err).End()
		return
	}
	e := gossip.Entry{Key: check.order.Service + "/" + c.Instance, Data: data}
	// The news of a stop must not come after that of a completion.
	urgent := stopped && !c.reportedStopped[check.order.Service]
	c.reportedOldRunning[check.order.Service] = check.report.OldRunning
	c.reportedStopped[check.order.Service] = stopped
	for _, address := range check.collectors {
		path := reportPath{check.order.Service, address}
		if !c.beginReport(path, urgent) {
			continue // the next report includes this one
		}
		go func() {
			defer c.endReport(path)
			c.sendReport(ctx, path.service, path.address, e)
		}()
	}
}

// beginReport reports whether a report may be sent: not before the last one has been answered
// or has failed, so that a collector that is slow gets fewer, unless it is urgent.
func (c *RolloutCoordinator) beginReport(p reportPath, urgent bool) bool {
	c.reportsMu.Lock()
	defer c.reportsMu.Unlock()
	if c.reporting[p] > 0 && !urgent {
		return false
	}
	if c.reporting == nil {
		c.reporting = map[reportPath]int{}
	}
	c.reporting[p]++
	return true
}

func (c *RolloutCoordinator) endReport(p reportPath) {
	c.reportsMu.Lock()
	defer c.reportsMu.Unlock()
	c.reporting[p]--
	if c.reporting[p] == 0 {
		delete(c.reporting, p)
	}
}

// publishStop tells the other instances that the trial of an order has been stopped.
func (c *RolloutCoordinator) publishStop(ctx context.Context, o trial.Order) {
	data, err := json.Marshal(o.To)
	if err != nil {
		c.Router.Log.Line("stop-not-sent").Str("service", o.Service).Err(err).End()
		return
	}
	c.Peers.Publish(ctx, gossip.Entry{Key: stopKeyPrefix + o.Service, Version: uint64(o.Revision), Data: data}, true)
}

// sendReport sends a report to one collector and merges the summary that it
// returns.
func (c *RolloutCoordinator) sendReport(ctx context.Context, service, address string, e gossip.Entry) {
	answer, err := c.Peers.Report(ctx, address, e)
	if err != nil {
		return // the next report includes this one
	}
	var summary trial.Summary
	if err := json.Unmarshal(answer.Data, &summary); err != nil {
		c.Router.Log.Line("news-rejected").Str("key", answer.Key).Err(err).End()
		return
	}
	c.Router.LearnSummary(service, summary)
}

// writeRecord writes the wanted state to the store unless the record has it.
// Instances of a higher rank wait longer, so that usually only one writes.
func (c *RolloutCoordinator) writeRecord(ctx context.Context, check trialCheck) {
	key := check.order.Service
	if check.storedRecord.Revision == check.order.Revision && check.storedRecord.State == check.wantState && check.storedRecord.Version > 0 {
		delete(c.writeDue, key)
		return
	}
	if check.storedRecord.Revision == check.order.Revision && check.storedRecord.State != trial.Running && check.storedRecord.Version > 0 {
		return // a final state is never replaced
	}
	if check.held {
		return
	}
	now := time.Now()
	delay := rankDelay
	if check.wantState == trial.Completed {
		delay = completionRankDelay
	}
	due, ok := c.writeDue[key]
	if !ok {
		due = now.Add(time.Duration(check.rank) * delay)
		c.writeDue[key] = due
	}
	if now.Before(due) {
		return
	}
	c.writeDue[key] = now.Add(delay)
	record := RolloutRecord{State: check.wantState, To: check.order.To, Revision: check.order.Revision, Version: check.storedRecord.Version}
	callCtx, cancel := context.WithTimeout(ctx, recordWriteTimeout)
	defer cancel()
	err := c.Records.Write(callCtx, check.order.Service, record, check.history)
	c.Router.Log.Line("rollout-record").Str("service", check.order.Service).Str("to", check.order.To).Str("version", check.order.Revision.String()).
		Str("state", check.wantState.String()).Str("record-version", check.storedRecord.Version.String()).Int("rank", int64(check.rank)).Err(err).End()
	if err == nil {
		c.Router.followRecord(key, record, "recorded by this instance")
	}
}

// UpstreamCount returns the number of known upstreams.
func (r *Router) UpstreamCount() int {
	n := 0
	r.WithFleet(func(_ time.Time, f *placement.Fleet) { n = f.Len() })
	return n
}
