// Package ramp implements slow start: it decides which part of its request limit
// an upstream gets after it has started.
//
// A Level is the state of one upstream: its Epoch is incremented each time the
// upstream is found cold, and within an epoch Percent rises as responses
// arrive. Instances exchange levels and keep the higher one, so Join is
// commutative, associative and idempotent, and the order in which levels arrive
// does not matter.
//
// Invariant: a response or failure changes the level only in the epoch in which
// its request was sent.
package ramp

import (
	"cmp"
	"time"
)

// FullPercent is the percentage of the limit that a warm upstream gets.
const FullPercent = 100

// firstStepPercent is the percentage after the first step up from cold.
const firstStepPercent = 10

// responsesPerStep is the number of responses that raise the level by one step.
const responsesPerStep = 3

// A Level is the slow-start state of one upstream. The zero Level is cold.
type Level struct {
	Epoch   uint32 `json:"epoch"`
	Percent uint8  `json:"percent"` // 0 is cold, FullPercent is warm
}

// Join returns the level with the higher epoch or, in the same epoch, the higher
// percentage.
func Join(a, b Level) Level {
	if c := cmp.Compare(a.Epoch, b.Epoch); c > 0 || c == 0 && a.Percent >= b.Percent {
		return a
	}
	return b
}

// Limit returns the number of requests allowed at this level, which lies between
// the cold and the full limit.
func (l Level) Limit(cold, full int) int {
	if l.Percent >= FullPercent {
		return full
	}
	return cold + max(0, full-cold)*int(l.Percent)/FullPercent
}

// A first token is taken as a sign of a cold start if it is later than
// minSlowFirstToken and than slowFirstTokenFactor times the average.
const (
	slowFirstTokenFactor = 8
	minSlowFirstToken    = 2 * time.Second
	avgWeight            = 0.1 // weight of the newest sample in the moving average
	// minSamples is the number of responses before the average is used.
	minSamples = 5
)

// A Ramp tracks the level of one upstream from its responses and failures and
// from other instances' levels. The zero Ramp is cold.
type Ramp struct {
	level         Level
	responses     int           // since the last step or cold start
	avgFirstToken time.Duration // moving average of the time to the first token
	samples       int
}

// Level returns the current level.
func (r *Ramp) Level() Level { return r.level }

// Merge joins another instance's level into this one.
func (r *Ramp) Merge(other Level) {
	joined := Join(r.level, other)
	if joined != r.level {
		r.level = joined
		r.responses = 0
	}
}

// RecordResponse records a complete response to a request that was sent in the
// epoch, with the time to its first token.
func (r *Ramp) RecordResponse(epoch uint32, firstToken time.Duration) {
	if epoch != r.level.Epoch {
		return
	}
	if r.isSlow(firstToken) {
		r.RecordColdStart(epoch)
		return
	}
	r.updateAverage(firstToken)
	r.responses++
	if r.responses < responsesPerStep {
		return
	}
	r.responses = 0
	r.level.Percent = uint8(min(FullPercent, max(firstStepPercent, 2*int(r.level.Percent))))
}

// RecordColdStart records that a request sent in the epoch showed a sign that
// the upstream has just started.
func (r *Ramp) RecordColdStart(epoch uint32) {
	if epoch != r.level.Epoch {
		return
	}
	r.level = Level{Epoch: epoch + 1}
	r.responses = 0
}

// Reset makes the upstream cold in a new epoch, so that responses to requests
// still running don't raise its level.
func (r *Ramp) Reset() { r.RecordColdStart(r.level.Epoch) }

func (r *Ramp) isSlow(firstToken time.Duration) bool {
	return r.samples >= minSamples && firstToken > minSlowFirstToken && firstToken > slowFirstTokenFactor*r.avgFirstToken
}

func (r *Ramp) updateAverage(firstToken time.Duration) {
	if r.samples == 0 {
		r.avgFirstToken = firstToken
	}
	r.samples++
	r.avgFirstToken += time.Duration(avgWeight * float64(firstToken-r.avgFirstToken))
}
