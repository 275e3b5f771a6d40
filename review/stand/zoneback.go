package main

import (
	"slices"
	"time"
)

// The case zone-back: a zone is evacuated and taken back, and its replica is cold then.
// With the disruption, the store gives no answers for two seconds, and is sound again for
// over contact-ms before the zone comes back.
const (
	coldZone   = "pavia-c"
	coldTime   = 3 * time.Second
	coldExcess = 1.5
	coldSlack  = 5.0

	// The times of events, from the start of traffic.
	evacuateAt     = 4 * time.Second
	registerAt     = 7400 * time.Millisecond
	silentAt       = 8200 * time.Millisecond
	silentTime     = 2 * time.Second
	coldAt         = 15 * time.Second
	takenBackAt    = 15500 * time.Millisecond
	zoneBackLength = 20 * time.Second
	// zoneBackEvents is the number of events of a stream.
	zoneBackEvents = 49
)

// playZoneBack plays the case and reports whether the rule FAILBACK was broken.
func playZoneBack(r *record, folder string, trouble bool) (broken bool, err error) {
	var replicas []*replica
	for n, zone := range append(slices.Clone(zones), zones[0]) {
		one, err := startReplica(n, zone, zoneBackEvents, firstEventDelay, nil)
		if err != nil {
			return false, err
		}
		replicas = append(replicas, one)
	}
	late := replicas[len(zones)]
	s, all, err := startDeployment(folder, replicas[:len(zones)])
	defer stopInstances(all)
	if err != nil {
		return false, err
	}
	r.began = time.Now()
	cold := replicas[slices.Index(zones, coldZone)]
	r.line("traffic starts: %.1f requests a second to %d instances and %d replicas", requestsPerSecond, len(all), len(zones))
	r.at(evacuateAt, func() {
		s.Put("op", "evacuate/"+coldZone, map[string]any{})
		r.line("op/evacuate/%s is written", coldZone)
	})
	r.at(registerAt, func() {
		late.register(s, 0, 1)
		r.line("replica %s registers", late.upstream.ID)
	})
	if trouble {
		r.at(silentAt, func() {
			s.silences.Add(1)
			s.silent.Store(true)
			r.line("the store gives no answers")
		})
		r.at(silentAt+silentTime, func() {
			s.silent.Store(false)
			r.line("the store answers again")
		})
	}
	r.at(coldAt, func() {
		cold.register(s, coldTime, 2)
		r.line("replica %s is cold for %v and says so in its entry", cold.upstream.ID, coldTime)
	})
	r.at(takenBackAt, func() {
		s.Remove("op", "evacuate/"+coldZone)
		r.line("op/evacuate/%s is removed", coldZone)
	})
	ended := sendAll(all, zoneBackLength)
	r.line("%d requests sent; ended: %v; calls to the store that got no answer: %d", len(ended.byID), ended.counts(), s.lostCalls.Load())
	r.lineArrivals(cold, takenBackAt-time.Second, takenBackAt+5*time.Second)
	allowed := coldPerSecond*coldExcess + coldSlack
	most, begins := busiest(cold.arrivals(r.began.Add(coldAt), r.began.Add(coldAt+coldTime)), time.Second)
	r.line("while cold, replica %s got %d requests in the second from %.3f s on; allowed %.1f", cold.upstream.ID, most, begins.Sub(r.began).Seconds(), allowed)
	return float64(most) > allowed, nil
}
