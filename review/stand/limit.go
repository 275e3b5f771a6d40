package main

import "time"

// The case limit: a replica in need names a limit in its answers. With the disruption, it
// is partitioned from the store for five seconds, so that its entry expires and comes back,
// while it goes on serving.
const (
	// One of five replicas is in need, and partitioned from the store.
	limitReplicas = 5
	inNeedReplica = 2

	namedLimit  = 2.0 // requests a second
	limitWindow = 4 * time.Second
	limitExcess = 1.5
	limitSlack  = 5.0
	// passedOnTime is the time after which an instance that has passed on an answer with
	// the limit counts.
	passedOnTime = 500 * time.Millisecond
	// needDelay is the time to the first event of the replica in need.
	needDelay = 800 * time.Millisecond

	// The times of events, from the start of traffic.
	needAt      = 3 * time.Second
	cutAt       = 7 * time.Second
	expiredAt   = cutAt + 3600*time.Millisecond // three status report intervals
	backAt      = cutAt + 6*time.Second         // after a cut of 5 s and the next status report
	limitLength = 20 * time.Second
	// limitEvents is the mean number of events of the site's streams.
	limitEvents = 37
)

// playLimit plays the case and reports whether the rule LIMIT was broken.
func playLimit(r *record, folder string, trouble bool) (broken bool, err error) {
	var replicas []*replica
	needed := func() float64 {
		if r.began.IsZero() || time.Since(r.began) < needAt {
			return 0
		}
		return namedLimit
	}
	for n := range limitReplicas {
		zone := zones[n%len(zones)]
		delay, limit := firstEventDelay, (func() float64)(nil)
		if n == inNeedReplica {
			delay, limit = needDelay, needed
		}
		one, err := startReplica(n, zone, limitEvents, delay, limit)
		if err != nil {
			return false, err
		}
		replicas = append(replicas, one)
	}
	r.began = time.Time{}
	s, all, err := startDeployment(folder, replicas)
	defer stopInstances(all)
	if err != nil {
		return false, err
	}
	r.began = time.Now()
	inNeed := replicas[inNeedReplica]
	r.line("traffic starts: %.1f requests a second to %d instances and %d replicas", requestsPerSecond, len(all), len(replicas))
	r.at(needAt, func() {
		r.line("replica %s names Server-Limit %.1f in its answers from now on", inNeed.upstream.ID, namedLimit)
	})
	if trouble {
		r.at(cutAt, func() { r.line("replica %s is partitioned from the store", inNeed.upstream.ID) })
		r.at(expiredAt, func() {
			s.Remove("servers", inNeed.upstream.ID)
			r.line("the entry of replica %s expires", inNeed.upstream.ID)
		})
		r.at(backAt, func() {
			inNeed.register(s, 0, 2)
			r.line("replica %s reaches the store and writes its entry", inNeed.upstream.ID)
		})
	}
	ended := sendAll(all, limitLength)
	r.line("%d requests sent; ended: %v", len(ended.byID), ended.counts())
	r.lineArrivals(inNeed, needAt-time.Second, limitLength)
	allowed := limitExcess*namedLimit*limitWindow.Seconds() + limitSlack
	counted := countedArrivals(r, inNeed, ended, len(all))
	most, begins := busiest(counted, limitWindow)
	r.line("replica %s got %d requests in the 4 s from %.3f s on; allowed %.1f", inNeed.upstream.ID, most, begins.Sub(r.began).Seconds(), allowed)
	return float64(most) > allowed, nil
}

// countedArrivals returns when requests arrived, from contactTime after the replica first
// named its limit, that came from instances which had passed on such an answer.
func countedArrivals(r *record, inNeed *replica, ended *answers, instances int) []time.Time {
	passedOn := make([]time.Time, instances)
	for _, a := range ended.byID {
		if first := passedOn[a.instance]; !a.limited.IsZero() && (first.IsZero() || a.limited.Before(first)) {
			passedOn[a.instance] = a.limited
		}
	}
	for i, at := range passedOn {
		if at.IsZero() {
			r.line("instance %d has passed on no answer with a limit", i)
			continue
		}
		r.line("instance %d passed on an answer with the limit first at %.3f s", i, at.Sub(r.began).Seconds())
	}
	var counted []time.Time
	for _, q := range inNeed.upstream.Requests() {
		a := ended.byID[q.ID]
		if a == nil || q.ReceivedAt.Before(r.began.Add(needAt+contactTime)) {
			continue
		}
		if first := passedOn[a.instance]; !first.IsZero() && !q.ReceivedAt.Before(first.Add(passedOnTime)) {
			counted = append(counted, q.ReceivedAt)
		}
	}
	return counted
}
