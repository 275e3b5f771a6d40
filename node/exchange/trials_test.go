package exchange

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"banyanyard/core/era"
	"banyanyard/core/gossip"
	"banyanyard/core/placement"
	"banyanyard/core/routing"
	"banyanyard/core/trial"

	"github.com/matryer/is"
)

func trialState(r *Router, service string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.trials[service]
	if t == nil {
		return "none"
	}
	s, _ := t.State()
	return s.String()
}

// TestStoppedVersionStaysStopped writes the order for a version again, under another
// number, once its trial has ended.
func TestStoppedVersionStaysStopped(t *testing.T) {
	order := func(to string, revision era.Version) trial.Order {
		return trial.Order{Service: "s", To: to, Revision: revision, Duration: time.Minute}
	}
	tests := []struct {
		name  string
		state trial.State
		then  func(r *Router)
		want  string
	}{
		{name: "written again", state: trial.Stopped, then: func(r *Router) { r.StartTrial(order("v2", 9)) }, want: "stopped"},
		{name: "written again with a lower number", state: trial.Stopped, then: func(r *Router) { r.StartTrial(order("v2", 3)) }, want: "stopped"},
		{name: "removed and written again", state: trial.Stopped, then: func(r *Router) { r.RemoveTrial("s"); r.StartTrial(order("v2", 9)) }, want: "stopped"},
		{name: "completed, removed and written again", state: trial.Completed, then: func(r *Router) { r.RemoveTrial("s"); r.StartTrial(order("v2", 9)) }, want: "completed"},
		{name: "another version", state: trial.Stopped, then: func(r *Router) { r.StartTrial(order("v3", 9)) }, want: "running"},
		{name: "another version, then the first again", state: trial.Stopped, then: func(r *Router) {
			r.StartTrial(order("v3", 9))
			r.StartTrial(order("v2", 11))
		}, want: "running"},
		{name: "another version, then the one in force", state: trial.Completed, then: func(r *Router) {
			r.StartTrial(order("v3", 9))
			r.StartTrial(order("v2", 11))
		}, want: "completed"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := newTestRouter(2)
			defer r.Log.Close()
			r.StartTrial(order("v2", 7))
			r.AdoptTrialState("s", "v2", tt.state, "test")
			tt.then(r)
			is.Equal(trialState(r, "s"), tt.want)
		})
	}
}

// TestWithdrawnTrialKeepsItsExposure removes an order and writes it again while its trial
// is running: what the new version has had still counts.
func TestWithdrawnTrialKeepsItsExposure(t *testing.T) {
	is := is.New(t)
	r := newTestRouter(2)
	defer r.Log.Close()
	o := trial.Order{Service: "s", To: "v2", Revision: 7, Duration: time.Minute}
	r.StartTrial(o)
	r.trials["s"].CountAttempt(true)
	r.RemoveTrial("s")
	o.Revision = 9
	r.StartTrial(o)
	is.Equal(r.trials["s"].TotalExposure(), trial.Exposure{All: 1, New: 1})
	is.Equal(r.trials["s"].Order.Revision, era.Version(9))
}

// TestWithdrawnVersionGetsNoRequests withdraws an order whose version has not been
// completed, and one whose version has.
func TestWithdrawnVersionGetsNoRequests(t *testing.T) {
	tests := []struct {
		name  string
		state trial.State
		old   int // upstreams of the old version
		used  bool
	}{
		{name: "running", state: trial.Running, old: 2},
		{name: "stopped", state: trial.Stopped, old: 2},
		{name: "completed", state: trial.Completed, old: 2, used: true},
		{name: "no other version left", state: trial.Running, used: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := newTestRouter(tt.old)
			defer r.Log.Close()
			r.WithFleet(func(now time.Time, f *placement.Fleet) {
				f.Register(now, placement.Upstream{ID: "new", Service: "s", Address: "a", Version: "v2", Slots: 4})
			})
			r.StartTrial(trial.Order{Service: "s", To: "v2", Revision: 7, Duration: time.Minute})
			r.AdoptTrialState("s", "v2", tt.state, "test")
			r.RemoveTrial("s")
			used := false
			for range 30 {
				slot, _ := r.pick(&Request{Service: "s"}, placement.Criteria{Service: "s"}, &versionChoice{})
				is.True(slot != nil)
				used = used || slot.Upstream.ID == "new"
			}
			is.Equal(used, tt.used)
		})
	}
}

type fakePeers struct{ published []gossip.Entry }

