package trial

import (
	"encoding/json"
	"fmt"
	"testing"

	"banyanyard/core/rollout"
	"banyanyard/core/tally"

	"github.com/matryer/is"
)

// TestReportsLeaveRoomOnTheLinkOfTheirCollector guards against reports that fill the link of the instance that collects them.
func TestReportsLeaveRoomOnTheLinkOfTheirCollector(t *testing.T) {
	const (
		instances       = 94
		reportsPerS     = 2
		linkBytesPerS   = 10_000_000 / 8
		maxPartOfLink   = 0.25
		kindsOfRequests = 9
	)
	answered := rollout.Arm{Errors: tally.Counts{Good: 31, Bad: 1}, Failures: tally.Counts{Good: 32}, Latency: tally.Counts{Good: 12}}
	r := Report{To: "v2", Elapsed: 15_250_000_000, Kinds: map[string]rollout.Evidence{}, Exposure: Exposure{All: 120, New: 9}, OldRunning: -1, Running: 6}
	for n := range kindsOfRequests {
		r.Kinds[fmt.Sprintf("route-%d/model-%d", n/3, n%3)] = rollout.Evidence{Old: answered}
	}
	data, err := json.Marshal(r)
	is := is.New(t)
	is.NoErr(err)
	is.True(float64(len(data)*instances*reportsPerS) <= maxPartOfLink*linkBytesPerS)
	var decoded Report
	is.NoErr(json.Unmarshal(data, &decoded))
	is.Equal(decoded, r)
}
