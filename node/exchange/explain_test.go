package exchange

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"banyanyard/core/placement"
	"banyanyard/core/routing"
	"banyanyard/core/trial"
	"banyanyard/io/operator"

	"github.com/matryer/is"
)

const secretKey = "key-that-is-not-shown"

func newExplainRouter() *Router {
	r := newTestRouter(3)
	r.SetTable(routing.New(routing.Table{
		Version: 2,
		Routes: []routing.Route{
			{Name: "draft", Host: "api.example", Prefix: "/draft/", Kind: routing.ResumableStream, LatencyObjective: time.Second, MaxAttempts: 3, Models: []string{"small", "large"}, Split: []routing.Share{{Service: "s"}}},
			{Name: "open", Host: "api.example", Prefix: "/open/", Public: true, MaxAttempts: 1, Split: []routing.Share{{Service: "empty", Weight: 1}, {Service: "s", Weight: 9}}},
			{Name: "none", Host: "api.example", Prefix: "/none/", Public: true, MaxAttempts: 1, Split: []routing.Share{{Service: "empty"}}},
		},
		Services:      []routing.Service{{Name: "s", ModelCosts: map[string]float64{"small": 1, "large": 10}}, {Name: "empty"}},
		Organisations: []routing.Organisation{{Name: "nurses", Keys: []string{secretKey}, Priority: 3, OverridesPriority: true}},
	}))
	r.SetUpstreamsKnown()
	return r
}

func draftQuery() operator.ExplainQuery {
	return operator.ExplainQuery{Host: "api.example", Path: "/draft/1", Organisation: "nurses", Session: "a", Parts: "aa:60,bb:40"}
}

func TestExplainTellsRouteModelAndOutcome(t *testing.T) {
	stopped := func(r *Router) { r.StopAt(time.Now().Add(time.Millisecond)) }
	pause := func(d time.Duration) func(r *Router) {
		return func(r *Router) {
			r.WithFleet(func(now time.Time, f *placement.Fleet) {
				for range 3 {
					slot, _ := f.Pick(now, placement.Criteria{Service: "s"})
					f.RecordPause(now, slot, d)
					f.Release(now, slot, placement.Canceled)
				}
			})
		}
	}
	tests := []struct {
		name    string
		prepare func(r *Router)
		path    string
		outcome string
		model   string
		service string
	}{
		{name: "sent", path: "/draft/1", outcome: "sent", model: "small", service: "s"},
		{name: "largest share of a split", path: "/open/1", outcome: "sent", service: "s"},
		{name: "no upstream", path: "/none/1", outcome: "refused", service: "empty"},
		{name: "stopping", prepare: stopped, path: "/draft/1", outcome: "refused", model: "small", service: "s"},
		{name: "pausing for less than it may wait", prepare: pause(200 * time.Millisecond), path: "/draft/1", outcome: "held", model: "small", service: "s"},
		{name: "pausing for long", prepare: pause(20 * time.Second), path: "/draft/1", outcome: "refused", model: "small", service: "s"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := newExplainRouter()
				defer r.Log.Close()
				if tt.prepare != nil {
					tt.prepare(r)
				}
				q := draftQuery()
				q.Path = tt.path
				x, err := r.Explain(q)
				is.NoErr(err)
				is.Equal(x.Outcome, tt.outcome)
				is.Equal(x.Model, tt.model)
				is.Equal(x.Service, tt.service)
				is.True(x.Why != "")
				is.Equal(x.Upstream != "", tt.outcome == "sent")
				is.Equal(x.RetryAfterMs > 0, tt.outcome == "refused")
				is.Equal(x.HeldMs > 0, tt.outcome == "held")
				text, err := json.Marshal(x)
				is.NoErr(err)
				is.True(!strings.Contains(string(text), secretKey))
			})
		})
	}
}

