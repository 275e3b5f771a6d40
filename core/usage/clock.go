package usage

import (
	"slices"
	"time"
)

// offsetRetention is how long a wall clock, or an answer about true time, counts without a
// newer one.
const offsetRetention = 15 * time.Second

// agreedRetention is how long an offset that many clocks have agreed on holds for an instance
// that hears of less than half as many: steady clocks drift by milliseconds meanwhile.
const agreedRetention = 10 * time.Minute

// A Clock estimates true time as the instance's steady clock plus an offset. Wall clocks may
// be wrong by any time, and jump, as long as more than half of them are right.
//
// An instance that gets reports takes the median of the wall clocks in them, and tells it to
// those that report. The others use what they are told by the instances that know the most
// clocks. The estimate is late by the median time in which reports arrive, and wrong by up to
// half of the time in which an answer comes back.
//
// Steady times are those of this instance. The zero Clock knows no clocks.
type Clock struct {
	walls   map[string]observation // by start: of wall clocks
	answers map[string]observation // by instance: of true time
	agreed  observation            // the newest offset that was used
}

type observation struct {
	offset  time.Duration // of the steady clock
	sources int
	at      time.Duration // when it was made
}

// Observe records the wall clock of a start of an instance, this one included.
func (c *Clock) Observe(now time.Duration, start string, wall time.Time) {
	if c.walls == nil {
		c.walls = map[string]observation{}
	}
	c.walls[start] = observation{offset: time.Duration(wall.UnixNano()) - now, at: now, sources: 1}
}

// Learn records what another instance said in answer to a report that was sent at a time.
func (c *Clock) Learn(sent, now time.Duration, instance string, a Answer) {
	if c.answers == nil {
		c.answers = map[string]observation{}
	}
	said := time.Duration(a.TrueMs) * time.Millisecond
	c.answers[instance] = observation{offset: said - (sent + (now-sent)/2), sources: a.Sources, at: now}
}

// Median returns true time by the wall clocks that have been observed here, and their number.
// It is 0 if there is none.
func (c *Clock) Median(now time.Duration) (at time.Time, sources int) {
	offset, sources := c.medianWall(now)
	return time.Unix(0, int64(now+offset)), sources
}

func (c *Clock) medianWall(now time.Duration) (offset time.Duration, sources int) {
	var offsets []time.Duration
	for start, w := range c.walls {
		if now-w.at > offsetRetention {
			delete(c.walls, start)
			continue
		}
		offsets = append(offsets, w.offset)
	}
	return median(offsets), len(offsets)
}

// Now returns true time. It has to have been told of at least one wall clock.
func (c *Clock) Now(now time.Duration) time.Time {
	offset, most := c.medianWall(now)
	known := []observation{{offset: offset, sources: most}}
	for instance, a := range c.answers {
		if now-a.at > offsetRetention {
			delete(c.answers, instance)
			continue
		}
		known = append(known, a)
		most = max(most, a.sources)
	}
	var offsets []time.Duration
	for _, k := range known {
		if 2*k.sources > most {
			offsets = append(offsets, k.offset)
		}
	}
	if 2*most >= c.agreed.sources || now-c.agreed.at > agreedRetention {
		c.agreed = observation{offset: median(offsets), sources: most, at: now}
	}
	return time.Unix(0, int64(now+c.agreed.offset))
}

// median returns the lower median, or 0 for none.
func median(all []time.Duration) time.Duration {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[(len(all)-1)/2]
}
