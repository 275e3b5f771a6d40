package node

import "time"

// The users' targets, which the measures are held against.
const (
	firstTokenBound = 1100 * time.Millisecond // for 95 in 100
	gapBound        = 46 * time.Millisecond   // for 95 in 100
	duringBound     = 1.25                    // p95 while a domain leaves and returns, over that before
	answeredBound   = 1.0                     // share of requests answered meanwhile
	// slowReaderBound is 400 MB for 10,000 slow readers.
	slowReaderBound = 400 << 20 / 10_000
	// goodputBound is the goodput at three times the capacity over its peak.
	goodputBound = 0.9
	// floodBound is the p95 of an organisation beside another's flood, over that
	// without it.
	floodBound = 1.1
)
