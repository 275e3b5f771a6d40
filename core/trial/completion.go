package trial

import (
	"fmt"
	"slices"
	"time"
)

const (
	// completionMargin is the time before the order's deadline from which on a trial may be
	// completed. It covers the write of the record.
	completionMargin = time.Second
	// drainMargin is the time before the order's deadline from which on streams on the
	// old version are no longer waited for: they continue on the new version.
	drainMargin = 800 * time.Millisecond
	// completionLead is the time before the order's deadline at which the traffic must have
	// moved, so that all instances can report that and the record can be written in time.
	completionLead = time.Second
	// maxReportAge is the age of an instance's report up to which it is taken to be
	// running the trial still, and to send as many requests: twice the time between two reports.
	maxReportAge = time.Second
)

// stoppedElsewhere is the reason of a stop that another instance has told.
const stoppedElsewhere = "stopped by another instance"

// FollowRecord takes over the state of the order's record. Only a conditional write changes
// the record, so it decides: a completion replaces a stop, since the upstreams of the old
// version end with it. It reports whether the state changed.
func (t *Trial) FollowRecord(s State) bool {
	t.stopRecorded = t.stopRecorded || s == Stopped
	if s == Running || s == t.state {
		return false
	}
	t.state, t.stopReason = s, ""
	if s == Stopped {
		t.stopReason = "stopped in the record"
	}
	return true
}

// Others are the other instances whose part in a trial counts for its completion.
type Others struct {
	Possible []string // may be running
	Live     []string // those of Possible that take requests
}

// CompletionBlocker returns why the trial may not be recorded as completed, or "".
// oldRunning is the number of this instance's attempts in flight on the old version.
func (t *Trial) CompletionBlocker(now time.Time, oldRunning int, o Others) string {
	switch {
	case t.state != Running || !t.IsEnding(now):
		return "the trial goes on or has ended"
	case !t.Moved(now):
		return "the traffic has not moved"
	case !t.MayComplete(now):
		return "the evidence speaks against the new version"
	case t.OldVersionDrained(now, oldRunning, o.Possible):
	case t.unmovedInstance(o.Possible) != "":
		return t.unmovedInstance(o.Possible) + " has not reported that its traffic has moved"
	case !t.MayCutOff(now, oldRunning):
		return "attempts are in flight on the old version"
	}
	if name := t.silentInstance(now, o.Live); name != "" {
		return fmt.Sprintf("%s has not reported recently, and may have stopped the trial", name)
	}
	return ""
}

// silentInstance returns one of the named instances that has not reported recently, or "".
func (t *Trial) silentInstance(now time.Time, instances []string) string {
	for _, name := range instances {
		if now.Sub(t.reportTimes[name]) > maxReportAge {
			return name
		}
	}
	return ""
}

// IsEnding reports whether so little of the order's duration is left that there will be no
// more evidence in time.
func (t *Trial) IsEnding(now time.Time) bool {
	return now.Sub(t.startTime) > t.Order.Duration-completionMargin
}

// MayComplete reports whether the trial may be recorded as completed, which cannot be
// undone: it is ending, and the evidence does not speak against the new version.
func (t *Trial) MayComplete(now time.Time) bool {
	return t.state == Running && t.Moved(now) && t.IsEnding(now) && !t.isSuspicious()
}

// MayCutOff reports whether attempts that still run on the old version are no longer
// waited for: so little of the order's duration is left, and the bound on exposure
// covers them if they continue on the new version. oldRunning is their number at this
// instance.
func (t *Trial) MayCutOff(now time.Time, oldRunning int) bool {
	elapsed := now.Sub(t.startTime)
	if elapsed <= t.Order.Duration-drainMargin {
		return false
	}
	for _, r := range t.reports {
		oldRunning += max(r.OldRunning, 0)
	}
	return t.exposureBeyond(now, elapsed)+float64(oldRunning) <= cutOffSlackFraction*t.bounds.ExposeSlack
}

// unmovedInstance returns one of the named instances that has not reported that it sends all
// requests to the new version, or "".
func (t *Trial) unmovedInstance(instances []string) string {
	for _, name := range instances {
		if r, ok := t.reports[name]; !ok || r.OldRunning < 0 {
			return name
		}
	}
	return ""
}

// OldVersionDrained reports whether no attempt is in flight on the old version
// at this instance, which has oldRunning, and at the named ones, according to
// their reports.
func (t *Trial) OldVersionDrained(now time.Time, oldRunning int, instances []string) bool {
	if !t.Moved(now) || oldRunning > 0 {
		return false
	}
	return !slices.ContainsFunc(instances, func(name string) bool {
		r, ok := t.reports[name]
		return !ok || r.OldRunning != 0
	})
}
