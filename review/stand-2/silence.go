package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["silent-stream"] = silentStream }

const (
	silentEvents = 40
	eventGap     = 50 * time.Millisecond
	// silence is how long an upstream pauses in the middle of its stream: more than twice the
	// route's target of 0.8 s, much less than the 12 s after which callers give up.
	silence = 2500 * time.Millisecond
)

// silentStream stops an instance as planned while it relays streams. In the disturbed run,
// the upstream is silent for a while in the middle of each, and goes on.
func silentStream(r *recorder, trouble bool) (bool, error) {
	d, err := newDeployment(r)
	if err != nil {
		return false, err
	}
	defer d.close()
	d.configure(`{"name":"r-1","host":"`+host+`","prefix":"/lohu930/","kind":"streaming","timeout-ms":25000,"target-latency-ms":3000,"priority":1,"service":"huvo11a","max-attempts":3,"public":false,"sticky":true,"target-gap-ms":800}`,
		`{"name":"huvo11a","health-path":"/health","max-conns":360,"protocol":"h1","tls":false,"cold-start-s":0,"cold-per-s":0}`)
	var mu sync.Mutex
	runs := map[string]int{}
	for k := range 3 {
		_, err := d.addUpstream("huvo11a", []string{"milano-a", "torino-b", "pavia-c"}[k], 64, func(u *upstream) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
				id := q.Header.Get("Attempt-Id")
				mu.Lock()
				runs[id]++
				mu.Unlock()
				w.Header().Set("Replica-Stamp", "stamp-"+u.id)
				w.Header().Set("Content-Type", "text/event-stream")
				flush := http.NewResponseController(w)
				for n := 1; n <= silentEvents; n++ {
					wait := eventGap
					if trouble && n == silentEvents/2 {
						wait = silence
						d.line("upstream %s: %s pauses for %v after event %d", u.id, id, wait, n-1)
					}
					select {
					case <-time.After(wait):
					case <-q.Context().Done():
						d.line("upstream %s: %s was cut off by the instance after event %d", u.id, id, n-1)
						return
					}
					fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n)
					_ = flush.Flush()
				}
				d.line("upstream %s: %s ended with event %d", u.id, id, silentEvents)
			})
		})
		if err != nil {
			return false, err
		}
	}
	if err := d.addInstances(3); err != nil {
		return false, err
	}
	stopped := d.instances[0]
	const streams = 8
	var ids number
	var wait sync.WaitGroup
	broken := 0
	for range streams {
		id := ids.next()
		c, err := dial(stopped.callers, time.Second)
		if err != nil {
			return false, err
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			defer c.Close()
			_ = c.SetDeadline(time.Now().Add(25 * time.Second))
			d.line("caller: POST /lohu930/x %s sent to %s", id, stopped.name)
			if err := c.send(http.MethodPost, "/lohu930/x", id, 25*time.Second, 800, "Model: daka510000", "Token-Counts: 1460,80"); err != nil {
				d.line("caller: %s: %v", id, err)
				return
			}
			answer, body, err := c.answer()
			complete := err == nil && answer.StatusCode == http.StatusOK && strings.Count(string(body), "\n\n") == silentEvents
			status := 0
			if answer != nil {
				status = answer.StatusCode
			}
			d.line("caller: %s answered %d with %d of %d events, error %v", id, status, strings.Count(string(body), "\n\n"), silentEvents, err)
			mu.Lock()
			defer mu.Unlock()
			if !complete {
				broken++
			}
		}()
	}
	time.Sleep(300 * time.Millisecond)
	stopped.signal(syscall.SIGTERM)
	kill := time.AfterFunc(graceTime, func() { stopped.signal(syscall.SIGKILL) })
	defer kill.Stop()
	wait.Wait()
	d.line("%d of %d streams had no complete answer", broken, streams)
	return broken == 0, nil
}
