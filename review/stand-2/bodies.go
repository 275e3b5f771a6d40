package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["large-bodies"] = largeBodies }

const (
	// bodyBytes is the largest body that the configuration allows.
	bodyBytes = 4194304
	// usualCallers use the instance all the time. In the disturbed run, further callers come
	// during burstTime, so that burstPercent of the usual requests arrive in that time.
	usualCallers = 60
	burstPercent = 170
	burstTime    = 5 * time.Second
	// bodyRate is what each caller sends per second, in bytes. All together stay below
	// link-mbps, so that the burst does not choke the machine's link.
	bodyRate = 1400000
	// An answer begins after bodyFirst, and has bodyEvents events bodyGap apart.
	bodyFirst    = time.Second
	bodyEvents   = 40
	bodyGap      = 100 * time.Millisecond
	bodyDeadline = 25 * time.Second
	// requestTime is about that of one request. The usual callers arrive in that time, one
	// after the other, so that they do not send in step.
	requestTime = 8 * time.Second
)

// watchMemory ends the process of an instance when it exceeds its memory, as the platform
// does.
func (i *instance) watchMemory() (stop func()) {
	done := make(chan struct{})
	var wait sync.WaitGroup
	wait.Add(1)
	go func() {
		defer wait.Done()
		for {
			select {
			case <-done:
				return
			case <-i.exited:
				return
			case <-time.After(10 * time.Millisecond):
			}
			mb := i.residentMB()
			i.peakMB = max(i.peakMB, mb)
			if mb > memoryLimit {
				i.d.line("%s takes %d MB, more than memory-mb = %d: the platform kills it", i.name, mb, memoryLimit)
				i.signal(syscall.SIGKILL)
				return
			}
		}
	}()
	return func() { close(done); wait.Wait() }
}

// largeBodies sends large requests from kept connections to one instance. In the disturbed
// run, more callers come at once.
func largeBodies(r *recorder, trouble bool) (bool, error) {
	d, err := newDeployment(r)
	if err != nil {
		return false, err
	}
	defer d.close()
	d.configure(`{"name":"r-1","host":"`+host+`","prefix":"/lohu930/","kind":"streaming","timeout-ms":25000,"target-latency-ms":3000,"priority":1,"service":"huvo11a","max-attempts":3,"public":false,"sticky":true,"resumable":true,"target-gap-ms":800}`,
		`{"name":"huvo11a","health-path":"/health","max-conns":360,"protocol":"h1","tls":false,"cold-start-s":0,"cold-per-s":0}`)
	var mu sync.Mutex
	reached := map[string]bool{}
	for k := range 3 {
		_, err := d.addUpstream("huvo11a", []string{"milano-a", "torino-b", "pavia-c"}[k], 64, func(u *upstream) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
				id := q.Header.Get("Attempt-Id")
				mu.Lock()
				reached[id] = true
				mu.Unlock()
				if _, err := io.Copy(io.Discard, q.Body); err != nil {
					return
				}
				streamEvents(w, q, u)
			})
		})
		if err != nil {
			return false, err
		}
	}
	if err := d.addInstances(1); err != nil {
		return false, err
	}
	i := d.instances[0]
	d.line("%s takes %d MB before the requests", i.name, i.residentMB())
	stop := i.watchMemory()
	var ids number
	var wait sync.WaitGroup
	var lost, answered atomic.Int64
	call := func(start time.Duration, sizes ...int) {
		defer wait.Done()
		time.Sleep(start)
		c, err := dial(i.callers, time.Second)
		if err != nil {
			d.line("caller: no connection: %v", err)
			return
		}
		defer c.Close()
		for _, size := range sizes {
			id := ids.next()
			_ = c.SetDeadline(time.Now().Add(bodyDeadline))
			err := c.sendPaced(http.MethodPost, "/lohu930/x", id, bodyDeadline, size, bodyRate, "Model: daka510000")
			status := 0
			if err == nil {
				var answer *http.Response
				if answer, _, err = c.answer(); answer != nil {
					status = answer.StatusCode
				}
			}
			mu.Lock()
			wasReached := reached[id]
			mu.Unlock()
			d.line("caller: %s with %d bytes, status %d (0 for no answer), error %v, passed on: %v, answers on the connection before: %d", id, size, status, err, wasReached, c.served)
			if err != nil {
				if c.served > 0 && wasReached && status == 0 {
					lost.Add(1)
				}
				return
			}
			answered.Add(1)
		}
	}
	for n := range usualCallers {
		wait.Add(1)
		go call(time.Duration(n)*requestTime/usualCallers, 600, bodyBytes, bodyBytes, bodyBytes)
	}
	burst := 0
	if trouble {
		usual := int(usualCallers * burstTime / requestTime) // requests in that time
		burst = usual * (burstPercent - 100) / 100
		d.line("%d further callers come in %v, beside %d usual requests", burst, burstTime, usual)
	}
	for n := range burst {
		wait.Add(1)
		go call(2*requestTime+time.Duration(n)*burstTime/time.Duration(burst), bodyBytes)
	}
	wait.Wait()
	stop()
	d.line("peak %d MB; %d requests answered; %d from kept connections had been passed on and got no answer", i.peakMB, answered.Load(), lost.Load())
	return lost.Load() <= 3, nil
}

// streamEvents writes a stream from the event after Last-Event-Id on.
func streamEvents(w http.ResponseWriter, q *http.Request, u *upstream) {
	w.Header().Set("Replica-Stamp", "stamp-"+u.id)
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	after, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	wait := bodyFirst
	for n := after + 1; n <= bodyEvents; n++ {
		select {
		case <-time.After(wait):
		case <-q.Context().Done():
			return
		}
		wait = bodyGap
		fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n)
		_ = flush.Flush()
	}
}
