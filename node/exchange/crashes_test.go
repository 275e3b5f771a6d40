package exchange

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"banyanyard/core/refusal"
	"banyanyard/core/routing"
	"banyanyard/core/suspect"
	"banyanyard/io/http1"

	"github.com/matryer/is"
)

// An echoingStore is a VerdictStore whose rows come back to the instance before the write
// that made them has returned.
type echoingStore struct{ coordinator *CrashCoordinator }

func (s echoingStore) Write(_ context.Context, v suspect.Verdict) error {
	s.coordinator.ApplyStored(v)
	return nil
}

func (echoingStore) Newest(string) uint64 { return 0 }

// TestProbeIsSentThoughItsRowComesBackFirst checks that the instance which has written a
// probe to the store sends it, also if it has already learnt of it from the store.
func TestProbeIsSentThoughItsRowComesBackFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newTestRouter(6)
		defer r.Log.Close()
		coordinator := &CrashCoordinator{Router: r, Instance: "i0"}
		r.Verdicts = echoingStore{coordinator}
		request := func(n int) *Request {
			return &Request{ID: fmt.Sprint(n), Route: &routing.Route{Name: "r", Kind: routing.Idempotent, MaxAttempts: 1}, Service: "s", Organisation: "o", Body: []byte(fmt.Sprint(n)),
				Prompt: Prompt{Parts: []PromptPart{{ID: "fatal"}, {ID: fmt.Sprint("own-", n)}}}, Arrived: time.Now(), Deadline: time.Now().Add(time.Minute)}
		}
		d := describe(request(0))
		v := suspect.Verdict{Traits: suspect.Traits{"organisation=o", "part=fatal", "service=s"}, Crashes: 3, Epoch: 1}
		is.True(d.Traits().HasAll(v.Traits))
		coordinator.ApplyStored(v)
		sent := 0
		r.Transport = transportFunc(func(a *Attempt) (Answer, error) {
			sent++
			return nil, &http1.BrokenError{Address: a.Upstream.Address, Cause: io.ErrUnexpectedEOF}
		})
		is.True(r.Run(t.Context(), request(1), &fakeWriter{}) != nil)
		is.Equal(sent, 0)
		time.Sleep(time.Minute)
		is.True(r.Run(t.Context(), request(2), &fakeWriter{}) != nil)
		is.Equal(sent, 1) // the probe
		is.True(r.Run(t.Context(), request(3), &fakeWriter{}) != nil)
		is.Equal(sent, 1)
	})
}

// A silentStore is a VerdictStore that does not answer.
type silentStore struct{ writes int }

func (s *silentStore) Write(ctx context.Context, _ suspect.Verdict) error {
	s.writes++
	<-ctx.Done()
	return ctx.Err()
}

func (*silentStore) Newest(string) uint64 { return 0 }

// TestRefusalsDoNotWaitForTheStore checks that requests are refused at once when a probe is
// due and the store does not answer, but for one now and then.
func TestRefusalsDoNotWaitForTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newTestRouter(6)
		defer r.Log.Close()
		store := &silentStore{}
		r.Verdicts = store
		(&CrashCoordinator{Router: r, Instance: "i0"}).ApplyStored(suspect.Verdict{Traits: suspect.Traits{"part=fatal", "service=s"}, Crashes: 3, Epoch: 1})
		time.Sleep(time.Minute)
		slow := 0
		for n := range 20 {
			q := &Request{ID: fmt.Sprint(n), Route: &routing.Route{Name: "r", Kind: routing.Idempotent, MaxAttempts: 1}, Service: "s",
				Prompt: Prompt{Parts: []PromptPart{{ID: "fatal"}, {ID: fmt.Sprint("own-", n)}}}, Arrived: time.Now(), Deadline: time.Now().Add(time.Minute)}
			begin := time.Now()
			is.True(r.Run(t.Context(), q, &fakeWriter{}) != nil)
			if time.Since(begin) > 0 {
				slow++
			}
			time.Sleep(100 * time.Millisecond)
		}
		is.Equal(slow, 1)
		is.Equal(store.writes, 1)
	})
}

// TestVerdictIsEnforcedWhileTheStoreIsSilent checks that a store which does not answer
// delays no verdict.
func TestVerdictIsEnforcedWhileTheStoreIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newTestRouter(12)
		defer r.Log.Close()
		r.Verdicts = &silentStore{}
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go (&CrashCoordinator{Router: r, Instance: "i0"}).Run(ctx)
		r.Transport = transportFunc(func(a *Attempt) (Answer, error) {
			time.Sleep(50 * time.Millisecond)
			if a.Request.Prompt.Parts[0].ID == "fatal" {
				return nil, &http1.BrokenError{Address: a.Upstream.Address, Cause: io.ErrUnexpectedEOF}
			}
			return &fakeAnswer{head: Head{Status: http.StatusOK}}, nil
		})
		n := 0
		run := func(part string) error {
			n++
			q := &Request{ID: fmt.Sprint(n), Route: &routing.Route{Name: "r", Kind: routing.Idempotent, MaxAttempts: 3}, Service: "s", Body: []byte(fmt.Sprint(n)),
				Prompt: Prompt{Parts: []PromptPart{{ID: part}, {ID: fmt.Sprint("own-", n)}}}, Arrived: time.Now(), Deadline: time.Now().Add(time.Minute)}
			return r.Run(t.Context(), q, &fakeWriter{})
		}
		for _, part := range []string{"a", "b", "c"} {
			is.NoErr(run(part))
		}
		is.True(run("fatal") != nil)
		time.Sleep(3300 * time.Millisecond) // the upstreams are back
		is.True(run("fatal") != nil)
		time.Sleep(700 * time.Millisecond) // to evaluate the crashes, and for objections
		var refused *refusal.Error
		is.True(errors.As(run("fatal"), &refused))
		is.Equal(refused.Kind, refusal.CrashesUpstreams)
		is.NoErr(run("a"))
	})
}

// TestCrashingRequestWithoutPromptAccusesOnlyItself checks that a request without a prompt
// that crashes upstreams is refused, and others of its route are not.
func TestCrashingRequestWithoutPromptAccusesOnlyItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newTestRouter(9)
		defer r.Log.Close()
		coordinator := &CrashCoordinator{Router: r, Instance: "i0"}
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go coordinator.Run(ctx)
		r.Transport = transportFunc(func(a *Attempt) (Answer, error) {
			time.Sleep(50 * time.Millisecond)
			if a.Request.Target == "/fatal" {
				return nil, &http1.BrokenError{Address: a.Upstream.Address, Cause: io.ErrUnexpectedEOF}
			}
			return &fakeAnswer{head: Head{Status: http.StatusOK}}, nil
		})
		run := func(target string) error {
			q := &Request{ID: target, Route: &routing.Route{Name: "r", Kind: routing.Idempotent, MaxAttempts: 3}, Service: "s", Target: target, Arrived: time.Now(), Deadline: time.Now().Add(time.Minute)}
			return r.Run(t.Context(), q, &fakeWriter{})
		}
		is.True(run("/fatal") != nil)
		time.Sleep(time.Second)
		begin := time.Now()
		is.True(run("/fatal") != nil)
		is.Equal(time.Since(begin), time.Duration(0)) // refused at once
		is.NoErr(run("/sound"))
	})
}
