package exchange

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"banyanyard/core/load"
	"banyanyard/core/placement"
	"banyanyard/core/routing"
	"banyanyard/core/scaling"
	"banyanyard/core/trial"

	"github.com/matryer/is"
)

// newScaledRouter returns a router of instance i0 with upstreams of service s, whose number
// may be ordered.
func newScaledRouter(upstreams int) *Router {
	r := newTestRouter(upstreams)
	bounds := &routing.Scaling{Min: 1, Max: 9, StartTime: 8 * time.Second, ColdTime: 3 * time.Second}
	r.SetTable(routing.New(routing.Table{Version: 2, Services: []routing.Service{{Name: "s", Scaling: bounds}, {Name: "fixed"}}}))
	return r
}

// A demandTransport calls look before each answer.
type demandTransport struct {
	look func()
	wait time.Duration
}

func (f *demandTransport) Send(context.Context, *Attempt) (Answer, error) {
	time.Sleep(f.wait / 4)
	f.look()
	time.Sleep(f.wait * 3 / 4)
	return &fakeAnswer{head: Head{Status: 200, Confidence: -1}}, nil
}

func TestDemandCountsAttemptsAndLateAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newScaledRouter(1)
		defer r.Log.Close()
		var during load.Demand
		r.Transport = &demandTransport{look: func() { during = r.Demand()["s"] }, wait: 4 * time.Second}
		route := &routing.Route{Name: "r", Kind: routing.ResumableStream, MaxAttempts: 1, LatencyObjective: time.Second}
		q := &Request{ID: "1", Service: "s", Route: route, Arrived: time.Now(), Deadline: time.Now().Add(10 * time.Second)}
		is.NoErr(r.Run(context.Background(), q, &fakeWriter{}))
		is.Equal(during, load.Demand{Running: 0.63, Reading: 0.63}) // for a second
		is.Equal(r.Demand(), map[string]load.Demand{"s": {Running: 0.98, Reading: 0.98, Answered: 1, Late: 1}})
		q = &Request{ID: "2", Service: "s", Route: route, Arrived: time.Now(), Deadline: time.Now().Add(10 * time.Second)}
		r.WithFleet(func(now time.Time, f *placement.Fleet) { f.Withdraw("u0", now) })
		r.SetUpstreamsKnown()
		is.True(r.Run(context.Background(), q, &fakeWriter{}) != nil)
		is.Equal(r.Demand()["s"].Refused, 1)
		time.Sleep(4 * demandSpan)
		is.Equal(r.Demand(), map[string]load.Demand{"s": {}}) // the demand is known to be none
	})
}

func TestViewJoinsUpstreamsAndDemand(t *testing.T) {
	is := is.New(t)
	r := newScaledRouter(5) // two in d0 and d1, one in d2
	defer r.Log.Close()
	r.HandleDemand([]load.DomainDemand{
		{Domain: "d0", Services: map[string]load.Demand{"s": {Running: 3}}},
		{Domain: "d9", Services: map[string]load.Demand{"s": {Running: 4}}}, // has instances only
	})
	now := time.Now()
	views := r.Views(now)
	is.Equal(len(views), 1)
	v := views[0]
	is.Equal(v.Bounds, scaling.Bounds{Min: 1, Max: 9, StartTime: 8 * time.Second, ColdTime: 3 * time.Second})
	is.Equal(v.Slots, 4.0)
	is.Equal(len(v.Domains), 4)
	is.Equal(v.Domains[0].Serving, 2)
	is.Equal(v.Domains[0].Demand.Running, 3.0)
	is.Equal(v.Domains[1].Age, noDemandAge)
	is.Equal(v.Domains[3].Serving, 0)
	is.Equal(v.Domains[3].Demand.Running, 4.0)
}

func TestRollingOutUntilOneVersionIsLeft(t *testing.T) {
	is := is.New(t)
	r := newScaledRouter(2)
	defer r.Log.Close()
	is.True(!r.Views(time.Now())[0].RollingOut)
	r.StartTrial(trial.Order{Service: "s", To: "v2", Revision: 7, Duration: time.Minute})
	is.True(r.Views(time.Now())[0].RollingOut)
	r.WithFleet(func(now time.Time, f *placement.Fleet) {
		f.Register(now, placement.Upstream{ID: "new", Service: "s", Address: "9", FailureDomain: "d0", Version: "v2", Slots: 4})
	})
	r.AdoptTrialState("s", "v2", trial.Stopped, "test")
	is.True(r.Views(time.Now())[0].RollingOut) // upstreams of the stopped version run on
	r.WithFleet(func(now time.Time, f *placement.Fleet) { f.Withdraw("new", now) })
	is.True(!r.Views(time.Now())[0].RollingOut)
}
