// Package crash detects requests that crash the upstreams which run them.
//
// A request is identified by its fingerprint, a hash of its organisation and
// content. A run is broken when its upstream fails during it. The request is then
// a suspect, and so is every other request that ran there at the same time.
// Suspects are retried at separate upstreams: a harmless one is answered and
// thereby cleared, the one that breaks its next upstream too is refused.
// Instances exchange their counts and add them up.
//
// A suspect normally runs at an upstream where no other suspect can run. A run
// that breaks there is stronger evidence than one that may have been broken by
// another request, so the latter refuses the request only for a short time.
//
// Invariant: a fingerprint is refused only after Threshold broken runs within
// Retention that no complete answer has cleared, and for longer than
// TentativeRefusal only when it was the only suspect in at least one of them.
package crash

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

const (
	// Threshold is the number of broken runs from which a request is refused.
	Threshold = 2
	// Retention is how long a broken run counts, and how long a request is
	// refused that was the only suspect in one.
	Retention = 15 * time.Minute
	// TentativeRefusal is how long a request is refused whose broken runs may all
	// have been caused by another request.
	TentativeRefusal = 10 * time.Second
	// maxSuspects bounds the number of fingerprints that an instance stores.
	maxSuspects = 4096
	// fingerprintBytes is the length of a fingerprint before hex encoding.
	fingerprintBytes = 12
)

// A Fingerprint identifies a request by its organisation and content, so that a
// retried request has the same one.
type Fingerprint string

// NewFingerprint returns the fingerprint of a request. The name tells kinds of
// requests with the same content apart, such as the model or the path.
func NewFingerprint(organisation, name string, content []byte) Fingerprint {
	h := sha256.New()
	for _, part := range [...]string{organisation, name} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(content)
	return Fingerprint(hex.EncodeToString(h.Sum(nil)[:fingerprintBytes]))
}

// Counts is what one instance has counted for a fingerprint.
type Counts struct {
	BrokenRuns  int       `json:"broken"`  // broken runs
	BrokenAlone int       `json:"alone"`   // those of BrokenRuns without another suspect at the upstream
	ClearedRuns int       `json:"cleared"` // completely answered runs while a suspect
	LastBroken  time.Time `json:"newest"`  // time of the newest broken run
}

// Version increases with every change of one instance's counts.
func (c Counts) Version() uint64 { return uint64(c.BrokenRuns)<<32 | uint64(c.ClearedRuns) }

// Suspects holds the counts of all instances. The zero Suspects is empty. It
// isn't safe for concurrent use.
type Suspects struct {
	counts map[Fingerprint]map[string]Counts // by instance
}

// RecordBroken records a broken run of the request at the instance self, and
// returns that instance's counts. alone says that no other suspect ran at the
// upstream.
func (s *Suspects) RecordBroken(now time.Time, self string, f Fingerprint, alone bool) Counts {
	c := s.ownCounts(now, self, f)
	c.BrokenRuns++
	if alone {
		c.BrokenAlone++
	}
	c.LastBroken = now
	s.setCounts(f, self, c)
	return c
}

// RecordCompleted records that the request was answered completely. It returns the
// counts of the instance self and whether the request had any; a request without
// counts isn't recorded.
func (s *Suspects) RecordCompleted(now time.Time, self string, f Fingerprint) (Counts, bool) {
	if s.counts[f] == nil {
		return Counts{}, false
	}
	c := s.ownCounts(now, self, f)
	c.ClearedRuns++
	s.setCounts(f, self, c)
	return c, true
}

// Merge stores another instance's counts unless newer ones are known.
func (s *Suspects) Merge(f Fingerprint, instance string, c Counts) {
	if c.Version() > s.counts[f][instance].Version() {
		s.setCounts(f, instance, c)
	}
}

func (s *Suspects) ownCounts(now time.Time, self string, f Fingerprint) Counts {
	c := s.counts[f][self]
	if now.Sub(c.LastBroken) > Retention {
		// The version must not decrease, so the old runs count as cleared.
		c.ClearedRuns = max(c.ClearedRuns, c.BrokenRuns)
	}
	return c
}

func (s *Suspects) setCounts(f Fingerprint, instance string, c Counts) {
	if s.counts == nil {
		s.counts = map[Fingerprint]map[string]Counts{}
	}
	if s.counts[f] == nil {
		s.evictOldest()
		s.counts[f] = map[string]Counts{}
	}
	s.counts[f][instance] = c
}

// evictOldest makes space for a fingerprint: when maxSuspects are stored, it
// drops the one whose last broken run is the oldest.
func (s *Suspects) evictOldest() {
	if len(s.counts) < maxSuspects {
		return
	}
	var oldest Fingerprint
	var oldestAt time.Time
	for f := range s.counts {
		at := s.lastBroken(f)
		if oldest == "" || at.Before(oldestAt) {
			oldest, oldestAt = f, at
		}
	}
	delete(s.counts, oldest)
}

func (s *Suspects) lastBroken(f Fingerprint) time.Time {
	var newest time.Time
	for _, c := range s.counts[f] {
		if c.LastBroken.After(newest) {
			newest = c.LastBroken
		}
	}
	return newest
}

// ShouldRefuse reports whether the request must be refused, and for how much
// longer.
func (s *Suspects) ShouldRefuse(now time.Time, f Fingerprint) (time.Duration, bool) {
	if s.UnclearedRuns(now, f) < Threshold {
		return 0, false
	}
	period := TentativeRefusal
	for _, c := range s.counts[f] {
		if c.BrokenAlone > 0 {
			period = Retention
		}
	}
	left := period - now.Sub(s.lastBroken(f))
	return left, left > 0
}

// IsSuspect reports whether the request has broken runs that are not cleared.
func (s *Suspects) IsSuspect(now time.Time, f Fingerprint) bool { return s.UnclearedRuns(now, f) > 0 }

// UnclearedRuns returns the number of broken runs within Retention minus the
// number of cleared runs, over all instances.
func (s *Suspects) UnclearedRuns(now time.Time, f Fingerprint) int {
	n := 0
	for _, c := range s.counts[f] {
		if now.Sub(c.LastBroken) <= Retention {
			n += c.BrokenRuns
		}
		n -= c.ClearedRuns
	}
	return n
}

// Expire drops the fingerprints whose last broken run is older than Retention.
func (s *Suspects) Expire(now time.Time) {
	for f := range s.counts {
		if now.Sub(s.lastBroken(f)) > Retention {
			delete(s.counts, f)
		}
	}
}

// Len returns the number of stored fingerprints.
func (s *Suspects) Len() int { return len(s.counts) }
