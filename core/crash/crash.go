// Package crash finds requests that crash the upstreams which run them.
//
// A request is known by its fingerprint: its organisation and its content. When
// an upstream breaks while it runs a request, the request is a suspect, and so
// is every other request that ran beside it. Suspects are kept apart from each
// other when they are sent again, so that an innocent one is answered and
// thereby cleared, while the one that breaks its next upstream too is refused.
// Instances exchange their counts and add them up.
//
// A suspect normally runs at an upstream where no other suspect can run. A run
// that breaks there proves more than one that may have broken beside the real
// cause, so that the latter only refuses the request for a short time.
//
// Invariant: a fingerprint is refused only after Limit broken runs within
// Memory that no whole answer has cleared, and for longer than Doubt only when
// it was the one suspect of at least one of them.
package crash

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

const (
	// Limit is the number of broken runs after which a request is refused.
	Limit = 2
	// Memory is the time after which a broken run is forgotten.
	Memory = 15 * time.Minute
	// Doubt is how long a request is refused that may have run beside the cause.
	Doubt = 10 * time.Second
	// maxSuspects bounds the fingerprints that an instance remembers.
	maxSuspects = 4096
	// fingerprintBytes is the length of a fingerprint before its encoding.
	fingerprintBytes = 12
)

// A Fingerprint identifies a request by what it asks, not by who sends it when.
type Fingerprint string

// NewFingerprint returns the fingerprint of a request's content.
func NewFingerprint(organisation, name string, content []byte) Fingerprint {
	h := sha256.New()
	for _, part := range [...]string{organisation, name} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(content)
	return Fingerprint(hex.EncodeToString(h.Sum(nil)[:fingerprintBytes]))
}

// A Count is what one instance knows about a fingerprint.
type Count struct {
	Broken  int       `json:"broken"`  // runs that broke
	Alone   int       `json:"alone"`   // of Broken, those without another suspect beside it
	Cleared int       `json:"cleared"` // runs that were answered whole since
	Newest  time.Time `json:"newest"`  // broken run
}

// Version orders the counts of one instance.
func (c Count) Version() uint64 { return uint64(c.Broken)<<32 | uint64(c.Cleared) }

// Suspects holds the counts of all instances. The zero Suspects is empty. It is
// owned by one goroutine or guarded by its owner's mutex.
type Suspects struct {
	counts map[Fingerprint]map[string]Count // by instance
}

// Broke records that an upstream broke while it ran the request, alone among
// suspects or not, and returns the instance's count.
func (s *Suspects) Broke(now time.Time, self string, f Fingerprint, alone bool) Count {
	c := s.own(now, self, f)
	c.Broken++
	if alone {
		c.Alone++
	}
	c.Newest = now
	s.set(f, self, c)
	return c
}

// Answered records that the request was answered whole. It reports whether the
// request was a suspect, and the instance's count.
func (s *Suspects) Answered(now time.Time, self string, f Fingerprint) (Count, bool) {
	if s.counts[f] == nil {
		return Count{}, false
	}
	c := s.own(now, self, f)
	c.Cleared++
	s.set(f, self, c)
	return c, true
}

// Merge takes another instance's count into account.
func (s *Suspects) Merge(f Fingerprint, instance string, c Count) {
	if c.Version() > s.counts[f][instance].Version() {
		s.set(f, instance, c)
	}
}

func (s *Suspects) own(now time.Time, self string, f Fingerprint) Count {
	c := s.counts[f][self]
	if now.Sub(c.Newest) > Memory {
		// The version must not fall, so the old runs count as cleared.
		c.Cleared = max(c.Cleared, c.Broken)
	}
	return c
}

func (s *Suspects) set(f Fingerprint, instance string, c Count) {
	if s.counts == nil {
		s.counts = map[Fingerprint]map[string]Count{}
	}
	if s.counts[f] == nil {
		s.makeRoom()
		s.counts[f] = map[string]Count{}
	}
	s.counts[f][instance] = c
}

// makeRoom forgets the fingerprint whose newest broken run is the oldest.
func (s *Suspects) makeRoom() {
	if len(s.counts) < maxSuspects {
		return
	}
	var oldest Fingerprint
	var oldestAt time.Time
	for f := range s.counts {
		at := s.newest(f)
		if oldest == "" || at.Before(oldestAt) {
			oldest, oldestAt = f, at
		}
	}
	delete(s.counts, oldest)
}

func (s *Suspects) newest(f Fingerprint) time.Time {
	var newest time.Time
	for _, c := range s.counts[f] {
		if c.Newest.After(newest) {
			newest = c.Newest
		}
	}
	return newest
}

// Refuse reports whether the request must not run, and how long at least.
func (s *Suspects) Refuse(now time.Time, f Fingerprint) (time.Duration, bool) {
	if s.Blame(now, f) < Limit {
		return 0, false
	}
	last := Doubt
	for _, c := range s.counts[f] {
		if c.Alone > 0 {
			last = Memory
		}
	}
	left := last - now.Sub(s.newest(f))
	return left, left > 0
}

// Suspect reports whether the request has broken a run that nothing has cleared
// since.
func (s *Suspects) Suspect(now time.Time, f Fingerprint) bool { return s.Blame(now, f) > 0 }

// Blame returns the broken runs that no whole answer has cleared.
func (s *Suspects) Blame(now time.Time, f Fingerprint) int {
	blame := 0
	for _, c := range s.counts[f] {
		if now.Sub(c.Newest) <= Memory {
			blame += c.Broken
		}
		blame -= c.Cleared
	}
	return blame
}

// Expire forgets what is older than Memory.
func (s *Suspects) Expire(now time.Time) {
	for f := range s.counts {
		if now.Sub(s.newest(f)) > Memory {
			delete(s.counts, f)
		}
	}
}

// Len returns the number of fingerprints.
func (s *Suspects) Len() int { return len(s.counts) }
