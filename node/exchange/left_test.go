package exchange

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"banyanyard/core/refusal"
	"banyanyard/core/routing"
	"banyanyard/io/http1"

	"github.com/matryer/is"
)

// TestStoppedAttemptIsNotTakenForCallerThatLeft guards against requests without an answer whose
// attempt was stopped while it connected.
func TestStoppedAttemptIsNotTakenForCallerThatLeft(t *testing.T) {
	tests := []struct {
		name       string
		callerLeft bool
	}{
		{name: "caller waits"},
		{name: "caller has left", callerLeft: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := newTestRouter(3)
			defer r.Log.Close()
			r.SetUpstreamsKnown()
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			r.Transport = contextTransport(func(ctx context.Context, a *Attempt) (Answer, error) {
				if tt.callerLeft {
					leave()
				}
				r.crashes.mu.Lock()
				for _, attempt := range r.crashes.running {
					attempt.cancel(errStopped)
				}
				r.crashes.mu.Unlock()
				_, err := (&net.Dialer{}).DialContext(ctx, "tcp", "127.0.0.1:1")
				return nil, &http1.UnreachableError{Address: a.Upstream.Address, Cause: err}
			})
			q := &Request{ID: "1", Route: &routing.Route{Name: "r", Kind: routing.Idempotent, MaxAttempts: 3}, Service: "s", Arrived: time.Now(), Deadline: time.Now().Add(time.Minute)}
			err := r.Run(ctx, q, &fakeWriter{})
			var refused *refusal.Error
			is.Equal(errors.As(err, &refused), !tt.callerLeft)
			is.Equal(errors.Is(err, ErrCallerLeft), tt.callerLeft)
		})
	}
}

// A contextTransport is a Transport that is a function.
type contextTransport func(ctx context.Context, a *Attempt) (Answer, error)

func (f contextTransport) Send(ctx context.Context, a *Attempt) (Answer, error) { return f(ctx, a) }
