package suspect

import "time"

const (
	// VerdictRetention is how long a verdict is kept.
	VerdictRetention = 24 * time.Hour
	// maxVerdicts bounds the verdicts, and maxVerdictsPerOrganisation those that name
	// an organisation.
	maxVerdicts                = 256
	maxVerdictsPerOrganisation = 32
	// maxProbes bounds the requests that are sent despite a verdict, to find out
	// whether it still holds.
	maxProbes = 3
	// objectionTime is how long the other instances have to say that they have answered
	// requests with the traits, before these are refused.
	objectionTime = 400 * time.Millisecond
	// turnTime is how long a request that is foreign to a verdict may run before the next
	// one is sent: long enough to crash its upstream, and for others to learn of it.
	turnTime = 2 * time.Second
	// firstProbeDelay is the time from a verdict to its first probe, probeDelayFactor
	// how many times longer each further delay is.
	firstProbeDelay  = time.Minute
	probeDelayFactor = 8
)

// A Verdict says that requests with certain traits crash upstreams, or no longer do.
type Verdict struct {
	Traits  Traits `json:"traits"`
	Crashes int    `json:"crashes"` // that it explained when it was found
	// Epoch is incremented when the verdict is found again after it was cleared.
	Epoch uint32 `json:"epoch"`
	// Probes is the number of requests that were sent despite the verdict.
	Probes uint8 `json:"probes,omitempty"`
	// Cleared is true if a request with all traits has been answered.
	Cleared bool `json:"cleared,omitempty"`
	// OthersAnswered is true if a request of another organisation than the verdict's, with
	// the rest of its traits, has been answered.
	OthersAnswered bool `json:"others-answered,omitempty"`
	// Answered are traits of an answered request that cleared it.
	Answered Traits `json:"answered,omitempty"`
	// FoundUnixMs is the time at which it was found, in Unix milliseconds.
	FoundUnixMs int64 `json:"found-unix-ms"`

	changedAt time.Time // when this instance learnt of the newest version
	enforced  bool      // requests with the traits are refused; false if Cleared
	// wasEnforced is true if a version of the verdict has been enforced here.
	wasEnforced bool
	turnUntil   time.Time // until then, requests that are foreign to the verdict wait
}

// isPending reports whether other instances may still object to the verdict.
func (v *Verdict) isPending() bool { return !v.Cleared && !v.enforced }

// Version orders the states of the verdict on the same traits.
func (v *Verdict) Version() uint64 {
	n := uint64(v.Epoch)<<16 | uint64(v.Probes)<<2
	if v.OthersAnswered {
		n |= 2
	}
	if v.Cleared {
		n |= 1
	}
	return n
}

// explains reports whether the verdict explains crashes. One on a single request does
// not: its crashes still count as evidence on what that request shares with others.
func (v *Verdict) explains() bool { return v.enforced && v.Traits.value(requestPrefix) == "" }

// IsLasting reports whether the verdict is worth keeping in a store: it is enforced, or
// it clears one that may have been.
func (v *Verdict) IsLasting() bool { return v.enforced || v.Cleared && v.wasEnforced }

// RetryAfter returns how long requests with the traits will be refused at least.
func (v *Verdict) RetryAfter(now time.Time) time.Duration {
	if v.Probes >= maxProbes {
		return max(0, VerdictRetention-now.Sub(v.changedAt))
	}
	return max(0, v.probeDelay()-now.Sub(v.changedAt))
}

// probeDelay returns the time from the newest change to the next probe.
func (v *Verdict) probeDelay() time.Duration {
	delay := firstProbeDelay
	for range v.Probes {
		delay *= probeDelayFactor
	}
	return delay
}

// probeDue reports whether a request may be sent despite the verdict.
func (v *Verdict) probeDue(now time.Time) bool {
	return v.Probes < maxProbes && now.Sub(v.changedAt) >= v.probeDelay()
}
