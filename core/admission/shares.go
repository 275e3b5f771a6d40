package admission

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// recentHalfLife and usualHalfLife are the times after which use counts half as recent and
	// as usual.
	recentHalfLife = 2 * time.Second
	usualHalfLife  = 2 * time.Minute
	// useTimeout is how long the use of all instances counts without a newer one.
	useTimeout = 2 * time.Second
	// minBeyond is the multiple of its usual use, against that of the others, below which an
	// organisation is within its share: chance alone makes use vary.
	minBeyond = 3.0
	// minKnown is the time for which use must be known before it counts as usual.
	minKnown = 5 * time.Second
	// maxLearnt is the multiple of its usual use above which use is not learnt as usual.
	maxLearnt = 2.0
	// minRecent is the recent use, in UseUnit over all instances, below which an organisation
	// is within its share.
	minRecent = 50.0
	// requestWork is the work of a request besides that of its prompt, in tokens.
	requestWork = 500.0
	// UseUnit is the work, in tokens, in which use is passed on.
	UseUnit = 1000.0
	// maxOrganisations bounds the organisations of which instances tell, those with the most
	// use, and of which they keep the use.
	maxOrganisations = 32
)

// Shares divide the room of all instances among organisations by weighted max-min fairness:
// each gets what it asks for up to a level that is the same multiple of its usual use for all.
// An organisation that sends many times its usual, repeats at once or keeps one key hot thus
// gets what the others leave.
//
// Instances tell each other the recent use that they see. Without news of that, every
// organisation is within its share. The zero Shares are ready for use.
type Shares struct {
	own   map[string]*decayed
	all   map[string]*use
	setAt time.Time // of the newest use of all instances; zero if there is none
}

// A use is what an organisation asks of all instances.
type use struct {
	recent float64 // in UseUnit
	usual  float64 // average of recent, of which an excess counts only in part
	since  time.Time
}

func (u use) ratio() float64 { return u.recent / max(u.usual, 1) }

func (s *Shares) record(now time.Time, organisation string, work float64) {
	if s == nil || organisation == "" {
		return
	}
	if s.own == nil {
		s.own = map[string]*decayed{}
	}
	d := s.own[organisation]
	if d == nil {
		d = &decayed{}
		s.own[organisation] = d
	}
	d.add(now, work+requestWork)
}

// Own returns the recent use that this instance has seen, in UseUnit.
func (s *Shares) Own(now time.Time) map[string]int {
	own := map[string]int{}
	for name, d := range s.own {
		if n := int(math.Round(d.at(now) / UseUnit)); n > 0 {
			own[name] = n
		} else if now.Sub(d.asOf) > 8*recentHalfLife {
			delete(s.own, name)
		}
	}
	return most(own)
}

// most returns the organisations with the most use.
func most(uses map[string]int) map[string]int {
	if len(uses) <= maxOrganisations {
		return uses
	}
	names := slices.SortedFunc(maps.Keys(uses), func(a, b string) int {
		return cmp.Or(cmp.Compare(uses[b], uses[a]), cmp.Compare(a, b))
	})
	for _, name := range names[maxOrganisations:] {
		delete(uses, name)
	}
	return uses
}

// Set sets the recent use that all instances have seen, in UseUnit.
func (s *Shares) Set(now time.Time, uses map[string]int, scale float64) {
	if len(uses) == 0 {
		return
	}
	if s.all == nil {
		s.all, s.setAt = map[string]*use{}, now
	}
	for name := range uses {
		if s.all[name] == nil && len(s.all) < 2*maxOrganisations {
			s.all[name] = &use{since: now}
		}
	}
	for name, u := range s.all {
		u.set(now, now.Sub(s.setAt), scale*float64(uses[name]))
		if u.recent == 0 && u.usual < 1 {
			delete(s.all, name)
		}
	}
	s.setAt = now
}

// set sets the recent use, some time after the use before. Of an excess, only a part counts as
// usual. Until usualHalfLife has passed, usual is about the mean since the first use.
func (u *use) set(now time.Time, elapsed time.Duration, recent float64) {
	u.recent = recent
	if u.isNew(now) {
		u.usual = recent
		return
	}
	weight := max(1-math.Exp2(-elapsed.Seconds()/usualHalfLife.Seconds()), elapsed.Seconds()/now.Sub(u.since).Seconds())
	u.usual += min(weight, 1) * (min(recent, maxLearnt*u.usual) - u.usual)
}

// isNew reports whether too little is known of the organisation's usual use.
func (u *use) isNew(now time.Time) bool { return now.Sub(u.since) < minKnown }

// beyond returns the part of its recent use by which an organisation exceeds its share, while the
// demand is a multiple of what there is room for.
func (s *Shares) beyond(now time.Time, organisation string, demand float64) float64 {
	if s == nil || demand <= 1 || s.setAt.IsZero() || now.Sub(s.setAt) > useTimeout {
		return 0
	}
	u := s.all[organisation]
	if u == nil || u.isNew(now) || u.recent < minRecent || !u.isExceptional(s.others(u), len(s.all)-1) {
		return 0
	}
	return max(0, 1-max(s.level(demand), 1)/u.ratio())
}

// others returns the use of all other organisations together.
func (s *Shares) others(than *use) (total use) {
	for _, u := range s.all {
		if u != than {
			total.recent += u.recent
			total.usual += u.usual
		}
	}
	return total
}

// isExceptional reports whether an organisation uses more than the mean of the n others, and has
// grown much more than they have.
func (u *use) isExceptional(others use, n int) bool {
	return n > 0 && u.recent*float64(n) > others.recent && u.ratio() >= minBeyond*max(1, others.ratio())
}

// level returns the multiple of their usual use up to which organisations get what they ask for.
func (s *Shares) level(demand float64) float64 {
	uses := slices.SortedFunc(maps.Values(s.all), func(a, b *use) int { return cmp.Compare(a.ratio(), b.ratio()) })
	room, weights := 0.0, 0.0
	for _, u := range uses {
		room += u.recent / demand
		weights += max(u.usual, 1)
	}
	for _, u := range uses {
		if u.ratio()*weights >= room {
			return room / weights
		}
		room -= u.recent
		weights -= max(u.usual, 1)
	}
	return math.Inf(1)
}

// A decayed sum counts what was added longer ago less. The zero value is 0.
type decayed struct {
	sum  float64
	asOf time.Time
}

func (d *decayed) at(now time.Time) float64 {
	if d.sum == 0 {
		return 0
	}
	return d.sum * math.Exp2(-now.Sub(d.asOf).Seconds()/recentHalfLife.Seconds())
}

func (d *decayed) add(now time.Time, x float64) { d.sum, d.asOf = d.at(now)+x, now }
