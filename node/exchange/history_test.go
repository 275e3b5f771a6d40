package exchange

import (
	"context"
	"net/http"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"banyanyard/core/era"
	"banyanyard/core/placement"
	"banyanyard/core/routing"
	"banyanyard/core/trial"

	"github.com/matryer/is"
)

// newVersionsRouter returns a router with two upstreams of v1 and one each of v2 and v3.
func newVersionsRouter() *Router {
	r := newTestRouter(2)
	r.SetUpstreamsKnown()
	r.WithFleet(func(now time.Time, f *placement.Fleet) {
		for _, v := range []string{"v2", "v3"} {
			f.Register(now, placement.Upstream{ID: v, Service: "s", Address: v, Version: v, Slots: 4})
		}
	})
	return r
}

func orderTo(version string, revision era.Version) trial.Order {
	return trial.Order{Service: "s", To: version, Revision: revision, Duration: time.Minute}
}

// countPicks returns how many of 100 requests go to upstreams of each version.
func countPicks(r *Router) map[string]int {
	n := map[string]int{}
	for range 100 {
		if slot, _ := r.pick(&Request{Service: "s"}, placement.Criteria{Service: "s"}, &versionChoice{}); slot != nil {
			n[slot.Upstream.Version]++
			r.WithFleet(func(now time.Time, f *placement.Fleet) { f.Release(now, slot, placement.Completed) })
		}
	}
	return n
}

// TestVersionsOutOfForceServeLast guards against upstreams of versions that are not in force
// getting requests beside others, and against refusing what only they are left for.
func TestVersionsOutOfForceServeLast(t *testing.T) {
	tests := []struct {
		name   string
		orders func(r *Router)
		gone   []string // upstreams
		want   string   // version of all requests that do not go to the version of the order
	}{
		{name: "superseded", orders: func(r *Router) {
			r.StartTrial(orderTo("v2", 1))
			r.AdoptTrialState("s", "v2", trial.Completed, "test")
			r.StartTrial(orderTo("v3", 2))
		}, want: "v2"},
		{name: "replaced", orders: func(r *Router) { r.StartTrial(orderTo("v2", 1)); r.StartTrial(orderTo("v3", 2)) }, want: "v1"},
		{name: "replaced, no other left", orders: func(r *Router) { r.StartTrial(orderTo("v2", 1)); r.StartTrial(orderTo("v3", 2)) }, gone: []string{"u0", "u1"}, want: "v2"},
		{name: "stopped, no other left", orders: func(r *Router) {
			r.StartTrial(orderTo("v2", 1))
			r.AdoptTrialState("s", "v2", trial.Stopped, "test")
			r.StartTrial(orderTo("v3", 2))
		}, gone: []string{"u0", "u1"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := newVersionsRouter()
			defer r.Log.Close()
			r.configuredAt = time.Now().Add(-time.Minute)
			tt.orders(r)
			r.WithFleet(func(now time.Time, f *placement.Fleet) {
				for _, id := range tt.gone {
					f.Withdraw(id, now)
					f.RemoveGone(now.Add(time.Hour))
				}
			})
			n := countPicks(r)
			delete(n, "v3")
			if tt.want == "" {
				is.Equal(len(n), 0)
				return
			}
			is.True(n[tt.want] >= 80)
			is.Equal(len(n), 1)
		})
	}
}

// TestAnswersOfEarlierVersionsAreNoEvidence guards against late answers of a version that was
// rolled back counting as those of the old version of the next order, which they would make
// look bad or slow.
func TestAnswersOfEarlierVersionsAreNoEvidence(t *testing.T) {
	is := is.New(t)
	r := newVersionsRouter()
	defer r.Log.Close()
	r.StartTrial(orderTo("v2", 1))
	r.AdoptTrialState("s", "v2", trial.Stopped, "test")
	r.StartTrial(orderTo("v3", 2))
	route := &routing.Route{Name: "r", Kind: routing.Idempotent, MaxAttempts: 3}
	e := &execution{router: r, request: &Request{Service: "s", Route: route, Deadline: time.Now().Add(time.Minute)}}
	record := func(version string) {
		slot := &placement.Slot{Upstream: placement.Upstream{Service: "s", Version: version}}
		r.mu.Lock()
		r.recordObservation(e, slot, trial.Observation{Kind: "r", Duration: time.Second, Answered: true})
		r.recordObservation(e, slot, trial.Observation{Kind: "r", Answered: true, Failed: true})
		r.mu.Unlock()
		r.recordEventGap(e, slot, time.Second)
		r.takeLoadTest(e, slot, attemptResult{outcome: placement.Completed, took: time.Second})
	}
	record("v2")
	is.Equal(len(r.trials["s"].Report(time.Now(), 0).Kinds), 0)
	is.True(!r.trials["s"].Report(time.Now(), 0).Copyable) // and no load test uses its upstream
	is.True(reflect.DeepEqual(r.baselines["s"], &trial.Baseline{}))
	record("v1")
	is.True(len(r.trials["s"].Report(time.Now(), 0).Kinds) > 0)
	is.True(r.trials["s"].Report(time.Now(), 0).Copyable)
	is.True(!reflect.DeepEqual(r.baselines["s"], &trial.Baseline{}))
}

