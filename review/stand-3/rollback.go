package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"banyanyard/platform/standin"
)

func init() { cases["rollback"] = rollback }

const (
	rollbackRate     = 150             // requests a second, from sessions that go on
	rollbackSessions = 450             // each has a request every 3 s
	drainAfter       = 8 * time.Second // from rolled_back until the bad version's upstreams drain
	leaveAfter       = 3 * time.Second // from then on until they end
	firstDuration    = 12 * time.Second
	answerTime       = 20 * time.Millisecond
	badAnswerTime    = 160 * time.Millisecond // eight times as long
	failingAnswers   = 6                      // of so many answers of the bad version, one is a failure
	goodDuration     = 14 * time.Second
	sessionTime      = 5 * time.Second // session-s
)

// rollback rolls out a version v2 that answers slowly, and fails one request in six, and, once the system has written rolled_back, a good
// version v3. Without trouble, the second order comes when the upstreams of v2 have left.
func rollback(d *deployment, trouble bool) (int, string) {
	var mu sync.Mutex
	type arrival struct {
		at      time.Duration
		version string
		failed  bool
	}
	var arrivals []arrival
	type sessionRun struct {
		version string
		at      time.Duration
	}
	bySession := map[string]sessionRun{}
	orderedGood := time.Duration(0) // when v3 was ordered
	moved := 0
	start := func(version string, n int) []string {
		var ids []string
		for i := range n {
			id := fmt.Sprintf("i-%s-%d", version, i)
			u := &standin.Upstream{ID: id, FirstEventDelay: answerTime}
			if version == "v2" {
				u.FirstEventDelay = badAnswerTime
			}
			calls := 0
			u.SetMode(func(r *http.Request) standin.Mode {
				mode := standin.Succeed
				if calls++; version == "v2" && calls%failingAnswers == 0 {
					mode = standin.Fail
				}
				mu.Lock()
				defer mu.Unlock()
				session := r.Header.Get("Session")
				arrivals = append(arrivals, arrival{at: time.Since(d.began), version: version, failed: mode == standin.Fail})
				now := time.Since(d.began)
				last := bySession[session]
				firstHalf := now < orderedGood+goodDuration/2
				if orderedGood > 0 && last.version != "" && last.version != version && now-last.at < sessionTime && (version != "v3" || firstHalf) {
					moved++
				}
				bySession[session] = sessionRun{version: version, at: now}
				d.note("%s runs %s of %s, fails: %t", id, r.Header.Get("Attempt-Id"), session, mode == standin.Fail)
				return mode
			})
			address, _, err := d.listen(u)
			if err != nil {
				return nil
			}
			d.register(id, "desk", address, fmt.Sprintf("zone-%d", i%3), version, "ready", 64, time.Now())
			ids = append(ids, id+" "+address)
		}
		return ids
	}
	leave := func(ids []string, version string) {
		for i, one := range ids {
			var id, address string
			fmt.Sscan(one, &id, &address)
			d.register(id, "desk", address, fmt.Sprintf("zone-%d", i%3), version, "draining", 64, time.Now())
		}
		time.AfterFunc(leaveAfter, func() {
			for _, one := range ids {
				var id string
				fmt.Sscan(one, &id)
				d.store.Remove("servers", id)
			}
		})
	}
	start("v1", 6)
	d.configure(7, []object{{
		"name": "r-book", "host": host, "prefix": "/book/", "kind": "unsafe", "timeout-ms": 5000, "target-latency-ms": 500,
		"priority": 1, "service": "desk", "max-attempts": 3, "public": false,
	}}, []object{service("desk")}, oneTenant(key))
	if err := d.startInstances(3); err != nil {
		return couldNot, err.Error()
	}
	time.Sleep(2 * time.Second)
	end := time.Now().Add(30 * time.Second)
	var traffic sync.WaitGroup
	callers := make([]*http.Client, rollbackSessions)
	for i := range callers {
		callers[i] = newCaller()
	}
	sent := make([]time.Duration, 0, 4000)
	answers := map[int]int{}
	traffic.Go(func() {
		every(time.Second/rollbackRate, end, func(n int) {
			i := n % rollbackSessions
			r := newRequest(http.MethodPost, d.instances[i%3].front, "/book/1", fmt.Sprintf("a%07d", n), 5*time.Second, nil)
			r.Header.Set("Session", fmt.Sprintf("s-%d", i))
			mu.Lock()
			sent = append(sent, time.Since(d.began))
			mu.Unlock()
			status := 0
			if response, err := callers[i].Do(r); err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				status = response.StatusCode
			}
			mu.Lock()
			answers[status]++
			mu.Unlock()
			d.note("a%07d of s-%d answered %d", n, i, status)
		})
	})
	time.Sleep(3 * time.Second)
	bad := start("v2", 6)
	ordered := time.Since(d.began)
	d.store.Put("op", "rollout/desk", object{"service": "desk", "to": "v2", "duration-s": firstDuration.Seconds()})
	d.note("the operator orders v2")
	rolledBack := time.Duration(0)
	for time.Since(d.began) < ordered+firstDuration+time.Second && rolledBack == 0 {
		if status := string(d.store.Get("status", "rollout/desk")); strings.Contains(status, `"rolled_back"`) && strings.Contains(status, `"v2"`) {
			rolledBack = time.Since(d.began)
			d.note("the system writes %s", status)
		}
		time.Sleep(10 * time.Millisecond)
	}
	if rolledBack == 0 {
		return couldNot, "v2 was not rolled back"
	}
	time.AfterFunc(drainAfter, func() { leave(bad, "v2") })
	if !trouble {
		time.Sleep(drainAfter + leaveAfter)
	}
	time.Sleep(300 * time.Millisecond)
	start("v3", 6)
	mu.Lock()
	orderedGood = time.Since(d.began)
	mu.Unlock()
	d.store.Put("op", "rollout/desk", object{"service": "desk", "to": "v3", "duration-s": goodDuration.Seconds()})
	d.note("the operator orders v3")
	traffic.Wait()

	mu.Lock()
	defer mu.Unlock()
	all, onBad, badAnswers, late := 0, 0, 0, 0
	fiftieth := time.Duration(0)
	for _, a := range arrivals {
		if a.at < ordered {
			continue
		}
		if a.at < ordered+firstDuration {
			all++
		}
		if a.version != "v2" {
			continue
		}
		if a.at < ordered+firstDuration {
			onBad++
		}
		if badAnswers++; badAnswers == 50 { // all are slow
			fiftieth = a.at
		}
		if fiftieth > 0 && a.at > fiftieth+5*time.Second {
			late++
		}
	}
	after, failedAfter := 0, 0
	for _, a := range arrivals {
		if a.version == "v2" && a.at > rolledBack+time.Second {
			after++
			if a.failed {
				failedAfter++
			}
		}
	}
	most := 0.15*float64(all) + 30
	summary := fmt.Sprintf("v2 got %d of %d requests from its order to its deadline (at most %.0f), %d more than 1 s after rolled_back, of which %d failed; %d bad answers; %d requests later than 5 s after the 50th; answers by status %v; since the order of v3, %d requests ran on another version than the one before in their session, on v3 in its first half or on an older one",
		onBad, all, most, after, failedAfter, badAnswers, late, answers, moved)
	rules := ""
	if moved > 3 {
		rules += "PINNED, "
	}
	if float64(onBad) > most || late > 0 {
		rules += "EXPOSURE, "
	}
	if rules != "" {
		return broken, rules + summary
	}
	return held, summary
}