func (p *fakePeers) Publish(_ context.Context, e gossip.Entry, _ bool) {
	p.published = append(p.published, e)
}

func (p *fakePeers) Report(context.Context, string, gossip.Entry) (gossip.Entry, error) {
	return gossip.Entry{}, nil
}

type fakeRecords struct {
	written   []RolloutRecord
	histories [][]trial.VersionRecord // alone, or with a record
}

func (s *fakeRecords) Write(_ context.Context, _ string, r RolloutRecord, history []trial.VersionRecord) error {
	s.written = append(s.written, r)
	if history != nil {
		s.histories = append(s.histories, history)
	}
	return nil
}

func (s *fakeRecords) WriteHistory(_ context.Context, _ string, history []trial.VersionRecord, _ era.Version) error {
	s.histories = append(s.histories, history)
	return nil
}

// TestLostRecordIsWrittenAgain lets the store lose the record of a stopped trial, or
// return an older one.
func TestLostRecordIsWrittenAgain(t *testing.T) {
	tests := []struct {
		name string
		lose func(c *RolloutCoordinator)
		want RolloutRecord
	}{
		{name: "lost", lose: func(c *RolloutCoordinator) { c.RemoveRecord("s") }, want: RolloutRecord{State: trial.Stopped, To: "v2", Revision: 7}},
		{name: "older", lose: func(c *RolloutCoordinator) {
			c.ApplyRecord("s", RolloutRecord{State: trial.Running, To: "v2", Revision: 7, Version: 50})
		}, want: RolloutRecord{State: trial.Stopped, To: "v2", Revision: 7, Version: 50}},
		{name: "order written again", lose: func(c *RolloutCoordinator) {
			c.Router.StartTrial(trial.Order{Service: "s", To: "v2", Revision: 60, Duration: time.Minute})
		}, want: RolloutRecord{State: trial.Stopped, To: "v2", Revision: 60, Version: 10}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := newTestRouter(2)
			defer r.Log.Close()
			records := &fakeRecords{}
			c := &RolloutCoordinator{Router: r, Records: records, Peers: &fakePeers{}, Instance: "i0", writeDue: map[string]time.Time{}}
			r.StartTrial(trial.Order{Service: "s", To: "v2", Revision: 7, Duration: time.Minute})
			c.ApplyRecord("s", RolloutRecord{State: trial.Stopped, To: "v2", Revision: 7, Version: 10})
			is.Equal(trialState(r, "s"), "stopped")
			check := func() {
				for _, one := range c.checkTrials(time.Now()) {
					c.writeRecord(t.Context(), one)
				}
			}
			check()
			is.Equal(len(records.written), 0) // the store has it
			tt.lose(c)
			check()
			is.Equal(records.written, []RolloutRecord{tt.want})
		})
	}
}

// TestRequestsWithoutOldUpstreams sends requests during a trial when no upstream of the
// old version is left: because it has been completed, which an instance that has just
// started does not know yet, or because they have crashed.
func TestRequestsWithoutOldUpstreams(t *testing.T) {
	tests := []struct {
		name    string
		running time.Duration // before the order arrives
		most    int           // of 200 requests that may be sent
		least   int
	}{
		{name: "upstreams crashed", running: time.Minute, most: 200*15/100 + 1},
		{name: "instance just started", least: 200, most: 200},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := newTestRouter(0)
			defer r.Log.Close()
			r.WithFleet(func(now time.Time, f *placement.Fleet) {
				f.Register(now, placement.Upstream{ID: "new", Service: "s", Address: "a", Version: "v2", Slots: 4})
			})
			r.SetUpstreamsKnown()
			r.configuredAt = time.Now().Add(-tt.running)
			r.StartTrial(trial.Order{Service: "s", To: "v2", Revision: 7, Duration: time.Minute})
			sent := 0
			r.Transport = transportFunc(func(*Attempt) (Answer, error) {
				sent++
				return &fakeAnswer{head: Head{Status: http.StatusOK}}, nil
			})
			route := &routing.Route{Name: "r", Kind: routing.Idempotent, MaxAttempts: 3}
			for i := range 200 {
				q := &Request{ID: fmt.Sprint(i), Route: route, Service: "s", Arrived: time.Now(), Deadline: time.Now().Add(time.Minute)}
				_ = r.Run(context.Background(), q, &fakeWriter{}) // the others are refused
			}
			is.True(sent <= tt.most)
			is.True(sent >= tt.least)
		})
	}
}
