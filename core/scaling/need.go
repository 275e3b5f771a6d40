package scaling

import "banyanyard/core/load"

const (
	// surgeLoad is the share of slots, and of the time for reading prompts, up to which
	// upstreams still answer within the objectives.
	surgeLoad = 0.85
	// maxTargetLoad is the load that upstreams are ordered for at most.
	maxTargetLoad = 0.6
	// minAnswers is the number of answers below which a single late one says little.
	minAnswers = 20
)

// targetLoad returns the load that upstreams are ordered for: the loss of one failure
// domain must not take those of the others beyond surgeLoad.
func targetLoad(domains int) float64 {
	if domains < 2 {
		return maxTargetLoad
	}
	return min(maxTargetLoad, surgeLoad*float64(domains-1)/float64(domains))
}

// need returns the number of upstreams that the demand keeps at the target load.
//
// Slots are one bound. Reading prompts is the other: an upstream reads them one after
// another, so that with a share r of its time taken r/(1-r) of them are waiting or being
// read.
func need(d load.Demand, slots, serving, target float64) float64 {
	if serving <= 0 || slots <= 0 {
		return 0
	}
	reading := d.Reading / serving
	busy := serving * reading / (1 + reading)
	return max(d.Running/slots, busy) / target
}

// missed returns the share of requests that were late or found no room.
func missed(d load.Demand) float64 {
	return float64(d.Late+d.Refused) / float64(max(d.Answered+d.Refused, minAnswers))
}
