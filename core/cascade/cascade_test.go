package cascade

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_800_000_000, 0)

func newRatedLearner(good, bad int) *Learner {
	l := &Learner{}
	for i := range good + bad {
		l.RecordRating(start, 0, i < good)
	}
	return l
}

func TestChoose(t *testing.T) {
	defaultParams := ChooseParams{QualityTarget: 0.9, CheapCost: 1, LargeCost: 10}
	tests := []struct {
		name    string
		learner *Learner
		params  ChooseParams
		after   time.Duration
		want    Choice
	}{
		{name: "no ratings", learner: &Learner{}, params: defaultParams, want: CheapFirst},
		{name: "sufficient with confidence", learner: newRatedLearner(198, 2), params: defaultParams, want: Cheap},
		{name: "sufficient, but too few ratings", learner: newRatedLearner(20, 0), params: defaultParams, want: CheapFirst},
		{name: "sufficient on average only", learner: newRatedLearner(91, 9), params: defaultParams, want: CheapFirst},
		{name: "rarely sufficient", learner: newRatedLearner(5, 95), params: defaultParams, want: Large},
		{name: "old ratings", learner: newRatedLearner(198, 2), params: defaultParams, after: 20 * time.Minute, want: CheapFirst},
		{name: "cheap model costs nearly as much", learner: newRatedLearner(60, 40), params: ChooseParams{QualityTarget: 0.9, CheapCost: 9, LargeCost: 10}, want: Large},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			got := tt.learner.Choose(start.Add(tt.after), tt.params, rand.New(rand.NewPCG(1, 1)))
			is.Equal(got, tt.want)
		})
	}
}

func TestChooseLargeWithoutRatings(t *testing.T) {
	is := is.New(t)
	s := ChooseParams{QualityTarget: 0.9, CheapCost: 1, LargeCost: 10}
	r := rand.New(rand.NewPCG(1, 1))
	l := newRatedLearner(80, 20) // with ratings available, the cheap model is tried first
	l.RecordRatingFailure(start.Add(time.Second))
	is.Equal(l.Choose(start.Add(2*time.Second), s, r), Large)
	l.RecordRating(start.Add(3*time.Second), 0, true)
	is.Equal(l.Choose(start.Add(4*time.Second), s, r), CheapFirst)
	l = newRatedLearner(198, 2) // sufficient with confidence until the newest rating is too old
	l.RecordRatingFailure(start.Add(time.Second))
	is.Equal(l.Choose(start.Add(maxRatingAge-time.Second), s, r), Cheap)
	l.RecordRatingFailure(start.Add(maxRatingAge))
	is.Equal(l.Choose(start.Add(maxRatingAge+time.Second), s, r), Large)
}
