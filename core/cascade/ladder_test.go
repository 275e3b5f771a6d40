package cascade

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestLadder(t *testing.T) {
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
			var l Ladder
			for range 200 {
				l.Observe("draft/small", tt.first, target, true)
				l.Observe("draft/large", tt.larger, target, false)
			}
			is.Equal(l.Escalate(Question{Confidence: tt.confidence, Elapsed: tt.elapsed, Target: target, Larger: "draft/large"}), tt.want)
		})
	}
}

// TestLadderRecovers plays a load that is too high for a while: no larger model
// may be asked while answers are late, and it must be again soon afterwards.
func TestLadderRecovers(t *testing.T) {
	is := is.New(t)
	var l Ladder
	doubt := Question{Confidence: 20, Target: time.Second, Larger: "draft/large"}
	for range 50 {
		l.Lost()
	}
	is.True(!l.Escalate(doubt))
	answers := 0
	for !l.Escalate(doubt) {
		l.Observe("draft/small", 50*time.Millisecond, time.Second, true)
		answers++
	}
	is.True(answers < 100) // about two seconds of a service's traffic
}

func TestUnknownLadderAsksTheLargerModel(t *testing.T) {
	is := is.New(t)
	var l Ladder
	is.True(l.Escalate(Question{Confidence: 20, Target: time.Second, Larger: "draft/large"}))
}
