package exchange

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"banyanyard/core/placement"
	"banyanyard/core/refusal"
	"banyanyard/core/routing"
	_ "banyanyard/core/seeded"
	"banyanyard/core/trial"
	"banyanyard/io/http1"
	"banyanyard/io/jsonlog"
	"banyanyard/io/tunnel"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const testEvents = 5

// A fakeTransport draws a random outcome for each attempt and counts attempts.
type fakeTransport struct {
	t    *rapid.T
	runs int // attempts that an upstream began to run
	sent int // attempts of which at least one byte was sent
	// unsent is the number of attempts that another instance did not send.
	unsent int
}

func (f *fakeTransport) Send(_ context.Context, a *Attempt) (Answer, error) {
	outcomes := []string{"unreachable", "refused", "misdirected", "failed", "broken", "late", "answered", "answered"}
	if a.Detour != nil {
		outcomes = append(outcomes, "tunnel refused", "tunnel refused for upstream", "upstream closed", "upstream silent")
	}
	outcome := rapid.SampledFrom(outcomes).Draw(f.t, "outcome")
	if cause := unsentCause(a, outcome); cause != nil {
		if outcome != "unreachable" {
			f.unsent++
		}
		return nil, &http1.UnreachableError{Address: a.Upstream.Address, Cause: cause}
	}
	f.sent++
	head := Head{Status: http.StatusOK, Confidence: -1}
	switch outcome {
	case "refused":
		return &fakeAnswer{head: Head{Status: http.StatusServiceUnavailable, NotRun: true}}, nil
	case "misdirected":
		return &fakeAnswer{head: Head{Status: http.StatusMisdirectedRequest, Misdirected: true}}, nil
	}
	f.runs++
	switch outcome {
	case "failed":
		head.Status = http.StatusInternalServerError
	case "broken":
		return nil, &http1.BrokenError{Address: a.Upstream.Address, Cause: io.ErrUnexpectedEOF}
	case "late":
		return &fakeAnswer{head: head, after: a.LastEventID, breaksAt: rapid.IntRange(1, testEvents).Draw(f.t, "breaks-at")}, nil
	}
	if len(a.Request.Route.Models) > 0 {
		head.Confidence = rapid.IntRange(0, 100).Draw(f.t, "confidence")
	}
	return &fakeAnswer{head: head, after: a.LastEventID}, nil
}

// unsentCause returns the cause of an outcome without a connection; nil if there is one.
func unsentCause(a *Attempt, outcome string) error {
	switch outcome {
	case "unreachable":
		return errors.New("no route")
	case "tunnel refused":
		return &tunnel.RefusedError{Instance: a.Detour.Peer.Tunnel, Cause: errors.New("403: too many tunnels")}
	case "tunnel refused for upstream":
		return &tunnel.RefusedError{Instance: a.Detour.Peer.Tunnel, ForUpstream: true, Cause: errors.New("403: upstream is not known")}
	case "upstream closed":
		return &tunnel.UpstreamError{Instance: a.Detour.Peer.Tunnel, Upstream: a.Upstream.ID, Cause: syscall.ECONNREFUSED}
	case "upstream silent":
		return &tunnel.UpstreamError{Instance: a.Detour.Peer.Tunnel, Upstream: a.Upstream.ID, Cause: os.ErrDeadlineExceeded}
	}
	return nil
}

// A fakeAnswer is a stream of testEvents events, or a short body.
type fakeAnswer struct {
	head     Head
	after    string
	breaksAt int // number of the event before which the stream breaks; 0 for a whole answer
}

var errFakeBroken = &http1.BrokenError{Address: "fake", Cause: io.ErrUnexpectedEOF}

func (a *fakeAnswer) Head() Head { return a.head }
func (a *fakeAnswer) Close()     {}

