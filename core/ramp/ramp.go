// Package ramp decides how much of its limit a starting upstream gets.
//
// A Level orders what is known about one upstream: its Epoch grows each time
// the upstream is found cold, and within an epoch the level rises as answers
// arrive. Instances exchange levels and keep the higher one, so Join is
// commutative, associative and idempotent, and the order in which heartbeats
// arrive does not matter.
//
// Invariant: evidence counts only in the epoch in which its request was sent.
package ramp

import (
	"cmp"
	"time"
)

// Full is the level of a warm upstream, in percent.
const Full = 100

// firstStep is the level after the first evidence, in percent.
const firstStep = 10

// answersPerStep is the number of answers that raise the level once.
const answersPerStep = 3

// A Level is the knowledge about one upstream. The zero Level is cold.
type Level struct {
	Epoch   uint32 `json:"epoch"`
	Percent uint8  `json:"percent"` // 0 is cold, Full is warm
}

// Join returns the newer of two levels.
func Join(a, b Level) Level {
	if c := cmp.Compare(a.Epoch, b.Epoch); c > 0 || c == 0 && a.Percent >= b.Percent {
		return a
	}
	return b
}

// Limit returns the number of requests allowed between the cold and the full
// limit.
func (l Level) Limit(cold, full int) int {
	if l.Percent >= Full {
		return full
	}
	return cold + max(0, full-cold)*int(l.Percent)/Full
}

// The bounds for taking a slow first token as a sign of a cold start.
const (
	slowFactor     = 8
	minSlow        = 2 * time.Second
	baselineWeight = 0.1 // weight of the newest sample in the moving average
	// minSamples is the number of answers before the average is trusted.
	minSamples = 5
)

// A Ramp follows one upstream from evidence and from other instances' levels.
// The zero Ramp is cold.
type Ramp struct {
	level    Level
	answers  int           // since the last step
	baseline time.Duration // moving average of the time to the first token
	samples  int
}

// Level returns the current level.
func (r *Ramp) Level() Level { return r.level }

// Merge takes another instance's level into account.
func (r *Ramp) Merge(other Level) {
	joined := Join(r.level, other)
	if joined != r.level {
		r.level = joined
		r.answers = 0
	}
}

// Answered records a whole answer to a request that was sent in the epoch,
// with the time to its first token.
func (r *Ramp) Answered(epoch uint32, firstToken time.Duration) {
	if epoch != r.level.Epoch {
		return
	}
	if r.slow(firstToken) {
		r.Cold(epoch)
		return
	}
	r.learn(firstToken)
	r.answers++
	if r.answers < answersPerStep {
		return
	}
	r.answers = 0
	r.level.Percent = uint8(min(Full, max(firstStep, 2*int(r.level.Percent))))
}

// Cold records a sign, seen by a request sent in the epoch, that the upstream
// has just started.
func (r *Ramp) Cold(epoch uint32) {
	if epoch != r.level.Epoch {
		return
	}
	r.level = Level{Epoch: epoch + 1}
	r.answers = 0
}

// Restart makes the upstream cold regardless of running requests.
func (r *Ramp) Restart() { r.Cold(r.level.Epoch) }

func (r *Ramp) slow(firstToken time.Duration) bool {
	return r.samples >= minSamples && firstToken > minSlow && firstToken > slowFactor*r.baseline
}

func (r *Ramp) learn(firstToken time.Duration) {
	if r.samples == 0 {
		r.baseline = firstToken
	}
	r.samples++
	r.baseline += time.Duration(baselineWeight * float64(firstToken-r.baseline))
}
