package exchange

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"banyanyard/core/load"
	"banyanyard/core/placement"
	"banyanyard/core/refusal"
	"banyanyard/core/routing"

	"github.com/matryer/is"
)

// An idleTransport answers nothing and keeps the times at which requests are sent.
type idleTransport struct{ sentAt []time.Time }

func (t *idleTransport) Send(ctx context.Context, _ *Attempt) (Answer, error) {
	t.sentAt = append(t.sentAt, time.Now())
	<-ctx.Done()
	return nil, context.Cause(ctx)
}

// newBusyRouter returns a router of a large deployment whose upstreams have prompts to read.
func newBusyRouter(unread time.Duration) (*Router, *idleTransport) {
	r, transport := newTestRouter(3), &idleTransport{}
	r.Transport = transport
	r.WithFleet(func(now time.Time, f *placement.Fleet) {
		var names []string
		for i := range 20 {
			names = append(names, fmt.Sprint("i", i))
		}
		f.SetInstances(names)
		f.SetLoad(now, load.Sum{Instances: 20})
		room, _ := f.Room(now, "s", false)
		news := load.Sum{Instances: 20, Unread: map[string]int{}}
		for i := range 3 {
			news.Unread[fmt.Sprint("u", i)] = int(unread / room.PerToken / load.UnreadUnit)
		}
		f.SetLoad(now, news)
	})
	return r, transport
}

func streamRequest(priority int, objective, left time.Duration) *Request {
	return &Request{
		ID: "q", Service: "s", Priority: priority, Prompt: Prompt{Tokens: 500},
		Route:   &routing.Route{Name: "r", Kind: routing.ResumableStream, LatencyObjective: objective, MaxAttempts: 1},
		Arrived: time.Now(), Deadline: time.Now().Add(left),
	}
}

// TestHeldRequestIsBounded holds a request behind a more urgent kind until its bound, or until its
// caller leaves or the instance stops.
func TestHeldRequestIsBounded(t *testing.T) {
	tests := []struct {
		name        string
		leave       time.Duration // when the caller leaves; 0 for never
		stop        bool
		least, most time.Duration // for which it is held; 0 if it is not sent
	}{
		{name: "it is held until its bound", least: holdInterval, most: 2*time.Second + holdInterval},
		{name: "caller leaves", leave: 100 * time.Millisecond},
		{name: "the instance stops", stop: true, most: holdInterval},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r, transport := newBusyRouter(1200 * time.Millisecond)
				defer r.Log.Close()
				urgent := &execution{router: r, request: streamRequest(0, time.Second, 5*time.Second)}
				is.NoErr(urgent.admit(t.Context()))
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if tt.leave > 0 {
					time.AfterFunc(tt.leave, cancel)
				}
				if tt.stop {
					r.StopAt(time.Now().Add(time.Minute))
				}
				began := time.Now()
				is.True(r.Run(ctx, streamRequest(2, 8*time.Second, 20*time.Second), &fakeWriter{}) != nil)
				if tt.leave > 0 {
					is.Equal(time.Since(began), tt.leave)
					is.Equal(len(transport.sentAt), 0)
					return
				}
				held := transport.sentAt[0].Sub(began)
				is.True(held >= tt.least)
				is.True(held <= tt.most)
			})
		})
	}
}

// TestHopelessRequestIsRefused refuses a request that no upstream begins with in time.
func TestHopelessRequestIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r, transport := newBusyRouter(20 * time.Second)
		defer r.Log.Close()
		err := r.Run(t.Context(), streamRequest(0, time.Second, 5*time.Second), &fakeWriter{})
		var refused *refusal.Error
		is.True(errors.As(err, &refused))
		is.Equal(refused.Execution, refusal.NotRun)
		is.True(refused.RetryAfter > 0 && refused.RetryAfter <= 5*time.Second/3)
		is.Equal(len(transport.sentAt), 0)
	})
}
