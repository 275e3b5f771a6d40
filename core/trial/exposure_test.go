package trial

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestNewestRateOfSteadyTraffic guards against good versions that are stopped: the requests
// of the other instances become known in steps, which must not look like more traffic.
func TestNewestRateOfSteadyTraffic(t *testing.T) {
	const (
		perSecond      = 16 // of each instance
		others         = 2
		reportInterval = 500 * time.Millisecond
		step           = 10 * time.Millisecond
		maxFactor      = 1.5 // three reports in two intervals
	)
	for phase := time.Duration(0); phase < reportInterval; phase += step {
		is := is.New(t)
		var l ledger
		for elapsed := time.Duration(0); elapsed < 20*time.Second; elapsed += step {
			all := perSecond * elapsed.Seconds()
			reported := (elapsed + phase).Truncate(reportInterval)
			all += others * perSecond * reported.Seconds()
			l.record(elapsed, int(all))
			if elapsed > 5*time.Second {
				is.True(l.newestRate(elapsed, int(all)) <= maxFactor*(others+1)*perSecond)
			}
		}
	}
}
