package node

import "time"

// The users' performance targets, which the measuring tests check.
const (
	firstTokenTarget      = 1100 * time.Millisecond // for 95 in 100
	gapTarget             = 46 * time.Millisecond   // for 95 in 100
	disruptionRatioTarget = 1.25                    // p95 during a disruption, over that before it
	answeredTarget        = 1.0                     // share of requests answered during a disruption
	// slowReaderBytesTarget is for each slow reader: 400 MB for 10,000.
	slowReaderBytesTarget = 400 << 20 / 10_000
	// goodputRatioTarget is the goodput under a load of three times the
	// capacity, over that at the capacity.
	goodputRatioTarget = 0.9
	// floodRatioTarget is an organisation's p95 while another floods the
	// instances, over that without the flood.
	floodRatioTarget = 1.1
)
