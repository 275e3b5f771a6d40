package exchange

import (
	"context"
	"time"

	"banyanyard/core/era"
	"banyanyard/core/trial"
)

// A storedHistory is the history of a service in the store.
type storedHistory struct {
	history trial.History
	version era.Version // of the row
}

// ApplyHistory adds what the stored history of a service knows. One that is older than the
// known one is ignored.
func (c *RolloutCoordinator) ApplyHistory(service string, records []trial.VersionRecord, version era.Version) {
	r := c.Router
	r.mu.Lock()
	defer r.mu.Unlock()
	if version < c.histories[service].version {
		return
	}
	stored := storedHistory{version: version}
	stored.history.Merge(records)
	if c.histories == nil {
		c.histories = map[string]storedHistory{}
	}
	c.histories[service] = stored
	r.statesKnown[service] = true
	r.mergeHistory(service, records)
}

// RemoveHistory forgets the stored history of a service, which the store no longer has, so
// that it is written again.
func (c *RolloutCoordinator) RemoveHistory(service string) {
	c.Router.mu.Lock()
	defer c.Router.mu.Unlock()
	delete(c.histories, service)
}

// historyToWrite returns the history that is to be written together with the record that a
// check wants, or nil if the store has all of it. The caller holds Router.mu.
func (c *RolloutCoordinator) historyToWrite(check trialCheck) []trial.VersionRecord {
	o := check.order
	next := c.Router.history(o.Service).Clone()
	next.Record(o.To, o.Revision, check.wantState)
	return c.unstored(o.Service, next.Records())
}

// unstored returns a history of a service if the store lacks something of it, and nil
// otherwise. The caller holds Router.mu.
func (c *RolloutCoordinator) unstored(service string, known []trial.VersionRecord) []trial.VersionRecord {
	stored := c.histories[service]
	if stored.history.Covers(known) {
		return nil
	}
	return known
}

// A historyCheck is the result of a check whether the store has the history of a service.
type historyCheck struct {
	service string
	history []trial.VersionRecord // nil if the store has all of it
	version era.Version           // of the stored one
	rank    int                   // of this instance among those that may write it
	// stopped is true if the history has a stop that the record does not have yet.
	stopped bool
}

func (c *RolloutCoordinator) checkHistories() []historyCheck {
	r := c.Router
	r.mu.Lock()
	defer r.mu.Unlock()
	var checks []historyCheck
	for service, h := range r.histories {
		check := historyCheck{service: service, history: c.unstored(service, h.Records()), version: c.histories[service].version}
		if check.history != nil {
			check.rank, _ = c.rankInstances(service)
			check.stopped = c.awaitsStopRecord(service)
		}
		checks = append(checks, check)
	}
	return checks
}

// awaitsStopRecord reports whether the trial of a service has been stopped and the record
// does not say so yet. The caller holds Router.mu.
func (c *RolloutCoordinator) awaitsStopRecord(service string) bool {
	t := c.Router.trials[service]
	if t == nil {
		return false
	}
	state, _ := t.State()
	return state == trial.Stopped && c.records[service].State != trial.Stopped
}

// writeHistory writes a history that the store lacks although the record has been written:
// by an instance of an earlier version, which keeps none, or before the store came back from
// a copy. The record is usually written together with it, so that even the first in rank
// waits, unless the record waits itself: an instance that starts meanwhile must know the stop.
func (c *RolloutCoordinator) writeHistory(ctx context.Context, check historyCheck) {
	if check.history == nil {
		delete(c.historyDue, check.service)
		return
	}
	now := time.Now()
	delay := time.Duration(check.rank+1) * rankDelay
	if check.stopped {
		delay -= rankDelay
	}
	due, ok := c.historyDue[check.service]
	if !ok {
		due = now.Add(delay)
		c.historyDue[check.service] = due
	}
	if now.Before(due) {
		return
	}
	c.historyDue[check.service] = now.Add(max(delay, rankDelay))
	callCtx, cancel := context.WithTimeout(ctx, recordWriteTimeout)
	defer cancel()
	err := c.Records.WriteHistory(callCtx, check.service, check.history, check.version)
	c.Router.Log.Line("rollout-history-written").Str("service", check.service).Int("versions", int64(len(check.history))).
		Str("history-version", check.version.String()).Int("rank", int64(check.rank)).Err(err).End()
}