// TestHistoryIsWrittenWithRecord guards against an instance that starts between two writes
// finding the next order without what became of the one before.
func TestHistoryIsWrittenWithRecord(t *testing.T) {
	is := is.New(t)
	r := newTestRouter(2)
	defer r.Log.Close()
	records := &fakeRecords{}
	c := &RolloutCoordinator{Router: r, Records: records, Peers: &fakePeers{}, Instance: "i0", writeDue: map[string]time.Time{}}
	check := func() []trial.VersionRecord {
		clear(c.writeDue)
		records.histories = nil
		c.checkTrials(time.Now())
		for _, one := range c.checkTrials(time.Now().Add(time.Second)) { // a stop is held back for less
			c.writeRecord(t.Context(), one)
		}
		if len(records.histories) == 0 {
			return nil
		}
		return records.histories[0]
	}
	r.StartTrial(orderTo("v2", 1))
	is.Equal(check(), []trial.VersionRecord{{Version: "v2", Latest: trial.Ended{Order: 1}}})
	r.AdoptTrialState("s", "v2", trial.Stopped, "test")
	stopped := trial.VersionRecord{Version: "v2", Latest: trial.Ended{Order: 1, State: trial.Stopped}}
	is.Equal(check(), []trial.VersionRecord{stopped})
	c.ApplyHistory("s", []trial.VersionRecord{stopped}, 12)
	is.Equal(check(), nil) // the store has it
	r.StartTrial(orderTo("v3", 2))
	is.Equal(check(), []trial.VersionRecord{stopped, {Version: "v3", Latest: trial.Ended{Order: 2}}})
}

// TestHistoryThatTheStoreLacksIsWritten guards against losing what became of a version when
// the instances that know it stop: the store may have lost it, or the record was written
// without it.
func TestHistoryThatTheStoreLacksIsWritten(t *testing.T) {
	stopped := trial.VersionRecord{Version: "v2", Latest: trial.Ended{Order: 1, State: trial.Stopped}}
	tests := []struct {
		name string
		lose func(c *RolloutCoordinator)
		want int // writes
	}{
		{name: "stored", lose: func(*RolloutCoordinator) {}},
		{name: "lost", lose: func(c *RolloutCoordinator) { c.RemoveHistory("s") }, want: 1},
		{name: "older", lose: func(c *RolloutCoordinator) { c.ApplyHistory("s", nil, era.New(1, 3)) }, want: 1},
		{name: "older one that arrives late", lose: func(c *RolloutCoordinator) { c.ApplyHistory("s", nil, 3) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := newTestRouter(2)
				defer r.Log.Close()
				records := &fakeRecords{}
				c := &RolloutCoordinator{Router: r, Records: records, Peers: &fakePeers{}, Instance: "i0"}
				ctx, stop := context.WithCancel(t.Context())
				go c.Run(ctx)
				c.ApplyHistory("s", []trial.VersionRecord{stopped}, 12)
				time.Sleep(10 * rankDelay)
				is.Equal(len(records.histories), 0)
				tt.lose(c)
				time.Sleep(rankDelay + 2*trialCheckInterval)
				stop()
				synctest.Wait()
				is.Equal(len(records.histories), tt.want)
				if tt.want > 0 {
					is.Equal(records.histories[0], []trial.VersionRecord{stopped})
				}
			})
		})
	}
}

// TestChoiceEndsWithItsOrder guards against a request whose version was chosen under one order
// being sent to the version of the next one: it fails on v2, the version of an order that is
// stopped and replaced meanwhile.
func TestChoiceEndsWithItsOrder(t *testing.T) {
	is := is.New(t)
	r := newVersionsRouter()
	defer r.Log.Close()
	r.Bounds.Trial.ExposeShare = 1
	choosesNew := func(o trial.Order, id string) bool {
		return trial.New(time.Now(), o, r.Bounds.Trial).ChooseNew(time.Now(), "", id)
	}
	id := "0"
	for !choosesNew(orderTo("v2", 1), id) || choosesNew(orderTo("v3", 2), id) {
		id += "0"
	}
	r.StartTrial(orderTo("v2", 1))
	var versions []string
	r.Transport = transportFunc(func(a *Attempt) (Answer, error) {
		versions = append(versions, a.Upstream.Version)
		if len(versions) > 1 {
			return &fakeAnswer{head: Head{Status: http.StatusOK}}, nil
		}
		r.AdoptTrialState("s", "v2", trial.Stopped, "test")
		r.StartTrial(orderTo("v3", 2))
		return &fakeAnswer{head: Head{Status: http.StatusInternalServerError}}, nil
	})
	q := &Request{ID: id, Route: &routing.Route{Name: "r", Kind: routing.Idempotent, MaxAttempts: 3}, Service: "s", Arrived: time.Now(), Deadline: time.Now().Add(time.Minute)}
	is.NoErr(r.Run(context.Background(), q, &fakeWriter{}))
	is.Equal(versions, []string{"v2", "v1"})
}

