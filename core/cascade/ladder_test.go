package cascade

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestEscalate(t *testing.T) {
	const target = time.Second
	tests := []struct {
		name       string
		first      time.Duration // of the small model, on average
		larger     time.Duration // of the large model, on average
		confidence int
		elapsed    time.Duration
		want       bool
	}{
		{name: "calm and in doubt", first: 50 * time.Millisecond, larger: 200 * time.Millisecond, confidence: 30, want: true},
		{name: "calm and confident", first: 50 * time.Millisecond, larger: 200 * time.Millisecond, confidence: 80},
		{name: "strained", first: 600 * time.Millisecond, larger: 200 * time.Millisecond, confidence: 0},
		{name: "between, in some doubt", first: 250 * time.Millisecond, larger: 200 * time.Millisecond, confidence: 40},
		{name: "between, in much doubt", first: 250 * time.Millisecond, larger: 200 * time.Millisecond, confidence: 10, want: true},
		{name: "too late for the larger model", first: 50 * time.Millisecond, larger: 200 * time.Millisecond, confidence: 30, elapsed: 800 * time.Millisecond},
		{name: "too late, but hardly an answer", first: 50 * time.Millisecond, larger: 200 * time.Millisecond, confidence: 5, elapsed: 800 * time.Millisecond, want: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var l Escalator
			for range 200 {
				l.ObserveLatency("draft/small", tt.first, target, true)
				l.ObserveLatency("draft/large", tt.larger, target, false)
			}
			is.Equal(l.Escalate(EscalateParams{Confidence: tt.confidence, Elapsed: tt.elapsed, LatencyTarget: target, LargerKind: "draft/large"}), tt.want)
		})
	}
}

// TestEscalateRecoversAfterOverload plays a load that is too high for a while: no larger model
// may be asked while answers are late, and it must be again soon afterwards.
func TestEscalateRecoversAfterOverload(t *testing.T) {
	is := is.New(t)
	var l Escalator
	doubt := EscalateParams{Confidence: 20, LatencyTarget: time.Second, LargerKind: "draft/large"}
	for range 50 {
		l.ObserveLoss()
	}
	is.True(!l.Escalate(doubt))
	answers := 0
	for !l.Escalate(doubt) {
		l.ObserveLatency("draft/small", 50*time.Millisecond, time.Second, true)
		answers++
	}
	is.True(answers < 100) // about two seconds of a service's traffic
}

func TestEscalateWithoutObservations(t *testing.T) {
	is := is.New(t)
	var l Escalator
	is.True(l.Escalate(EscalateParams{Confidence: 20, LatencyTarget: time.Second, LargerKind: "draft/large"}))
}
