package main

import (
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["releases"] = releases }

const (
	releaseReplicas = 12
	releaseCallers  = 16 * releaseReplicas
	releaseWork     = 250 * time.Millisecond
	// Each release replaces releaseShare replicas, half of all, releaseAtOnce at a time and
	// releaseGap apart. One follows the other, releaseCount times.
	releaseShare  = 6
	releaseAtOnce = 3
	releaseGap    = 950 * time.Millisecond
	releaseCount  = 40
	drainTime     = 2 * time.Second
	// newCallers connect each second and keep their connections.
	newCallers = 10
)

// releases replaces the upstreams of a service again and again while callers use one
// instance.
func releases(r *recorder, trouble bool) (bool, error) {
	d, err := newDeployment(r)
	if err != nil {
		return false, err
	}
	defer d.close()
	d.configure(`{"name":"r-1","host":"`+host+`","prefix":"/cufi504/","kind":"safe","timeout-ms":5000,"target-latency-ms":1000,"priority":2,"service":"wuno96b","max-attempts":2,"public":false}`,
		`{"name":"wuno96b","health-path":"/health","max-conns":360,"protocol":"h1","tls":false,"cold-start-s":0,"cold-per-s":0}`)
	var mu sync.Mutex
	reached := map[string]bool{}
	zones := []string{"milano-a", "torino-b", "pavia-c"}
	add := func(zone string) (*upstream, error) {
		return d.addUpstream("wuno96b", zone, 64, func(u *upstream) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
				mu.Lock()
				reached[q.Header.Get("Attempt-Id")] = true
				mu.Unlock()
				time.Sleep(releaseWork)
				w.Header().Set("Replica-Stamp", "stamp-"+u.id)
				_, _ = io.WriteString(w, "posti "+q.Header.Get("Attempt-Id"))
			})
		})
	}
	var live []*upstream
	for k := range releaseReplicas {
		u, err := add(zones[k%3])
		if err != nil {
			return false, err
		}
		live = append(live, u)
	}
	if err := d.addInstances(3); err != nil {
		return false, err
	}
	i := d.instances[0]
	var ids number
	var stop atomic.Bool
	var answered, refused, failed, lost, unread atomic.Int64
	var wait sync.WaitGroup
	for range releaseCallers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			var c *conn
			defer func() {
				if c != nil {
					_ = c.Close()
				}
			}()
			for !stop.Load() && !i.hasExited() {
				var err error
				if c == nil {
					if c, err = dial(i.callers, time.Second); err != nil {
						time.Sleep(time.Second)
						continue
					}
				}
				id := ids.next()
				_ = c.SetDeadline(time.Now().Add(6 * time.Second))
				var answer *http.Response
				if err = c.send(http.MethodGet, "/cufi504/x", id, 5*time.Second, 0); err == nil {
					answer, _, err = c.answer()
				}
				mu.Lock()
				wasReached := reached[id]
				delete(reached, id)
				mu.Unlock()
				switch {
				case err == nil && answer.StatusCode == http.StatusOK:
					answered.Add(1)
				case err == nil && answer.StatusCode == http.StatusServiceUnavailable:
					if refused.Add(1) <= 3 {
						d.line("caller: %s answered 503", id)
					}
					time.Sleep(500 * time.Millisecond)
				case err == nil:
					failed.Add(1)
				case c.served > 0 && wasReached:
					lost.Add(1)
					d.line("caller: %s, passed on from a kept connection, got no answer: %v", id, err)
				default:
					unread.Add(1)
				}
				if err != nil || answer.Close {
					_ = c.Close()
					c = nil
				}
			}
		}()
	}
	time.Sleep(3 * time.Second)
	report := func() {
		waiting, _ := closeWaiting()
		d.line("%s has %d descriptors open; %d connections wait to be closed after their upstream has ended; answered %d, refused %d, failed %d, lost %d",
			i.name, i.openFiles(), waiting, answered.Load(), refused.Load(), failed.Load(), lost.Load())
	}
	report()
	next, replaced := 0, 0
	for n := range releaseCount {
		for step := 0; trouble && step < releaseShare && !i.hasExited(); step += releaseAtOnce {
			for range releaseAtOnce {
				old := live[next]
				u, err := add(old.zone)
				if err != nil {
					return false, err
				}
				live[next] = u
				next = (next + 1) % len(live)
				replaced++
				d.register(old, "draining")
				time.AfterFunc(drainTime+time.Second, func() {
					d.store.Remove("servers", old.id)
					_ = old.server.Close()
				})
			}
			time.Sleep(releaseGap)
		}
		if trouble && n%4 == 3 {
			d.line("%d replicas have been replaced", replaced)
			report()
		}
	}
	time.Sleep(4 * time.Second)
	d.line("the releases have ended")
	report()
	// Further callers come, and another instance is restarted as planned.
	for range 8 {
		for range newCallers {
			if c, err := dial(i.callers, 200*time.Millisecond); err == nil {
				defer c.Close()
			}
		}
		time.Sleep(time.Second)
	}
	report()
	other := d.instances[1]
	other.signal(syscall.SIGTERM)
	select {
	case <-other.exited:
	case <-time.After(graceTime):
		other.signal(syscall.SIGKILL)
		<-other.exited
	}
	if err := other.start(); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	ended := i.hasExited()
	stop.Store(true)
	wait.Wait()
	report()
	d.line("%d replicas replaced; %s has ended by itself: %v; %d requests from kept connections had been passed on and got no answer", replaced, i.name, ended, lost.Load())
	return lost.Load() <= 3, nil
}

// closeWaiting returns the number of connections in the state CLOSE-WAIT.
func closeWaiting() (int, error) {
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, err
	}
	n := 0
	for _, line := range strings.Split(string(data), "\n") {
		fields := strings.Fields(line)
		if len(fields) > 3 && fields[3] == "08" {
			n++
		}
	}
	return n, nil
}