// TestOrderForVersionInForce guards against an order for the version in force sending its
// requests to the version of the order that it replaces, as there is no old version.
func TestOrderForVersionInForce(t *testing.T) {
	tests := []struct {
		name   string
		orders func(r *Router, c *RolloutCoordinator)
	}{
		{name: "another one is on trial", orders: func(r *Router, _ *RolloutCoordinator) {
			r.StartTrial(orderTo("v2", 1))
			r.AdoptTrialState("s", "v2", trial.Completed, "test")
			r.StartTrial(orderTo("v3", 2))
			r.StartTrial(orderTo("v2", 3))
		}},
		{name: "the history is read after the order", orders: func(r *Router, c *RolloutCoordinator) {
			r.StartTrial(orderTo("v2", 3))
			c.ApplyHistory("s", []trial.VersionRecord{
				{Version: "v2", Latest: trial.Ended{Order: 1, State: trial.Completed}, Completed: 1},
				{Version: "v3", Latest: trial.Ended{Order: 2}},
			}, 12)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := newVersionsRouter()
			defer r.Log.Close()
			r.configuredAt = time.Now().Add(-time.Minute)
			tt.orders(r, &RolloutCoordinator{Router: r, Instance: "i0"})
			is.Equal(countPicks(r), map[string]int{"v2": 100})
			is.Equal(trialState(r, "s"), "completed")
		})
	}
}

// choosesNew reports whether a new session would go to the version of an order.
func choosesNew(r *Router, version, session string) bool {
	began := time.Now()
	return trial.New(began, orderTo(version, 1), r.Bounds.Trial).ChooseNew(began.Add(5*time.Second), session, "")
}

// TestSessionCountsFromEndOfItsRequest guards against a session whose last request took long
// counting as a new one, which goes to the new version in the first half of an order.
func TestSessionCountsFromEndOfItsRequest(t *testing.T) {
	tests := []struct {
		name    string
		ordered time.Duration // after the first request has begun
	}{
		{name: "ordered while the request runs", ordered: time.Second},
		{name: "ordered after its end", ordered: 8 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := newVersionsRouter()
				defer r.Log.Close()
				r.Bounds.Trial.ExposeShare = 1
				r.configuredAt = time.Now().Add(-time.Minute)
				c := &RolloutCoordinator{Router: r, Instance: "i0"}
				session := "s"
				for !choosesNew(r, "v2", session) {
					session += "s"
				}
				var versions []string
				r.Transport = transportFunc(func(a *Attempt) (Answer, error) {
					versions = append(versions, a.Upstream.Version)
					time.Sleep(7 * time.Second)
					return &fakeAnswer{head: Head{Status: http.StatusOK}}, nil
				})
				send := func() {
					route := &routing.Route{Name: "r", Kind: routing.Idempotent, MaxAttempts: 1}
					q := &Request{ID: "q", Session: session, Route: route, Service: "s", Arrived: time.Now(), Deadline: time.Now().Add(time.Minute)}
					is.NoErr(r.Run(context.Background(), q, &fakeWriter{}))
				}
				r.StartTrial(orderTo("v3", 1)) // the first request must not go to v2
				r.AdoptTrialState("s", "v3", trial.Stopped, "test")
				go send()
				time.Sleep(tt.ordered)
				r.StartTrial(orderTo("v2", 2))
				time.Sleep(9*time.Second - tt.ordered)
				told := c.checkTrials(time.Now())[0].report.OldSessions
				is.Equal(len(told), 1) // other instances learn that it is on the old version
				send()
				is.Equal(versions, []string{"v1", "v1"})
			})
		})
	}
}

// TestRunningRequestKeepsItsSession guards against other instances forgetting a session on the
// old version while its request runs, as the next one may come to them at its end.
func TestRunningRequestKeepsItsSession(t *testing.T) {
	is := is.New(t)
	r := newVersionsRouter()
	defer r.Log.Close()
	r.Bounds.Trial.ExposeShare = 1
	c := &RolloutCoordinator{Router: r, Instance: "i0"}
	session := "s"
	for !choosesNew(r, "v2", session) {
		session += "s"
	}
	running, release := make(chan bool), make(chan bool)
	r.Transport = transportFunc(func(*Attempt) (Answer, error) {
		running <- true
		<-release
		return &fakeAnswer{head: Head{Status: http.StatusOK}}, nil
	})
	ended := make(chan error)
	go func() {
		route := &routing.Route{Name: "r", Kind: routing.Idempotent, MaxAttempts: 1}
		q := &Request{ID: "q", Session: session, Route: route, Service: "s", Arrived: time.Now(), Deadline: time.Now().Add(time.Minute)}
		ended <- r.Run(context.Background(), q, &fakeWriter{})
	}()
	<-running
	r.StartTrial(orderTo("v2", 1))
	later := time.Now().Add(8 * time.Second)
	is.Equal(len(c.checkTrials(later)[0].report.OldSessions), 1)
	close(release)
	is.NoErr(<-ended)
	is.Equal(len(c.checkTrials(later)[0].report.OldSessions), 0)
}
