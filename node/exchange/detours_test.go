package exchange

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"banyanyard/core/member"
	"banyanyard/core/placement"
	"banyanyard/core/reach"
	"banyanyard/core/routing"
	"banyanyard/core/trial"
	"banyanyard/io/http1"
	"banyanyard/io/tunnel"

	"github.com/matryer/is"
)

// loseAllPaths makes a router conclude that all its paths are lost, and that the instances
// with the given IDs reach the upstreams.
func loseAllPaths(r *Router, ids ...string) {
	var members []member.Status
	for _, id := range ids {
		members = append(members, member.Status{Identity: member.Identity{ID: id, Instance: id, Address: id, TunnelAddress: id, FailureDomain: "d1"}})
	}
	r.SetPeers(members, func(member.Status) bool { return true })
	r.RecordDial("0", syscall.ECONNREFUSED, 0)
	r.RecordDial("1", syscall.ECONNREFUSED, 0)
	time.Sleep(time.Millisecond)
	for _, id := range ids {
		r.handleAnswer(reach.Peer{ID: id, Instance: id, Tunnel: id, FailureDomain: "d1"}, &reach.Question{At: time.Now()}, reach.Answer{})
	}
}

// directlyRefused returns the error of a direct attempt of an instance that is cut off.
func directlyRefused(a *Attempt) error {
	return &http1.UnreachableError{Address: a.Upstream.Address, Cause: syscall.ECONNREFUSED}
}

// send sends an idempotent request and returns its error.
func send(t *testing.T, r *Router) error {
	route := &routing.Route{Name: "look", Kind: routing.Idempotent, MaxAttempts: 3, LatencyObjective: 200 * time.Millisecond}
	return r.Run(t.Context(), &Request{ID: "1", Route: route, Service: "s", Method: http.MethodGet, Target: "/", Arrived: time.Now(), Deadline: time.Now().Add(time.Second)}, &fakeWriter{})
}

// TestRefusalOfOneUpstreamLeavesOthersReachable guards against an instance that is left out for all
// upstreams because it refuses to connect to one of them.
func TestRefusalOfOneUpstreamLeavesOthersReachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newTestRouter(2)
		defer r.Log.Close()
		r.SetUpstreamsKnown()
		refused := 0
		r.Transport = contextTransport(func(_ context.Context, a *Attempt) (Answer, error) {
			switch {
			case a.Detour == nil:
				return nil, directlyRefused(a)
			case a.Upstream.ID == "u0":
				refused++
				return nil, &http1.UnreachableError{Address: a.Upstream.Address, Cause: &tunnel.RefusedError{Instance: a.Detour.Peer.Tunnel, ForUpstream: true, Cause: syscall.EINVAL}}
			}
			return &wholeAnswer{}, nil
		})
		loseAllPaths(r, "b")
		for range 20 {
			is.NoErr(send(t, r))
			time.Sleep(50 * time.Millisecond)
		}
		is.True(refused >= 1 && refused <= 3) // it is not asked for that upstream each time
	})
}

// A wholeAnswer is an answer with an empty body.
type wholeAnswer struct{}

func (wholeAnswer) Head() Head                                  { return Head{Status: http.StatusOK} }
func (wholeAnswer) Close()                                      {}
func (wholeAnswer) ReadBody(int, time.Duration) ([]byte, error) { return []byte{}, nil }
func (wholeAnswer) NextEvent(time.Duration) (Event, error)      { return Event{}, syscall.EINVAL }

// TestLostInstanceIsNotBlamedOnUpstreams guards against upstreams that count as unreachable
// because another instance has lost its own paths, or power, and does not know it yet.
func TestLostInstanceIsNotBlamedOnUpstreams(t *testing.T) {
	tests := []struct {
		name string
		err  func(a *Attempt) error
	}{
		{name: "it cannot connect to upstreams", err: func(a *Attempt) error {
			return &http1.UnreachableError{Address: a.Upstream.Address, Cause: &tunnel.UpstreamError{Cause: context.DeadlineExceeded}}
		}},
		{name: "it falls silent", err: func(a *Attempt) error {
			return &http1.BrokenError{Address: a.Upstream.Address, Cause: syscall.ETIMEDOUT}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := newTestRouter(6)
				defer r.Log.Close()
				r.SetUpstreamsKnown()
				r.Transport = contextTransport(func(_ context.Context, a *Attempt) (Answer, error) {
					switch {
					case a.Detour == nil:
						return nil, directlyRefused(a)
					case a.Detour.Peer.ID == "b":
						return nil, tt.err(a)
					}
					return &wholeAnswer{}, nil
				})
				loseAllPaths(r, "b", "c")
				served := 0
				for range 30 {
					if send(t, r) == nil {
						served++
					}
					time.Sleep(20 * time.Millisecond)
				}
				is.True(served >= 29) // the first request may meet it at each attempt
			})
		})
	}
}

