package trial

import "time"

const (
	// rateSpan is the span over which the rate of requests is taken.
	rateSpan = 4 * time.Second
	// newestRateSpan is the same for the newest rate.
	newestRateSpan = 450 * time.Millisecond
	// quietRateSpan replaces newestRateSpan if there were fewer than minNewestAttempts in it,
	// as chance would look like a change of the rate.
	quietRateSpan     = 950 * time.Millisecond
	minNewestAttempts = 20
	// minRateSpan is the shortest span over which a rate is taken.
	minRateSpan = 200 * time.Millisecond
)

// arrivals are the newest counts of the attempts of one instance, from which its rate is
// taken. They come with that instance's time, so that the delay of its reports and the time
// between them do not look like a change of the rate. The zero Arrivals are empty.
type arrivals struct {
	samples []arrivalSample // oldest first
}

type arrivalSample struct {
	elapsed time.Duration // since the order
	all     int
}

// record adds a count. If it is lower than the one before, the instance has restarted.
func (a *arrivals) record(elapsed time.Duration, all int) {
	n := len(a.samples)
	if n > 0 && all < a.samples[n-1].all {
		a.samples, n = nil, 0
	}
	if n > 1 && elapsed-a.samples[n-2].elapsed < minRateSpan {
		a.samples = a.samples[:n-1] // replaced
	}
	a.samples = append(a.samples, arrivalSample{elapsed: elapsed, all: all})
	for len(a.samples) > 1 && elapsed-a.samples[1].elapsed >= rateSpan {
		a.samples = a.samples[1:]
	}
}

// rate returns the attempts per second over the shortest span that is known and at least
// as long as the given one, or else over the longest.
func (a *arrivals) rate(span time.Duration) float64 {
	if len(a.samples) == 0 {
		return 0
	}
	newest, since := a.samples[len(a.samples)-1], a.samples[0]
	for _, s := range a.samples {
		if newest.elapsed-s.elapsed >= span {
			since = s
		}
	}
	known := newest.elapsed - since.elapsed
	if known < minRateSpan {
		return 0
	}
	return float64(newest.all-since.all) / known.Seconds()
}
