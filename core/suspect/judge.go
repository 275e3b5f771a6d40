package suspect

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// A hypothesis says that requests with all traits crash upstreams.
type hypothesis struct {
	traits   Traits
	moments  []int     // numbers of the moments at which it explains a crash
	weights  []float64 // of these crashes
	since    time.Time // when the first of these crashes was learnt of
	requests []string  // its candidates so far, by fingerprint
	// widens is true if a verdict with more traits is in force, which is evidence too.
	widens bool
}

// Judge evaluates the crashes. It returns the verdicts that it finds, which the other
// instances are to be told, and those that are enforced from now on. If again is true,
// it must be called again soon. It costs more than the other methods, so the caller
// bounds how often it is called.
func (t *Table) Judge(now time.Time) (found, enforced []Verdict, again bool) {
	enforced = t.enforceDue(now)
	if t.dirty {
		found = t.find(now)
	}
	return found, enforced, t.HasNews()
}

// find returns the verdicts that the crashes justify, and adopts them.
func (t *Table) find(now time.Time) []Verdict {
	var found []Verdict
	for {
		t.dirty = false
		t.lacksAnswers = false
		all := t.hypotheses()
		h := t.strongest(all)
		if h == nil {
			t.suspected = nil
			for _, h := range all {
				t.suspected = append(t.suspected, h.traits)
			}
			return found
		}
		v := Verdict{Traits: h.traits, Crashes: len(h.moments), Epoch: 1, FoundUnixMs: now.UnixMilli(), changedAt: now}
		key := v.Traits.Key()
		if known := t.verdicts[key]; known != nil {
			v.Epoch = known.Epoch + 1
		}
		t.put(key, v)
		found = append(found, *t.verdicts[key])
	}
}

// hypotheses returns the sets of traits that candidates of different crashes share
// and that no answer clears. Of nested sets with the same crashes only the largest is
// included.
func (t *Table) hypotheses() []*hypothesis {
	moments := t.moments()
	byKey := map[string]*hypothesis{}
	for key, shared := range t.shared {
		h, counts := t.newHypothesis(shared, moments)
		if !counts {
			delete(t.shared, key)
			continue
		}
		if len(h.moments) >= minSuspected {
			byKey[h.traits.String()] = h
		}
	}
	var all []*hypothesis
	for _, h := range byKey {
		if !hasLarger(byKey, h) {
			all = append(all, h)
		}
	}
	slices.SortFunc(all, func(a, b *hypothesis) int { return cmp.Compare(a.traits.String(), b.traits.String()) })
	return all
}

func hasLarger(all map[string]*hypothesis, h *hypothesis) bool {
	for _, o := range all {
		if len(o.traits) > len(h.traits) && o.traits.HasAll(h.traits) && slices.Equal(o.moments, h.moments) {
			return true
		}
	}
	return false
}

// moments returns the number of the moment of each crash: crashes within sameMoment
// of the first of them have the same one.
func (t *Table) moments() []int {
	order := make([]int, len(t.crashes))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(t.crashes[a].UnixMs, t.crashes[b].UnixMs) })
	moments := make([]int, len(t.crashes))
	n, start := -1, int64(0)
	for _, i := range order {
		if at := t.crashes[i].UnixMs; n < 0 || at-start >= sameMoment.Milliseconds() {
			n++
			start = at
		}
		moments[i] = n
	}
	return moments
}

// newHypothesis returns the hypothesis that follows from a set of traits which
// candidates share. It reports false if fewer than minSuspected crashes have a candidate
// with all of them.
func (t *Table) newHypothesis(shared Traits, moments []int) (h *hypothesis, counts bool) {
	n := 0
	var since time.Time
	for _, c := range t.crashes {
		if c.weight(shared) > 0 {
			n++
			since = earlier(since, c.learnt)
		}
	}
	h = &hypothesis{traits: t.cause(shared, since)}
	if n < minSuspected || h.traits == nil {
		return h, n >= minSuspected
	}
	newest := t.newestAnswer(h.traits)
	for i, c := range t.crashes {
		if (newest.IsZero() || c.learnt.Sub(newest) >= soundPeriod) && !t.isPendingCause(c) {
			h.add(c, moments[i])
		}
	}
	t.limitToOrganisation(h)
	return h, true
}

func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// cause returns the traits that may be the cause of crashes since a time: all that
// identify a request, or else the service and the parts that no answered request had.
// It returns nil if answered requests had each of the parts.
func (t *Table) cause(shared Traits, since time.Time) Traits {
	if shared.value(requestPrefix) != "" {
		return shared
	}
	service := Traits{servicePrefix + shared.value(servicePrefix)}
	var cause Traits
	for _, trait := range shared {
		if !strings.HasPrefix(trait, PartPrefix) {
			continue
		}
		answered := t.answers.newest(append(Traits{trait}, service...))
		if answered == nil || since.Sub(answered.last) >= soundPeriod {
			cause = append(cause, trait)
		}
	}
	if cause == nil {
		return nil
	}
	return append(cause, service...)
}

