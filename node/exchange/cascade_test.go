package exchange

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"banyanyard/core/routing"

	"github.com/matryer/is"
)

// A pacedAnswer is a stream whose events come at a steady pace until ctx is done.
type pacedAnswer struct {
	ctx    context.Context
	head   Head
	gap    time.Duration
	events int
	sent   int
}

func (a *pacedAnswer) Head() Head                                  { return a.head }
func (a *pacedAnswer) Close()                                      {}
func (a *pacedAnswer) ReadBody(int, time.Duration) ([]byte, error) { return nil, syscall.EINVAL }

func (a *pacedAnswer) NextEvent(time.Duration) (Event, error) {
	if a.sent == a.events {
		return Event{}, io.EOF
	}
	if a.sent > 0 {
		if err := sleep(a.ctx, a.gap); err != nil {
			return Event{}, err
		}
	}
	a.sent++
	return Event{ID: fmt.Sprint(a.sent), Data: []byte("x")}, nil
}

// A pacedTransport answers with the least confidence for small models. Its larger model
// takes a time for each event.
type pacedTransport struct {
	gap      time.Duration // of the larger model
	events   int
	breaksAt time.Duration // after which the larger model breaks before its first event; 0 for never
}

func (p *pacedTransport) Send(ctx context.Context, a *Attempt) (Answer, error) {
	answer := &pacedAnswer{ctx: ctx, head: Head{Status: http.StatusOK, Confidence: 30}, gap: 90 * time.Millisecond, events: p.events}
	wait := 200 * time.Millisecond
	if a.Model == "large" {
		answer.head.Confidence, answer.gap, wait = 90, p.gap, 500*time.Millisecond
		if p.breaksAt > 0 {
			if err := sleep(ctx, p.breaksAt); err != nil {
				return nil, err
			}
			return nil, errFakeBroken
		}
	}
	return answer, sleep(ctx, wait)
}

// answerReports has reports of 46 events answered one after the other by two models. It
// returns how many were answered, and by the larger model, after the first one.
func answerReports(t *testing.T, r *Router) (answered, larger int) {
	route := &routing.Route{Name: "report", Kind: routing.ResumableStream, MaxAttempts: 3, LatencyObjective: 6 * time.Second, GapTarget: 1200 * time.Millisecond, Models: []string{"small", "large"}, Split: []routing.Share{{Service: "s"}}}
	for i := range 7 {
		now := time.Now()
		q := &Request{ID: fmt.Sprint(i), Route: route, Service: "s", Method: http.MethodPost, Target: "/", Arrived: now, Deadline: now.Add(20 * time.Second)}
		out := &confidenceWriter{}
		err := r.Run(t.Context(), q, out)
		if i > 0 && err == nil {
			answered++
			if out.confidence == 90 {
				larger++
			}
		}
	}
	return answered, larger
}

// A confidenceWriter records the confidence of the answer that a caller received.
type confidenceWriter struct {
	fakeWriter
	confidence int
}

func (w *confidenceWriter) BeginStream(h Head) error {
	w.confidence = h.Confidence
	return w.fakeWriter.BeginStream(h)
}

// TestLargerModelMustEndBeforeDeadline checks that an answer which is on its way isn't
// dropped for a larger model that still writes when the deadline of 20 s passes.
func TestLargerModelMustEndBeforeDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		for _, gap := range []time.Duration{448 * time.Millisecond, 150 * time.Millisecond} {
			r := newTestRouter(6)
			defer r.Log.Close()
			r.Transport = &pacedTransport{gap: gap, events: 46}
			answered, larger := answerReports(t, r)
			is.Equal(answered, 6)
			is.Equal(larger == 6, gap == 150*time.Millisecond) // it is asked where it ends in time
		}
	})
}

// TestRetryAsksModelThatEnds checks that a request whose larger model breaks late is sent
// again to the smallest one, which still ends before the deadline.
func TestRetryAsksModelThatEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newTestRouter(6)
		defer r.Log.Close()
		transport := &pacedTransport{gap: 150 * time.Millisecond, events: 46}
		r.Transport = transport
		answerReports(t, r)
		transport.breaksAt = 14 * time.Second
		answered, larger := answerReports(t, r)
		is.Equal(answered, 6)
		is.Equal(larger, 0)
	})
}

// TestAnswerIsNotDroppedForOneThatCannotFollow guards against requests that fail although a
// smaller model has answered them: a larger one was to answer, and no upstream takes the request.
func TestAnswerIsNotDroppedForOneThatCannotFollow(t *testing.T) {
	tests := []struct {
		name  string
		pause time.Duration // for which the only upstream wants no other request
		stop  time.Duration // after which the instance ends; 0 for never
		asked int
		want  int // confidence of the answer
	}{
		{name: "larger model answers", asked: 2, want: 90},
		{name: "no upstream is free", pause: time.Minute, asked: 1, want: 30},
		{name: "instance stops", stop: time.Second, asked: 1, want: 30},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := newTestRouter(1)
				defer r.Log.Close()
				r.SetUpstreamsKnown()
				asked := 0
				r.Transport = contextTransport(func(ctx context.Context, a *Attempt) (Answer, error) {
					asked++
					answer := &pacedAnswer{ctx: ctx, head: Head{Status: http.StatusOK, Confidence: 30, Pause: tt.pause}, gap: 20 * time.Millisecond, events: 5}
					if a.Model == "large" {
						answer.head.Confidence = 90
					}
					if tt.stop > 0 {
						r.StopAt(time.Now().Add(tt.stop))
					}
					return answer, nil
				})
				route := &routing.Route{Name: "report", Kind: routing.ResumableStream, MaxAttempts: 3, LatencyObjective: time.Second, GapTarget: time.Second, Models: []string{"small", "large"}}
				out := &confidenceWriter{}
				is.NoErr(r.Run(t.Context(), &Request{ID: "1", Route: route, Service: "s", Method: http.MethodPost, Target: "/", Arrived: time.Now(), Deadline: time.Now().Add(20 * time.Second)}, out))
				is.Equal(out.confidence, tt.want)
				is.Equal(asked, tt.asked)
			})
		})
	}
}
