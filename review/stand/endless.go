package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The case endless: some replicas are in trouble. The bodies of their answers are no
// answers, and do not end until the caller closes the connection.
const (
	// faultyReplicas of endlessReplicas are in trouble.
	faultyReplicas  = 3
	endlessReplicas = 5
	// An answer without end comes at 64 KiB in endlessPause.
	endlessPause = 160 * time.Millisecond
	endlessChunk = 64 << 10
	// streamEvents is the number of events of a stream.
	streamEvents = 49
	troubleAt    = 5 * time.Second
	// memoryLimit is memory-mb of the settings: the platform kills a process beyond it.
	memoryLimit = 284
	// restartDelay is the time from the end of a process to its next start.
	restartDelay = 500 * time.Millisecond
	// The rule: on a tenth of the machines in use, two at least, processes end by
	// themselves three times.
	faultEnds     = 3
	faultMachines = 2
	endlessLength = 60 * time.Second
)

// An endlessAnswerer gives answers without end, from a time on.
type endlessAnswerer struct {
	since atomic.Pointer[time.Time]
	count atomic.Int64
}

// answer answers a request without end, or returns false.
func (e *endlessAnswerer) answer(w http.ResponseWriter, q *http.Request) bool {
	since := e.since.Load()
	if since == nil || time.Now().Before(*since) {
		return false
	}
	e.count.Add(1)
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return true
	}
	defer func() { _ = c.Close() }()
	fmt.Fprintf(c, "HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: %s\r\n\r\n", q.Header.Get("Attempt-Id"))
	chunk := []byte(strings.Repeat("x", endlessChunk))
	for {
		if _, err := c.Write(chunk); err != nil {
			return true
		}
		time.Sleep(endlessPause)
	}
}

// playEndless plays the case and reports whether the rule on faults was broken.
func playEndless(r *record, folder string, trouble bool) (broken bool, err error) {
	e := &endlessAnswerer{}
	var replicas []*replica
	for n := range endlessReplicas {
		answers := e.answer
		if n >= faultyReplicas {
			answers = nil
		}
		one, err := startFaultyReplica(n, zones[n%len(zones)], streamEvents, firstEventDelay, nil, answers)
		if err != nil {
			return false, err
		}
		replicas = append(replicas, one)
	}
	_, all, err := startDeployment(folder, replicas)
	defer stopInstances(all)
	if err != nil {
		return false, err
	}
	r.began = time.Now()
	r.line("traffic starts: %.1f requests a second to %d instances and %d replicas", requestsPerSecond, len(all), len(replicas))
	if trouble {
		since := r.began.Add(troubleAt)
		e.since.Store(&since)
		r.line("from %v on, the answers of %d replicas have no end", troubleAt, faultyReplicas)
	}
	stop := make(chan struct{})
	ends := map[string]int{}
	var watched sync.WaitGroup
	watched.Go(func() { err = killLargeProcesses(r, folder, all, ends, stop) })
	ended := sendAll(all, endlessLength)
	close(stop)
	watched.Wait()
	r.line("%d requests sent; ended: %v; answers without end: %d", len(ended.byID), ended.counts(), e.count.Load())
	machines := 0
	for _, i := range all {
		r.line("%s: ended %d times for its memory", i.name, ends[i.name])
		if ends[i.name] >= faultEnds {
			machines++
		}
	}
	r.line("machines on which processes ended %d times or more: %d; allowed %d", faultEnds, machines, faultMachines-1)
	return machines >= faultMachines, err
}

// killLargeProcesses kills the processes that use more memory than their settings allow,
// and starts them again, as the platform does, until stop is closed.
func killLargeProcesses(r *record, folder string, all []*instance, ends map[string]int, stop <-chan struct{}) error {
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-stop:
			return nil
		}
		for _, i := range all {
			used := memory(i, "VmRSS:")
			if used <= memoryLimit {
				continue
			}
			ends[i.name]++
			r.line("%s uses %d MB and is killed; its settings allow %d MB", i.name, used, memoryLimit)
			stopInstances([]*instance{i})
			time.Sleep(restartDelay)
			if err := i.start(folder); err != nil {
				return err
			}
		}
	}
}

// memory returns a field of the status of a process in MB.
func memory(i *instance, field string) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", i.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(data), field)
	words := strings.Fields(rest)
	if len(words) == 0 {
		return 0
	}
	kib, _ := strconv.Atoi(words[0])
	return kib >> 10
}
