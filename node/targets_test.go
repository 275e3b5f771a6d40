package node

import "time"

// The users' targets, which the measures are held against.
const (
	firstTokenTarget      = 1100 * time.Millisecond // for 95 in 100
	gapTarget             = 46 * time.Millisecond   // for 95 in 100
	disruptionRatioTarget = 1.25                    // p95 while a domain leaves and returns, over that before
	answeredTarget        = 1.0                     // share of requests answered meanwhile
	// slowReaderBytesTarget is 400 MB for 10,000 slow readers.
	slowReaderBytesTarget = 400 << 20 / 10_000
	// goodputRatioTarget is the goodput at three times the capacity over its peak.
	goodputRatioTarget = 0.9
	// floodRatioTarget is the p95 of an organisation beside another's flood, over that
	// without it.
	floodRatioTarget = 1.1
)
