package suspect

import (
	"time"
)

// isForeign reports whether a verdict is limited to another organisation than that of a
// request with the rest of its traits, and no such request has been answered since. The
// request may crash its upstream too, or the verdict's organisation may have chosen a
// part of others to have it refused.
func (v *Verdict) isForeign(traits Traits) bool {
	return v.explains() && !v.OthersAnswered && v.Traits.value(organisationPrefix) != "" &&
		!traits.HasAll(v.Traits) && traits.HasAll(v.Traits.without(organisationPrefix))
}

// foreign returns a verdict that is foreign to a request with the traits, or nil.
func (t *Table) foreign(traits Traits) *Verdict {
	for _, v := range t.verdicts {
		if v.isForeign(traits) {
			return v
		}
	}
	return nil
}

// recordForeign records an answer to a request that is foreign to verdicts, and returns
// these: other organisations than theirs may send such requests freely.
func (t *Table) recordForeign(answered Traits) []Verdict {
	var changed []Verdict
	for _, v := range t.verdicts {
		if v.isForeign(answered) {
			v.OthersAnswered = true
			changed = append(changed, *v)
		}
	}
	return changed
}

// MayRepeat reports whether a request with the traits may be sent again after its
// upstream crashed.
func (t *Table) MayRepeat(traits Traits) bool { return t.foreign(traits) == nil }

// Turn returns a verdict that is foreign to a request with the traits, and how long the
// request is to stay away because another one takes its turn; nil if there is none.
func (t *Table) Turn(now time.Time, traits Traits) (*Verdict, time.Duration) {
	v := t.foreign(traits)
	if v == nil || !now.Before(v.turnUntil) {
		return nil, 0
	}
	return v, v.turnUntil.Sub(now)
}

// TakeTurn is called immediately before a request is sent. If requests with its traits
// are sent one after the other, it returns the key of their verdict, with which the
// other instances are to call HoldTurn.
func (t *Table) TakeTurn(now time.Time, traits Traits) (key string, ok bool) {
	v := t.foreign(traits)
	if v == nil {
		return "", false
	}
	key = v.Traits.Key()
	t.HoldTurn(now, key)
	return key, true
}

// HoldTurn keeps requests away that are foreign to the verdict with the key, while one of
// them runs at some instance.
func (t *Table) HoldTurn(now time.Time, key string) {
	if v := t.verdicts[key]; v != nil {
		v.turnUntil = now.Add(turnTime)
	}
}
