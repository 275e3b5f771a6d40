package admission

import "time"

// kindRetention is how long a kind counts without a request of it.
const kindRetention = 2 * time.Second

// workWeight is the weight of a new prompt in the mean of its kind.
const workWeight = 1.0 / 16

// A Kind is a class of requests that are alike to a decision.
type Kind struct {
	Priority  int
	Large     bool
	Objective time.Duration // the smallest seen
	Work      float64       // mean prompt work of the requests with that, in tokens

	last time.Time
}

type kindKey struct {
	priority int
	large    bool
}

// kinds are the kinds of request that came recently. Configuration bounds the number of
// priorities, and so that of the kinds.
type kinds struct{ byKey map[kindKey]*Kind }

func (s *kinds) record(now time.Time, q Request) {
	if q.Objective <= 0 {
		return
	}
	key := kindKey{q.Priority, q.Large}
	k := s.byKey[key]
	if k == nil || now.Sub(k.last) > kindRetention {
		if s.byKey == nil {
			s.byKey = map[kindKey]*Kind{}
		}
		k = &Kind{Priority: q.Priority, Large: q.Large, Objective: q.Objective, Work: q.Work}
		s.byKey[key] = k
	}
	switch {
	case q.Objective < k.Objective:
		k.Objective, k.Work = q.Objective, q.Work
	case q.Objective == k.Objective:
		k.Work += workWeight * (q.Work - k.Work)
	}
	k.last = now
}

// recent returns the kinds of which a request came recently, and forgets the others.
func (s *kinds) recent(now time.Time) []Kind {
	var recent []Kind
	for key, k := range s.byKey {
		if now.Sub(k.last) > kindRetention {
			delete(s.byKey, key)
			continue
		}
		recent = append(recent, *k)
	}
	return recent
}

// minSlackFactor is how many times as long as that of others a request's latency objective must
// be for it to yield to them at the same priority.
const minSlackFactor = 2

// yieldsTo reports whether the request may be held for a kind: one that is more urgent, or as
// urgent with much less time.
func (t *Ticket) yieldsTo(k *Kind) bool {
	return k.Priority < t.Priority || k.Priority == t.Priority && minSlackFactor*k.Objective <= t.Objective
}
