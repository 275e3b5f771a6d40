package cascade

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestEscalate(t *testing.T) {
	const objective = time.Second
	tests := []struct {
		name       string
		first      time.Duration // of the small model, on average
		larger     time.Duration // of the large model, on average
		confidence int
		elapsed    time.Duration
		want       bool
	}{
		{name: "low pressure, low confidence", first: 50 * time.Millisecond, larger: 200 * time.Millisecond, confidence: 30, want: true},
		{name: "low pressure, high confidence", first: 50 * time.Millisecond, larger: 200 * time.Millisecond, confidence: 80},
		{name: "high pressure", first: 600 * time.Millisecond, larger: 200 * time.Millisecond, confidence: 0},
		{name: "medium pressure, medium confidence", first: 250 * time.Millisecond, larger: 200 * time.Millisecond, confidence: 40},
		{name: "medium pressure, low confidence", first: 250 * time.Millisecond, larger: 200 * time.Millisecond, confidence: 10, want: true},
		{name: "larger model too late", first: 50 * time.Millisecond, larger: 200 * time.Millisecond, confidence: 30, elapsed: 800 * time.Millisecond},
		{name: "larger model too late, very low confidence", first: 50 * time.Millisecond, larger: 200 * time.Millisecond, confidence: 5, elapsed: 800 * time.Millisecond, want: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var e Escalator
			for range 200 {
				e.RecordLatency("draft/small", tt.first, objective, true)
				e.RecordLatency("draft/large", tt.larger, objective, false)
			}
			is.Equal(e.Escalate(EscalateParams{Confidence: tt.confidence, Elapsed: tt.elapsed, LatencyObjective: objective, LargerKind: "draft/large"}), tt.want)
		})
	}
}

// TestEscalateRecoversAfterOverload simulates a temporary overload: no larger
// model may be asked while answers are lost, and it must be asked again soon
// afterwards.
func TestEscalateRecoversAfterOverload(t *testing.T) {
	is := is.New(t)
	var e Escalator
	lowConfidence := EscalateParams{Confidence: 20, LatencyObjective: time.Second, LargerKind: "draft/large"}
	for range 50 {
		e.RecordLoss()
	}
	is.True(!e.Escalate(lowConfidence))
	answers := 0
	for !e.Escalate(lowConfidence) {
		e.RecordLatency("draft/small", 50*time.Millisecond, time.Second, true)
		answers++
	}
	is.True(answers < 100) // about two seconds of a service's traffic
}

func TestEscalateWithoutObservations(t *testing.T) {
	is := is.New(t)
	var e Escalator
	is.True(e.Escalate(EscalateParams{Confidence: 20, LatencyObjective: time.Second, LargerKind: "draft/large"}))
}
