package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minBackoff and maxBackoff bound how long an unreachable upstream gets no
	// attempts. The backoff doubles with each further failure.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 2 * time.Second
	// refusedPause is how long an upstream is avoided after it refused a request.
	refusedPause = 100 * time.Millisecond
	// errorRateWeight is the weight of the newest outcome in an error rate.
	errorRateWeight = 0.15
	// An upstream is an outlier, and avoided, if its error rate is above both
	// outlierErrorRate and outlierFactor times the error rate of its service.
	outlierErrorRate = 0.25
	outlierFactor    = 2.0
	// outlierMinSamples is the number of outcomes needed to detect an outlier.
	outlierMinSamples = 3
	// mostlyFailingRate is the error rate of a service above which its upstreams are
	// compared with the best of them: the service as a whole says nothing then.
	mostlyFailingRate = 0.4
	// outlierRetestInterval is the time after which an outlier gets a request again, to
	// find out whether it has recovered.
	outlierRetestInterval = 5 * time.Second
	// retestWeight is the weight of an outcome after such a time: the record is old.
	retestWeight = 0.5
)

// An upstream is a registration with this instance's attempts there and their
// outcomes.
type upstream struct {
	Upstream

	partitionRank uint64    // order in a promptPartition, the same at all instances
	goneAt        time.Time // gets no new attempts from this time on; zero while registered
	coldUntil     time.Time
	cold          limiter // of its rate while it is cold
	named         limiter // of the limit that it names
	namedAt       time.Time
	namedTold     float64 // rate that the other instances have been told
	namedVersion  uint64  // of the limit that it names
	brittle       brittleness

	totalAttempts   int     // attempts of this instance so far
	runningAttempts int     // attempts of this instance in progress
	unanswered      int     // those whose answers have not begun
	sharedRunning   float64 // estimated attempts of all instances in progress; see Fleet.SetLoad
	startedSince    int     // attempts of this instance that started after that estimate
	lastAttempt     time.Time
	lastOutcome     time.Time
	connectFailures int // attempts in a row that could not reach it
	downUntil       time.Time
	refusingUntil   time.Time
	pausedUntil     time.Time // it wants nothing from this instance until then
	errorRate       movingRate
}

func (u *upstream) isGone(now time.Time) bool { return !u.goneAt.IsZero() && !now.Before(u.goneAt) }

func (u *upstream) isDown(now time.Time) bool { return now.Before(u.downUntil) }

// isOutlier reports whether the upstream fails more than its service allows for; see
// service.outlierLimit.
func (u *upstream) isOutlier(now time.Time, limit float64) bool {
	return u.errorRate.samples >= outlierMinSamples && u.errorRate.value > limit && now.Sub(u.lastAttempt) < outlierRetestInterval
}

// outlierLimit returns the error rate above which an upstream of the service is an outlier.
func (s *service) outlierLimit() float64 {
	typical := s.errorRate.value
	if typical > mostlyFailingRate {
		for _, u := range s.upstreams {
			typical = min(typical, u.errorRate.value) // 0 for one that has had no request
		}
	}
	return max(outlierErrorRate, outlierFactor*typical)
}

// noteUnreachable records that no connection could be opened, that a request was
// not acknowledged, or that the connection was reset before an answer.
func (u *upstream) noteUnreachable(now time.Time) {
	u.downUntil = now.Add(min(minBackoff<<min(u.connectFailures, 8), maxBackoff))
	u.connectFailures++
}

// A movingRate is an exponentially weighted moving average of failures, from 0
// to 1. The first samples are averaged equally.
type movingRate struct {
	value   float64
	samples int // outcomes so far
}

func (r *movingRate) record(failed bool) { r.recordWeighted(failed, errorRateWeight) }

func (r *movingRate) recordWeighted(failed bool, weight float64) {
	x := 0.0
	if failed {
		x = 1
	}
	r.samples++
	r.value += max(weight, 1/float64(r.samples)) * (x - r.value)
}

// rendezvousScore orders candidates for a key by rendezvous hashing: all
// instances agree on the order, and adding or removing a candidate leaves the
// order of the others unchanged.
func rendezvousScore(key, candidate string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key) // never fails
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(candidate)
	return d.Sum64()
}