func (a *fakeAnswer) NextEvent(time.Duration) (Event, error) {
	n := 0
	if a.after != "" {
		if _, err := fmt.Sscan(a.after, &n); err != nil {
			return Event{}, err
		}
	}
	n++
	if n > testEvents {
		return Event{}, io.EOF
	}
	if n == a.breaksAt {
		return Event{}, errFakeBroken
	}
	a.after = fmt.Sprint(n)
	return Event{ID: a.after, Data: []byte(a.after)}, nil
}

func (a *fakeAnswer) ReadBody(int, time.Duration) ([]byte, error) {
	if a.breaksAt > 0 {
		return nil, errFakeBroken
	}
	return []byte("whole"), nil
}

// A fakeWriter records what a caller received.
type fakeWriter struct {
	status int
	events string
	ended  bool
}

func (o *fakeWriter) WriteAnswer(h Head, _ []byte) error {
	o.status = h.Status
	o.ended = true
	return nil
}

func (o *fakeWriter) BeginStream(h Head) error {
	o.status = h.Status
	return nil
}

func (o *fakeWriter) WriteEvent(data []byte) error {
	o.events += string(data)
	return nil
}

func (o *fakeWriter) EndStream() error {
	o.ended = true
	return nil
}

func newTestRouter(upstreams int) *Router {
	r := New("i0", "d0")
	r.Log = jsonlog.New(io.Discard)
	r.Metrics = NewMetrics()
	r.Bounds = Bounds{RetryRatio: 100, RetrySlack: 1000, RetryWindow: 10 * time.Second, Trial: trial.Bounds{ExposeShare: 0.15, SessionTimeout: 5 * time.Second}}
	r.SetTable(routing.New(routing.Table{Version: 1, Services: []routing.Service{{Name: "s"}}}))
	r.WithFleet(func(now time.Time, f *placement.Fleet) {
		for i := range upstreams {
			f.Register(now, placement.Upstream{ID: fmt.Sprint("u", i), Service: "s", Address: fmt.Sprint(i), FailureDomain: fmt.Sprint("d", i%3), Version: "v1", Slots: 4})
		}
	})
	return r
}

// detourRandom adds other instances, and makes connections to some upstreams go through
// these.
func detourRandom(t *rapid.T, r *Router, upstreams int) {
	ids := []string{"a", "b", "c"}[:rapid.IntRange(0, 3).Draw(t, "peers")]
	addPeers(r, ids...)
	if len(ids) == 0 {
		return
	}
	var addresses []string
	for i := range upstreams {
		if rapid.Bool().Draw(t, "detoured") {
			addresses = append(addresses, fmt.Sprint(i))
		}
	}
	loseTestPaths(r, addresses...)
	for _, id := range ids[1:] {
		answerReached(r, id, addresses...)
	}
}

// runRandom answers one request on the route with random outcomes. It returns the
// transport, what the caller received, and the error.
func runRandom(t *rapid.T, route *routing.Route) (*fakeTransport, *fakeWriter, error) {
	upstreams := rapid.IntRange(0, 6).Draw(t, "upstreams")
	r := newTestRouter(upstreams)
	defer r.Log.Close()
	detourRandom(t, r, upstreams)
	f := &fakeTransport{t: t}
	r.Transport = f
	out := &fakeWriter{}
	q := &Request{ID: "1", Route: route, Service: "s", Method: http.MethodPost, Target: "/", Arrived: time.Now(), Deadline: time.Now().Add(time.Minute)}
	err := r.Run(context.Background(), q, out)
	return f, out, err
}

