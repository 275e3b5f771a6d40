package trial

import "time"

const (
	// stopReportTime is how long the record of a stop waits for the reports of other
	// instances that have sent sessions to the new version.
	stopReportTime = 600 * time.Millisecond
	// stopRecordMargin is the time before the order's deadline from which on the record of a
	// stop waits for nothing: those that write it follow each other in part of a second.
	stopRecordMargin = 1200 * time.Millisecond
)

// RecordSessionOnNew records that a request of a session goes to the new version, or has
// ended there.
func (t *Trial) RecordSessionOnNew(now time.Time) {
	t.ownSessionsUntil = now.Add(t.bounds.SessionTimeout)
}

// MayRecordStop reports whether the stop may be written to the order's record. Operators
// write the next order once it is there, and sessions that were last seen on the stopped
// version would change theirs under that order. So the record waits until these sessions
// have gone back or ended, but not beyond the order's deadline.
// newRunning is the number of this instance's attempts in flight on the new version.
func (t *Trial) MayRecordStop(now time.Time, newRunning int) bool {
	if t.state != Stopped || t.stopRecorded || now.Sub(t.startTime) >= t.Order.Duration-stopRecordMargin {
		return true
	}
	if t.stopSeen.IsZero() {
		t.stopSeen = now
	}
	if newRunning > 0 && !t.ownSessionsUntil.IsZero() {
		t.RecordSessionOnNew(now)
	}
	return now.Sub(t.stopSeen) >= stopReportTime && t.sessionsFor(now) == 0 && !now.Before(t.summarySessionsUntil)
}

// ownSessionsFor returns for how long sessions may come back that this instance has sent to
// the new version.
func (t *Trial) ownSessionsFor(now time.Time) time.Duration {
	return max(0, t.ownSessionsUntil.Sub(now))
}

// sessionsFor returns the same of this instance and those that report to it.
func (t *Trial) sessionsFor(now time.Time) time.Duration {
	return max(t.ownSessionsFor(now), t.reportedSessionsUntil.Sub(now))
}

// laterTime returns the later of two times.
func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
