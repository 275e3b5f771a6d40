package placement

import "slices"

const (
	// unevenFrom is how many times as long as the fast upstreams of a service the slow ones
	// take when it counts as uneven, and evenBelow when it no longer does.
	unevenFrom = 1.75
	evenBelow  = 1.45
	// unevennessWeight is the weight of the newest news, of which one comes each half second.
	// Upstreams of the same pace may differ for some seconds, when they are busy.
	unevennessWeight = 0.1
	// minUnevenUpstreams is the number of upstreams of known pace below which nothing is
	// concluded, and minPaceAnswers that of recent answers from which on a pace is known.
	minUnevenUpstreams = 6
	minPaceAnswers     = 8.0
)

// An unevenness tells whether the upstreams of a service differ so much in pace, and lastingly,
// that what they can do decides where prompts go. The zero unevenness knows of no difference.
type unevenness struct {
	ratio float64 // of the time that slow ones take to that of fast ones; 0 if unknown
	holds bool
}

// update takes news of the pace of the upstreams. The slow ones and the fast ones are the
// sixths at either end, so that no single upstream decides.
func (n *unevenness) update(us []*upstream) {
	known := make([]float64, 0, len(us))
	for _, u := range us {
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
	if n.ratio == 0 {
		n.ratio = 1
	}
	n.ratio += unevennessWeight * (ratio - n.ratio)
	switch {
	case n.ratio >= unevenFrom:
		n.holds = true
	case n.ratio < evenBelow:
		n.holds = false
	}
}