// TestBrokenTunnelsStopNoRollOut guards against a good version that is stopped because
// instances ended through which its upstreams were connected to.
func TestBrokenTunnelsStopNoRollOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newTestRouter(4)
		defer r.Log.Close()
		r.SetUpstreamsKnown()
		r.Bounds.Trial.ExposeSlack = 100
		r.WithFleet(func(now time.Time, f *placement.Fleet) {
			f.Register(now, placement.Upstream{ID: "new", Service: "s", Address: "new", FailureDomain: "d0", Version: "v2", Slots: 4})
		})
		r.StartTrial(trial.Order{Service: "s", To: "v2", Revision: 1, Duration: time.Minute})
		broken := 0
		r.Transport = contextTransport(func(_ context.Context, a *Attempt) (Answer, error) {
			if a.Upstream.Version == "v2" && a.Detour != nil {
				broken++
				return nil, &http1.BrokenError{Address: a.Upstream.Address, Cause: syscall.ECONNRESET}
			}
			return &wholeAnswer{}, nil
		})
		for n := 0; broken < 60 && n < 2000; n++ {
			loseAllPaths(r, "b")
			_ = send(t, r)
			time.Sleep(10 * time.Millisecond)
		}
		is.Equal(broken, 60)
		is.Equal(trialState(r, "s"), "running")
	})
}

// TestUpstreamIsUsedOnceItsPathIsBack guards against upstreams that count as unreachable after
// the end of a detour, for what was seen while no instance could be gone through.
func TestUpstreamIsUsedOnceItsPathIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newTestRouter(1)
		defer r.Log.Close()
		r.SetUpstreamsKnown()
		cut := true
		r.Transport = contextTransport(func(_ context.Context, a *Attempt) (Answer, error) {
			if cut {
				return nil, directlyRefused(a)
			}
			return &wholeAnswer{}, nil
		})
		loseAllPaths(r, "b")
		r.SetPeers(nil, nil) // the other instance has ended
		for range 20 {
			is.True(send(t, r) != nil)
			time.Sleep(100 * time.Millisecond)
		}
		cut = false
		r.RecordDial("0", nil, time.Millisecond)
		is.NoErr(send(t, r))
	})
}

// TestLostPathsAreNoCrashes guards against requests that are suspected of crashing upstreams
// because this instance's connections were reset together.
func TestLostPathsAreNoCrashes(t *testing.T) {
	tests := []struct {
		name      string
		upstreams int  // whose connections break
		lost      bool // this instance concludes then that its paths are lost
		reported  int  // crashes
		within    time.Duration
	}{
		{name: "paths are lost", upstreams: 3, lost: true, within: time.Second},
		{name: "upstreams crash together", upstreams: 3, reported: 3, within: time.Second},
		{name: "one crashes", upstreams: 1, reported: 1, within: 50 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := newTestRouter(6)
				defer r.Log.Close()
				for i := range tt.upstreams {
					slot := &placement.Slot{Upstream: placement.Upstream{ID: fmt.Sprint("u", i), Address: fmt.Sprint(i)}}
					e := &execution{router: r, request: &Request{ID: "1", Route: &routing.Route{}, Body: []byte{byte(i)}}}
					r.recordBroken(e, slot, attemptResult{outcome: placement.Broken})
				}
				if tt.lost {
					time.Sleep(100 * time.Millisecond)
					loseAllPaths(r, "b")
				}
				time.Sleep(tt.within)
				reported := 0
				for len(r.outgoing) > 0 {
					if e := <-r.outgoing; strings.HasPrefix(e.Key, crashKeyPrefix) {
						reported++
					}
				}
				is.Equal(reported, tt.reported)
			})
		})
	}
}