// checkGuarantees checks the guarantees for all kinds of requests.
func checkGuarantees(route *routing.Route, f *fakeTransport, out *fakeWriter, err error) error {
	var refused *refusal.Error
	switch {
	case errors.As(err, &refused) && refused.Execution == refusal.NotRun && !errors.Is(err, ErrTruncated) && f.runs > 0:
		return fmt.Errorf("the refusal %q says not run, but %d attempts ran", refused, f.runs)
	case errors.As(err, &refused) && refused.Execution != refusal.NotRun && f.sent == 0:
		return fmt.Errorf("the refusal %q says that the request may have run, but nothing was sent", refused)
	case err == nil && !out.ended:
		return errors.New("the caller received neither a whole answer nor an error")
	case err != nil && out.ended:
		return fmt.Errorf("the answer was ended as complete despite the error: %w", err)
	case f.sent > route.MaxAttempts:
		return fmt.Errorf("%d attempts were sent, at most %d are allowed", f.sent, route.MaxAttempts)
	case route.Kind.Streaming():
		return checkEvents(out)
	}
	return nil
}

func checkEvents(out *fakeWriter) error {
	switch {
	case out.events != "12345"[:len(out.events)]:
		return fmt.Errorf("the caller received the events %q, want a prefix of 12345", out.events)
	case out.ended && out.status == http.StatusOK && len(out.events) != testEvents:
		return fmt.Errorf("the stream was ended as complete after the events %q", out.events)
	}
	return nil
}

func checkAtMostOnce(f *fakeTransport) error {
	if f.runs > 1 {
		return fmt.Errorf("the request ran %d times, want at most once", f.runs)
	}
	return nil
}

// TestGuaranteesUnderRandomOutcomes checks the guarantees for requests of each kind
// against upstreams with random outcomes.
func TestGuaranteesUnderRandomOutcomes(t *testing.T) {
	for kind := routing.NonIdempotent; kind <= routing.ResumableStream; kind++ {
		t.Run(kind.String(), func(t *testing.T) {
			unsent := 0
			rapid.Check(t, func(t *rapid.T) {
				route := &routing.Route{Name: "r", Kind: kind, MaxAttempts: rapid.IntRange(1, 4).Draw(t, "max-attempts"), GapTarget: time.Second, Split: []routing.Share{{Service: "s"}}}
				if kind.Streaming() && rapid.Bool().Draw(t, "sizes") {
					route.Models = []string{"small", "large"}
				}
				f, out, err := runRandom(t, route)
				unsent += f.unsent
				if err := checkGuarantees(route, f, out, err); err != nil {
					t.Fatal(err)
				}
				if !kind.Repeatable() {
					if err := checkAtMostOnce(f); err != nil {
						t.Fatal(err)
					}
				}
			})
			is.New(t).True(unsent > 0) // attempts took detours
		})
	}
}

// TestCheckAtMostOnceDetectsRepeats checks that the random outcomes make a request
// run twice if its kind wrongly allows that, and that checkAtMostOnce detects it.
func TestCheckAtMostOnceDetectsRepeats(t *testing.T) {
	found := false
	rapid.Check(t, func(t *rapid.T) {
		if found {
			return
		}
		f, _, _ := runRandom(t, &routing.Route{Name: "r", Kind: routing.Idempotent, MaxAttempts: 3, Split: []routing.Share{{Service: "s"}}})
		found = checkAtMostOnce(f) != nil
	})
	is.New(t).True(found)
}

func TestRetryUsesCurrentFleet(t *testing.T) {
	is := is.New(t)
	r := newTestRouter(2)
	defer r.Log.Close()
	var triedIDs []string
	r.Transport = transportFunc(func(a *Attempt) (Answer, error) {
		triedIDs = append(triedIDs, a.Upstream.ID)
		// Take the failure domains of both upstreams out while this attempt runs.
		r.WithFleet(func(_ time.Time, f *placement.Fleet) {
			f.SetDomainDisabled("d0", true)
			f.SetDomainDisabled("d1", true)
		})
		return &fakeAnswer{head: Head{Status: http.StatusServiceUnavailable, NotRun: true}}, nil
	})
	q := &Request{ID: "1", Route: &routing.Route{Name: "r", Kind: routing.Idempotent, MaxAttempts: 3}, Service: "s", Arrived: time.Now(), Deadline: time.Now().Add(time.Minute)}
	err := r.Run(context.Background(), q, &fakeWriter{})
	var refused *refusal.Error
	is.True(errors.As(err, &refused))
	is.Equal(refused.Kind, refusal.NoUpstream)
	is.True(refused.RetryAfter > 0)
	is.Equal(len(triedIDs), 1)
}

