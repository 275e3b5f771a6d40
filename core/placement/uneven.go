package placement

import "slices"

const (
	// unevenFrom is how many times as long as the fast upstreams of a service the slow ones
	// take when it counts as uneven, and evenBelow when it no longer does.
	unevenFrom = 1.6
	evenBelow  = 1.35
	// minUnevenUpstreams is the number of upstreams of known pace below which nothing is
	// concluded, and minPaceAnswers that of recent answers from which on a pace is known.
	minUnevenUpstreams = 6
	minPaceAnswers     = 8.0
)

// updateUnevenness decides whether the upstreams of the service differ so much in pace, and
// lastingly, that what they can do decides where prompts go. The slow ones and the fast ones
// are the sixths at either end, so that no single upstream decides.
func (s *service) updateUnevenness() {
	known := make([]float64, 0, len(s.upstreams))
	for _, u := range s.upstreams {
		if u.paceAnswers >= minPaceAnswers {
			known = append(known, u.slowness)
		}
	}
	if len(known) < minUnevenUpstreams {
		return
	}
	slices.Sort(known)
	sixth := len(known) / 6
	ratio := known[len(known)-1-sixth] / known[sixth]
	switch {
	case ratio >= unevenFrom:
		s.uneven = true
	case ratio < evenBelow:
		s.uneven = false
	}
}
