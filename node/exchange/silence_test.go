package exchange

import (
	"context"
	"net/http"
	"testing"
	"time"

	"banyanyard/core/routing"

	"github.com/matryer/is"
)

// TestWaitsEndOnlyForAnotherAttempt guards against requests that are given up because their
// upstream pauses although no other attempt can follow: such a wait has no bound but the
// deadline, and the connection bears a longer silence.
func TestWaitsEndOnlyForAnotherAttempt(t *testing.T) {
	tests := []struct {
		name     string
		kind     routing.RequestKind
		attempts int     // that the route allows
		ratio    float64 // of the retry budget
		bounded  []bool  // for each attempt
	}{
		{name: "non-idempotent", kind: routing.NonIdempotent, attempts: 3, ratio: 10, bounded: []bool{false}},
		{name: "stream", kind: routing.Stream, attempts: 3, ratio: 10, bounded: []bool{false}},
		{name: "idempotent", kind: routing.Idempotent, attempts: 3, ratio: 10, bounded: []bool{true, true, false}},
		{name: "resumable stream", kind: routing.ResumableStream, attempts: 2, ratio: 10, bounded: []bool{true, false}},
		{name: "no retry budget", kind: routing.ResumableStream, attempts: 3, bounded: []bool{false}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := newTestRouter(4)
			defer r.Log.Close()
			r.Bounds.RetryRatio, r.Bounds.RetrySlack = tt.ratio, 0
			r.SetUpstreamsKnown()
			var heads, silences, gaps []bool
			r.Transport = transportFunc(func(a *Attempt) (Answer, error) {
				heads = append(heads, a.HeadTimeout > 0)
				silences = append(silences, a.SilenceTimeout == 0)
				return &pausingAnswer{gaps: &gaps}, nil
			})
			route := &routing.Route{Name: "r", Kind: tt.kind, MaxAttempts: tt.attempts, GapTarget: time.Second, LatencyObjective: time.Second}
			q := &Request{ID: "1", Route: route, Service: "s", Arrived: time.Now(), Deadline: time.Now().Add(time.Minute)}
			is.True(r.Run(context.Background(), q, &fakeWriter{}) != nil)
			is.Equal(heads, tt.bounded)
			is.Equal(silences, tt.bounded)
			if tt.kind.Streaming() {
				is.Equal(gaps, tt.bounded)
			}
		})
	}
}

// A pausingAnswer breaks off, and records whether waits for its events are bounded.
type pausingAnswer struct{ gaps *[]bool }

func (a *pausingAnswer) Head() Head { return Head{Status: http.StatusOK, Confidence: -1} }
func (a *pausingAnswer) Close()     {}

func (a *pausingAnswer) NextEvent(gap time.Duration) (Event, error) {
	*a.gaps = append(*a.gaps, gap > 0)
	return Event{}, errFakeBroken
}

func (a *pausingAnswer) ReadBody(int, time.Duration) ([]byte, error) { return nil, errFakeBroken }