// TestRequestsWaitUntilUpstreamsAreKnown checks that an instance which has its
// configuration, but is still reading the registrations, lets requests wait for an
// upstream.
func TestRequestsWaitUntilUpstreamsAreKnown(t *testing.T) {
	tests := []struct {
		name  string
		known bool
		want  refusal.Kind // empty for an answer
	}{
		{name: "registrations not read yet"},
		{name: "no registrations", known: true, want: refusal.NoUpstream},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := newTestRouter(0)
				defer r.Log.Close()
				if tt.known {
					r.SetUpstreamsKnown()
				}
				r.Transport = transportFunc(func(*Attempt) (Answer, error) { return &fakeAnswer{head: Head{Status: http.StatusOK}}, nil })
				time.AfterFunc(300*time.Millisecond, func() {
					r.WithFleet(func(now time.Time, f *placement.Fleet) { f.Register(now, placement.Upstream{ID: "u", Service: "s"}) })
				})
				start := time.Now()
				q := &Request{ID: "1", Route: &routing.Route{Name: "r", Kind: routing.Idempotent, MaxAttempts: 3, LatencyObjective: time.Second}, Service: "s", Arrived: start, Deadline: start.Add(time.Minute)}
				err := r.Run(context.Background(), q, &fakeWriter{})
				var refused *refusal.Error
				if errors.As(err, &refused) {
					is.Equal(refused.Kind, tt.want)
					is.Equal(time.Since(start), time.Duration(0)) // at once
				} else {
					is.NoErr(err)
					is.Equal(tt.want, refusal.Kind(""))
				}
			})
		})
	}
}

type transportFunc func(a *Attempt) (Answer, error)

func (f transportFunc) Send(_ context.Context, a *Attempt) (Answer, error) { return f(a) }

// TestNoAttemptOnOldVersionAfterMove checks that a request is refused rather than
// sent to the old version once all traffic has moved. From then on, the end of the
// roll-out may be recorded and the old version shut down.
func TestNoAttemptOnOldVersionAfterMove(t *testing.T) {
	is := is.New(t)
	r := newTestRouter(2) // of the old version only
	defer r.Log.Close()
	r.StartTrial(trial.Order{Service: "s", To: "v2", Revision: 1, Duration: time.Nanosecond})
	r.LearnSummary("s", trial.Summary{To: "v2", Good: 100, Elapsed: time.Second, MoveAt: 1})
	r.Transport = transportFunc(func(*Attempt) (Answer, error) { return &fakeAnswer{head: Head{Status: http.StatusOK}}, nil })
	q := &Request{ID: "1", Route: &routing.Route{Name: "r", Kind: routing.Idempotent, MaxAttempts: 3}, Service: "s", Arrived: time.Now(), Deadline: time.Now().Add(time.Minute)}
	var refused *refusal.Error
	is.True(errors.As(r.Run(context.Background(), q, &fakeWriter{}), &refused))
	is.Equal(refused.Execution, refusal.NotRun)
}

func TestSetTableKeepsNewest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New("i0", "d0")
		newest := int64(0)
		for range rapid.IntRange(1, 20).Draw(t, "tables") {
			v := rapid.Int64Range(1, 30).Draw(t, "version")
			replaced := r.SetTable(routing.New(routing.Table{Version: v}))
			if replaced != (v > newest) {
				t.Fatalf("SetTable(version %d) = %v with version %d in use", v, replaced, newest)
			}
			newest = max(newest, v)
			if got := r.Table().Version; got != newest {
				t.Fatalf("Table().Version = %d, want the newest, %d", got, newest)
			}
		}
	})
}