// limitToOrganisation adds the organisation to a hypothesis if all its candidates belong
// to the same one: it may have chosen a part of others to have it refused.
func (t *Table) limitToOrganisation(h *hypothesis) {
	if h.traits.value(requestPrefix) != "" {
		return
	}
	organisations := map[string]bool{}
	for _, c := range t.crashes {
		for _, o := range c.Candidates {
			if o.Traits.HasAll(h.traits) {
				organisations[o.Traits.value(organisationPrefix)] = true
			}
		}
	}
	for _, v := range t.verdicts {
		if v.explains() && v.Traits.HasAll(h.traits) {
			h.widens = true
			organisations[v.Traits.value(organisationPrefix)] = true
		}
	}
	for organisation := range organisations {
		if organisation != "" && len(organisations) == 1 {
			h.traits = append(Traits{organisationPrefix + organisation}, h.traits...)
		}
	}
}

// isPendingCause reports whether a verdict that waits for objections explains the crash.
func (t *Table) isPendingCause(c *crash) bool {
	for _, v := range t.verdicts {
		if v.isPending() && c.weight(v.Traits) > 0 {
			return true
		}
	}
	return false
}

// newestAnswer returns the time of the newest answer to a request with all traits, at
// any instance as far as known; zero if there is none.
func (t *Table) newestAnswer(traits Traits) time.Time {
	var newest time.Time
	if answered := t.answers.newest(traits); answered != nil {
		newest = answered.last
	}
	if v := t.verdicts[traits.Key()]; v != nil && v.Cleared && v.changedAt.After(newest) {
		return v.changedAt
	}
	return newest
}

// add adds a crash if one of its candidates has all traits. Of several crashes at the
// same moment the one with the highest weight counts.
func (h *hypothesis) add(c *crash, moment int) {
	weight := c.weight(h.traits)
	if weight == 0 {
		return
	}
	if h.since.IsZero() || c.learnt.Before(h.since) {
		h.since = c.learnt
	}
	if !h.addRequests(c) && h.traits.value(requestPrefix) == "" {
		weight *= repeatWeight
	}
	if at := slices.Index(h.moments, moment); at >= 0 {
		h.weights[at] = max(h.weights[at], weight)
		return
	}
	h.moments = append(h.moments, moment)
	h.weights = append(h.weights, weight)
}

// addRequests adds the candidates of a crash that have all traits, and reports whether
// one of them is new.
func (h *hypothesis) addRequests(c *crash) (isNew bool) {
	for _, o := range c.Candidates {
		request := o.Traits.value(requestPrefix)
		if o.Traits.HasAll(h.traits) && !slices.Contains(h.requests, request) {
			h.requests = append(h.requests, request)
			isNew = true
		}
	}
	return isNew
}

// strongest returns the hypothesis with the most evidence if that suffices, or nil.
func (t *Table) strongest(all []*hypothesis) *hypothesis {
	var best *hypothesis
	bestEvidence := 0.0
	for _, h := range all {
		if len(h.moments) < minCrashes && !h.widens || t.Refusal(h.traits) != nil {
			continue
		}
		e := h.evidence(all)
		if e < minEvidence || e < bestEvidence || e == bestEvidence && len(h.traits) <= len(best.traits) {
			continue
		}
		if !t.othersAnswered(h) {
			t.lacksAnswers = true
			continue
		}
		best, bestEvidence = h, e
	}
	return best
}

// othersAnswered reports whether the service has answered requests other than those of
// the hypothesis since its crashes began. If it has not, the crashes may have another
// cause. A verdict on a single request needs no such proof: it harms no other.
func (t *Table) othersAnswered(h *hypothesis) bool {
	return h.traits.value(requestPrefix) != "" || t.answers.others(h.since.Add(-soundPeriod), h.traits) >= minOtherAnswers
}

// evidence returns the weighted number of crashes that the hypothesis explains. A
// crash that others explain as well, which explain as many crashes, is split among
// them.
func (h *hypothesis) evidence(all []*hypothesis) float64 {
	sum := 0.0
	for i, moment := range h.moments {
		explanations := 1
		for _, o := range all {
			nested := o.traits.HasAll(h.traits) || h.traits.HasAll(o.traits)
			if !nested && len(o.moments) >= len(h.moments) && slices.Contains(o.moments, moment) {
				explanations++
			}
		}
		sum += h.weights[i] / float64(explanations)
	}
	if h.widens {
		sum++
	}
	return sum
}
