package exchange

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"banyanyard/core/routing"
	"banyanyard/core/trial"

	"github.com/matryer/is"
)

// loadedUpstreams answers attempts after some work. The upstreams of version v2 fail
// a share of the attempts that arrive while more than half of their slots are in use.
type loadedUpstreams struct {
	failing float64

	mu      sync.Mutex // guards the fields below
	random  *rand.Rand
	running map[string]int
	all     int                        // attempts
	new     int                        // attempts at the new version
	byID    map[string]map[string]bool // upstreams that have run a request
}

// Send implements Transport.
func (u *loadedUpstreams) Send(_ context.Context, a *Attempt) (Answer, error) {
	id := a.Upstream.ID
	u.mu.Lock()
	u.running[id]++
	u.all++
	if u.byID[a.Request.ID] == nil {
		u.byID[a.Request.ID] = map[string]bool{}
	}
	u.byID[a.Request.ID][id] = true
	fails := false
	if a.Upstream.Version == "v2" {
		u.new++
		fails = 2*u.running[id] > a.Upstream.Slots && u.random.Float64() < u.failing
	}
	work := time.Duration(15+u.random.IntN(30)) * time.Millisecond
	u.mu.Unlock()
	if fails {
		work /= 2
	}
	time.Sleep(work)
	u.mu.Lock()
	u.running[id]--
	u.mu.Unlock()
	head := Head{Status: http.StatusOK, Confidence: -1}
	if fails {
		head.Status = http.StatusInternalServerError
	}
	return &fakeAnswer{head: head}, nil
}

// callAtRandom sends requests through all instances until the order's deadline. It returns
// the number of those that failed.
func callAtRandom(g *rolloutGroup, u *loadedUpstreams, perSecond int, copyable bool) int {
	routes := []*routing.Route{{Name: "hold", Kind: routing.NonIdempotent, MaxAttempts: 2}, {Name: "look-up", Kind: routing.NonIdempotent, MaxAttempts: 2}}
	if copyable {
		routes[1].Kind = routing.Idempotent
	}
	random := rand.New(rand.NewPCG(uint64(perSecond), 7))
	var callers sync.WaitGroup
	var mu sync.Mutex
	failed := 0
	for _, c := range g.coordinators {
		c.Router.Transport = u
		c.Router.SetUpstreamsKnown()
	}
	for end := time.Now().Add(groupOrderDuration); time.Now().Before(end); {
		time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / float64(perSecond)))
		r := g.coordinators[random.IntN(len(g.coordinators))].Router
		q := &Request{ID: fmt.Sprint(random.Uint64()), Route: routes[random.IntN(2)], Service: "s", Arrived: time.Now(), Deadline: time.Now().Add(time.Second)}
		callers.Go(func() {
			out := &fakeWriter{}
			if err := r.Run(context.Background(), q, out); err != nil || out.status != http.StatusOK {
				mu.Lock()
				defer mu.Unlock()
				failed++
			}
		})
	}
	callers.Wait()
	return failed
}

// TestVersionThatFailsUnderLoadIsStopped guards against a version that fails once its
// upstreams have load: the few requests before the traffic moves are no load, and the
// completion, which ends the old version, came a second after the move.
func TestVersionThatFailsUnderLoadIsStopped(t *testing.T) {
	tests := []struct {
		name     string
		failing  float64
		copyable bool // half of the requests may run more than once
		want     trial.State
	}{
		{name: "half of the answers", failing: 0.5, copyable: true, want: trial.Stopped},
		{name: "a third of the answers", failing: 0.33, copyable: true, want: trial.Stopped},
		{name: "good version", copyable: true, want: trial.Completed},
		{name: "good version, no request may be copied", want: trial.Completed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for seed := range uint64(8) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					const slack = 30
					g := newBoundedRolloutGroup(t, 7, seed, slack)
					u := &loadedUpstreams{failing: tt.failing, random: rand.New(rand.NewPCG(seed, 9)), running: map[string]int{}, byID: map[string]map[string]bool{}}
					failed := callAtRandom(g, u, 24, tt.copyable)
					is.Equal(g.currentRecord().State, tt.want)
					is.True(float64(u.new) <= 0.15*float64(u.all)+slack) // the bound on exposure
					is.True(failed <= 3)                                 // no caller gets the failure of a copy
					for _, upstreams := range u.byID {
						is.True(len(upstreams) <= 2) // of the attempts that the routes allow
					}
				})
			}
		})
	}
}
