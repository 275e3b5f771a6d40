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
				e.RecordLatency(Attempt{"draft", "small"}, 100, tt.first, objective, true)
				e.RecordLatency(Attempt{"draft", "large"}, 100, tt.larger, objective, false)
			}
			d := e.Escalate(EscalateParams{Kind: "draft", Model: "small", Smallest: "small", Larger: []string{"large"}, Confidence: tt.confidence, PromptTokens: 100, Elapsed: tt.elapsed, LatencyObjective: objective})
			is.Equal(d.Model == "large", tt.want)
			is.Equal(d.Reason == Escalated, tt.want)
		})
	}
}

// TestEscalateRecoversAfterOverload simulates a temporary overload: no larger
// model may be asked while answers are lost, and it must be asked again soon
// afterwards.
func TestEscalateRecoversAfterOverload(t *testing.T) {
	is := is.New(t)
	var e Escalator
	lowConfidence := EscalateParams{Kind: "draft", Larger: []string{"large"}, Confidence: 20, LatencyObjective: time.Second}
	for range 50 {
		e.RecordLoss()
	}
	is.True(e.Escalate(lowConfidence).Model == "")
	answers := 0
	for e.Escalate(lowConfidence).Model == "" {
		e.RecordLatency(Attempt{"draft", "small"}, 100, 50*time.Millisecond, time.Second, true)
		answers++
	}
	is.True(answers < 100) // about two seconds of a service's traffic
}

func TestEscalateWithoutObservations(t *testing.T) {
	is := is.New(t)
	var e Escalator
	is.Equal(e.Escalate(EscalateParams{Kind: "draft", Larger: []string{"large"}, Confidence: 20, LatencyObjective: time.Second}).Model, "large")
}

// TestEscalateWeighsRestOfAnswer checks decisions on an answer of about 46 events.
func TestEscalateWeighsRestOfAnswer(t *testing.T) {
	tests := []struct {
		name       string
		gap, pause time.Duration // of the large model
		length     Length
		want       Reason
	}{
		{name: "ends and does not pause", gap: 100 * time.Millisecond, pause: 300 * time.Millisecond, length: Length{Hint: 368, Max: 952}, want: Escalated},
		{name: "still writes at the deadline", gap: 448 * time.Millisecond, pause: 500 * time.Millisecond, length: Length{Hint: 368, Max: 952}, want: EndsLate},
		{name: "may still write at the deadline", gap: 330 * time.Millisecond, pause: 500 * time.Millisecond, length: Length{Hint: 368, Max: 952}, want: EndsLate},
		{name: "estimate of a short answer", gap: 448 * time.Millisecond, pause: 500 * time.Millisecond, length: Length{Hint: 96, Max: 952}, want: Escalated},
		{name: "estimate beyond the maximum", gap: 448 * time.Millisecond, pause: 500 * time.Millisecond, length: Length{Hint: 700, Max: 96}, want: Escalated},
		{name: "pauses too long", gap: 100 * time.Millisecond, pause: 1500 * time.Millisecond, length: Length{Hint: 368, Max: 952}, want: Pauses},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Unix(0, 0)
			var e Escalator
			for range 100 {
				e.RecordLength("report", Length{Hint: 160}, 20, false)
				e.RecordSpan(now, "small", "small", 90*time.Millisecond, 100*time.Millisecond)
				e.RecordSpan(now, "large", "small", tt.gap, tt.pause)
				e.RecordLatency(Attempt{"report", "large"}, 6000, time.Second, 6*time.Second, false)
			}
			d := e.Escalate(EscalateParams{
				Now: now, Kind: "report", Model: "small", Smallest: "small", Larger: []string{"large"},
				PromptTokens: 6000, Length: tt.length, TimeLeft: 18400 * time.Millisecond, LatencyObjective: 6 * time.Second, GapTarget: 1200 * time.Millisecond,
			})
			is.New(t).Equal(d.Reason, tt.want)
		})
	}
}

// TestPaceFollowsReference checks that the pace of a model that isn't asked any more
// follows that of another one, so that it is asked again once the load is over.
func TestPaceFollowsReference(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	var f Forecast
	outlook := func() Outlook {
		return f.Outlook(now, "large", "small", "report", Length{Hint: 160}, time.Second, 10*time.Second)
	}
	is.Equal(outlook(), Outlook{Chance: 1}) // nothing is known
	f.RecordLength("report", Length{Hint: 160}, 20, false)
	f.RecordSpan(now, "small", "small", 400*time.Millisecond, 0)
	f.RecordSpan(now, "large", "small", 800*time.Millisecond, 0)
	slow := outlook()
	is.True(slow.Chance < minEndChance)
	now = now.Add(paceAge + time.Second)
	is.True(outlook().Chance < minEndChance)
	f.RecordSpan(now, "small", "small", 50*time.Millisecond, 0)
	is.True(outlook().Chance > minEndChance)
	is.Equal(outlook().Age, paceAge+time.Second)
}

// TestLengthOfCutAnswersCounts checks that answers which are cut off before they are as
// long as usual don't make them seem short.
func TestLengthOfCutAnswersCounts(t *testing.T) {
	is := is.New(t)
	var f Forecast
	for range 20 {
		f.RecordLength("report", Length{}, 40, false)
		f.RecordLength("report", Length{}, 3, true)
	}
	events, _ := f.events("report", Length{})
	is.True(events > 39)
	for range 20 {
		f.RecordLength("report", Length{}, 80, true)
	}
	longer, _ := f.events("report", Length{})
	is.True(longer > events)
}

// TestMiddleModelNearTarget checks that the smallest of the larger models is asked that is
// expected to be confident enough.
func TestMiddleModelNearTarget(t *testing.T) {
	is := is.New(t)
	var e Escalator
	ask := func(confidence int) string {
		return e.Escalate(EscalateParams{Kind: "report", Model: "small", Larger: []string{"middle", "large"}, Confidence: confidence}).Model
	}
	is.Equal(ask(45), "middle") // unknown, so it is tried where little is missing
	is.Equal(ask(20), "large")
	for range 100 {
		e.RecordStep("small", "middle", 40, 45)
		e.RecordStep("small", "middle", 40, 55)
		e.RecordStep("small", "middle", 0, 40)   // not known how much more
		e.RecordStep("small", "middle", 60, 100) // the same
	}
	is.Equal(ask(44), "middle")
	is.Equal(ask(41), "large")
	for e.Pressure() < (lowPressure+highPressure)/2 {
		e.RecordLoss()
	}
	is.Equal(ask(41), "") // strained
	for e.Pressure() > (lowPressure+highPressure)/4 {
		e.RecordLatency(Attempt{"report", "small"}, 100, 0, time.Second, true)
	}
	is.Equal(ask(41), "middle") // a little
}
