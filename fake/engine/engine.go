// Package engine is a fake model engine. It serves chat completions over HTTP
// with server-sent events; by default a completion depends only on the model
// and the prompt.
//
// The engine counts runs, concurrent requests and cancellations, so that tests
// can check the router's guarantees from the engine's side. Faults injects the
// failures that real engines have.
package engine

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Faults selects the failures that an Engine injects. The zero value injects
// none.
type Faults struct {
	RefuseAll      bool   // answers 503 without running the request
	AbortAtChunk   int    // closes the connection instead of sending this chunk, from 1; 0 means never
	AbortOnlyFirst bool   // resumed streams ignore AbortAtChunk
	StallAtChunk   int    // sends nothing from this chunk on, from 1; 0 means never
	WrongID        bool   // answers with the ID of another attempt
	CrashOnPrompt  string // a prompt that contains this text crashes the process
	FailModel      string // answers 500 to requests for this model, such as small@v2
}

// An Engine serves chat completions. Set the exported fields before the first
// request. Its methods are safe for concurrent use.
type Engine struct {
	ID              string
	Chunks          int           // chunks of a completion; 0 means 8
	FirstTokenDelay time.Duration // before the first chunk
	ChunkInterval   time.Duration // between chunks
	// Slots limits the requests that are computed at once; further ones wait. 0
	// means no limit.
	Slots int
	// CompletionText returns the completion of a prompt; nil echoes the model
	// and the prompt.
	CompletionText func(model, prompt string) string

	slotsOnce       sync.Once
	slots           chan struct{} // created by slotsOnce
	mu              sync.Mutex
	crashed         chan struct{}  // guarded by mu; closed when the simulated process crashes
	faults          Faults         // guarded by mu
	running         int            // guarded by mu
	maxRunning      int            // guarded by mu
	runs            map[string]int // guarded by mu; by attempt, since the last crash
	runsBeforeCrash map[string]int // guarded by mu; by attempt
	runsByModel     map[string]int // guarded by mu
	cancelled       int            // guarded by mu
	resumed         int            // guarded by mu
	refused         int            // guarded by mu; requests refused by RefuseAll
	timeoutMs       int            // guarded by mu
	coldCapacity    int            // guarded by mu; concurrent requests that a cold engine accepts; 0 means no limit
	overloaded      int            // guarded by mu; requests refused beyond coldCapacity
}

// SetFaults replaces the faults for requests that arrive from now on.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// RestartCold makes the engine cold: it accepts at most capacity concurrent
// requests and refuses further ones with 503. Each request that ends raises the
// capacity by one.
func (e *Engine) RestartCold(capacity int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.coldCapacity = capacity
	e.overloaded = 0
}

// acquireSlot waits for a free slot until done is closed. The caller calls
// release to free the slot.
func (e *Engine) acquireSlot(done <-chan struct{}) (release func(), ok bool) {
	if e.Slots == 0 {
		return func() {}, true
	}
	e.slotsOnce.Do(func() { e.slots = make(chan struct{}, e.Slots) })
	select {
	case e.slots <- struct{}{}:
		return func() { <-e.slots }, true
	case <-done:
		return nil, false
	}
}

// recordTimeout records the timeout that a request states, in milliseconds.
func (e *Engine) recordTimeout(ms int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.timeoutMs = ms
}

// crashChannel returns a channel that is closed at the next crash.
func (e *Engine) crashChannel() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed == nil {
		e.crashed = make(chan struct{})
	}
	return e.crashed
}

// crash aborts every run, as the crash of an engine's process does, and starts
// a new process, which knows none of the earlier attempts.
func (e *Engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.crashed)
	e.crashed = nil
	if e.runsBeforeCrash == nil {
		e.runsBeforeCrash = map[string]int{}
	}
	for attempt, n := range e.runs {
		e.runsBeforeCrash[attempt] += n
	}
	e.runs = map[string]int{}
}

// Stats are the counters of an Engine.
type Stats struct {
	Running          int
	MaxRunning       int // most concurrent requests
	Runs             int
	RepeatedAttempts int // attempts with several runs; runs before and since the last crash count apart
	Cancelled        int
	Resumed          int
	Refused          int // by Faults.RefuseAll
	TimeoutMs        int // of the newest request that stated a timeout
	// Overloaded counts the requests that a cold engine refused since
	// RestartCold.
	Overloaded  int
	RunsByModel map[string]int
}

// Stats returns a snapshot of the counters.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := Stats{Running: e.running, MaxRunning: e.maxRunning, Cancelled: e.cancelled, Resumed: e.resumed, Refused: e.refused, TimeoutMs: e.timeoutMs, Overloaded: e.overloaded, RunsByModel: map[string]int{}}
	for _, runs := range [...]map[string]int{e.runs, e.runsBeforeCrash} {
		for _, n := range runs {
			s.Runs += n
			if n > 1 {
				s.RepeatedAttempts++
			}
		}
	}
	for m, n := range e.runsByModel {
		s.RunsByModel[m] = n
	}
	return s
}

// Handler returns the engine's HTTP API.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveCompletion)
	return mux
}

// beginRun counts a request and returns the faults that apply to it. It returns
// false when resume is set and the attempt has not run in this process.
func (e *Engine) beginRun(attempt, model string, resume bool) (Faults, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.RefuseAll {
		e.refused++
		return e.faults, true
	}
	if e.coldCapacity > 0 && e.running >= e.coldCapacity {
		e.overloaded++
		return Faults{RefuseAll: true}, true
	}
	if resume {
		if e.runs[attempt] == 0 {
			return e.faults, false
		}
		e.resumed++
		e.running++
		return e.faults, true
	}
	if e.runs == nil {
		e.runs = map[string]int{}
		e.runsByModel = map[string]int{}
	}
	e.runs[attempt]++
	e.runsByModel[model]++
	e.running++
	e.maxRunning = max(e.maxRunning, e.running)
	return e.faults, true
}

func (e *Engine) endRun(cancelled bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	if e.coldCapacity > 0 {
		e.coldCapacity++
	}
	if cancelled {
		e.cancelled++
	}
}

func (e *Engine) completionText(model, prompt string) string {
	if e.CompletionText != nil {
		return e.CompletionText(model, prompt)
	}
	return fmt.Sprintf("%s: %s", model, prompt)
}
