package placement

import (
	"fmt"
	"math"
	"testing"
	"time"

	"banyanyard/core/capacity"
	"banyanyard/core/load"

	"github.com/matryer/is"
)

// paceNews returns the load of a deployment whose upstreams have been seen to take so many
// times as long as typical ones, by turns.
func paceNews(upstreams int, slowness ...float64) load.Sum {
	s := load.Sum{Instances: minSharedInstances, Pace: map[string]load.Pace{}}
	const answers = 200
	for i := range upstreams {
		x := math.Log(slowness[i%len(slowness)])
		s.Pace[fmt.Sprint("u", i)] = load.NewPace(capacity.Evidence{Weight: answers, Sum: answers * x, Squares: answers * x * x})
	}
	return s
}

func TestUnevenUpstreamsAreNoticed(t *testing.T) {
	tests := []struct {
		name      string
		upstreams int
		news      [][]float64 // slowness by turns, in the order in which they come
		briefly   int         // pieces of news of uneven ones at the end
		want      bool
	}{
		{name: "equal", upstreams: 12, news: [][]float64{{1, 1.05, 0.95}}},
		{name: "a third is somewhat slower", upstreams: 12, news: [][]float64{{1, 1, 1.3}}},
		{name: "slow and fast ones", upstreams: 12, news: [][]float64{{0.6, 1, 1.6}}, want: true},
		{name: "one slow one of many", upstreams: 12, news: [][]float64{{3, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1}}},
		{name: "equal ones that are busy for 2 s", upstreams: 12, news: [][]float64{{1, 1.05, 0.95}}, briefly: 4},
		{name: "too few to tell", upstreams: 4, news: [][]float64{{0.6, 1.6}}},
		{name: "uneven ones become less so", upstreams: 12, news: [][]float64{{0.6, 1, 1.6}, {0.85, 1, 1.25}}, want: true},
		{name: "uneven ones become equal", upstreams: 12, news: [][]float64{{0.6, 1, 1.6}, {1, 1, 1.1}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := New("entry-0", "d0")
			names := make([]string, minSharedInstances)
			for i := range names {
				names[i] = fmt.Sprint("entry-", i)
			}
			f.SetInstances(names)
			for i := range tt.upstreams {
				id := fmt.Sprint("u", i)
				f.Register(start, Upstream{ID: id, Service: "s", Address: id, FailureDomain: "d0", Slots: 8})
			}
			now := start
			for _, slowness := range tt.news {
				for range 50 {
					now = now.Add(500 * time.Millisecond)
					f.SetLoad(now, paceNews(tt.upstreams, slowness...))
				}
			}
			for range tt.briefly {
				now = now.Add(500 * time.Millisecond)
				f.SetLoad(now, paceNews(tt.upstreams, 0.85, 1, 1.7))
			}
			is.Equal(f.choosesByDelay(Criteria{Service: "s", PromptWork: 100}), tt.want)
			is.True(!f.choosesByDelay(Criteria{Service: "s"})) // without a prompt
		})
	}
}