func TestExplainRejectsUnknownNames(t *testing.T) {
	tests := []struct {
		name   string
		change func(q *operator.ExplainQuery)
		want   string
	}{
		{name: "host", change: func(q *operator.ExplainQuery) { q.Host = "other.example" }, want: "use one of api.example/draft/"},
		{name: "path", change: func(q *operator.ExplainQuery) { q.Path = "/x" }, want: "use one of api.example/draft/"},
		{name: "organisation", change: func(q *operator.ExplainQuery) { q.Organisation = "doctors" }, want: "use one of nurses"},
		{name: "no organisation", change: func(q *operator.ExplainQuery) { q.Organisation = "" }, want: "name one of the organisations nurses"},
		{name: "prompt part", change: func(q *operator.ExplainQuery) { q.Parts = "aa" }, want: "ID:TOKENS"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := draftQuery()
			tt.change(&q)
			_, err := newExplainRouter().Explain(q)
			if err == nil || !strings.Contains(err.Error(), tt.want) || strings.Contains(err.Error(), secretKey) {
				t.Errorf("got error %v, want one with %q", err, tt.want)
			}
		})
	}
}

// TestExplainBesideRequests explains while requests are placed, for the race detector.
func TestExplainBesideRequests(t *testing.T) {
	is := is.New(t)
	r := newExplainRouter()
	defer r.Log.Close()
	r.StartTrial(trial.Order{Service: "s", To: "v2", Revision: 7, Duration: time.Minute})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 200 {
			q := &Request{Session: "a", Service: "s", Route: &r.Table().Routes[0]}
			slot, _ := r.pick(q, placement.Criteria{Service: "s", PromptWork: 100}, &versionChoice{})
			r.WithFleet(func(now time.Time, f *placement.Fleet) { f.Release(now, slot, placement.Completed) })
		}
	}()
	for range 50 {
		_, err := r.Explain(draftQuery())
		is.NoErr(err)
	}
	<-done
}

// TestExplainChangesNothingOfRollout lets one of two equal routers explain while the versions
// of a roll-out are chosen. All choices and the whole state must stay equal.
func TestExplainChangesNothingOfRollout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		plain, explained := newExplainRouter(), newExplainRouter()
		for _, r := range []*Router{plain, explained} {
			defer r.Log.Close()
			r.WithFleet(func(now time.Time, f *placement.Fleet) {
				f.Register(now, placement.Upstream{ID: "new", Service: "s", Address: "9", FailureDomain: "d0", Version: "v2", Slots: 4})
			})
			r.StartTrial(trial.Order{Service: "s", To: "v2", Revision: 7, Duration: 20 * time.Second})
		}
		versions := map[string]bool{}
		for n := range 400 {
			q := &Request{ID: string(rune('a' + n%26)), Session: string(rune('a' + n%17)), Service: "s", Route: &explained.Table().Routes[0]}
			query := draftQuery()
			query.Session, query.Request = q.Session, q.ID
			x, err := explained.Explain(query)
			is.NoErr(err)
			c := placement.Criteria{Service: "s"}
			a, resultA := plain.pick(q, c, &versionChoice{})
			b, resultB := explained.pick(q, c, &versionChoice{})
			is.Equal(resultA, resultB)
			is.Equal(a.Upstream, b.Upstream)
			for _, k := range x.Candidates {
				if k.Upstream == b.Upstream.ID {
					is.Equal(k.Excluded, "") // the version that was chosen is the one that had been explained
				}
			}
			versions[b.Upstream.Version] = true
			plain.fleet.Release(time.Now(), a, placement.Completed)
			explained.fleet.Release(time.Now(), b, placement.Completed)
			time.Sleep(60 * time.Millisecond)
		}
		is.Equal(len(versions), 2)
		is.True(reflect.DeepEqual(plain.trials, explained.trials))
		is.True(reflect.DeepEqual(plain.fleet, explained.fleet))
		is.True(reflect.DeepEqual(plain.sessionLastSeen, explained.sessionLastSeen))
	})
}
