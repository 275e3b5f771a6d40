// Package engine is a stand-in for a model engine: chat completions over HTTP
// with server-sent events, whose answers follow from the prompt alone.
//
// It records what it ran, how much it held at once and what was cancelled, so
// that tests can check the promises from the engine's side. Its switches bring
// about the faults that engines have.
package engine

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Faults are the switches of an Engine. The zero Faults has none.
type Faults struct {
	RefuseAll   bool   // answers 503 without running
	DieAfter    int    // closes the connection after so many pieces; 0 means never
	DieOnce     bool   // lets resumed streams pass DieAfter
	SilentAfter int    // sends nothing more after so many pieces; 0 means never
	ForeignID   bool   // answers with the id of another attempt
	CrashOn     string // a prompt with this text crashes the process
	FailModel   string // answers 500 to requests for this model and version
}

// An Engine answers chat completions. Set the exported fields before Handler
// is used.
type Engine struct {
	ID         string
	Pieces     int           // pieces of an answer; 0 means 8
	FirstToken time.Duration // before the first piece
	Gap        time.Duration // between pieces
	// Slots is the number of requests that are computed at once; more wait. 0
	// means no limit. Set it before the first request.
	Slots int
	// Text returns the answer to a prompt; nil repeats the prompt.
	Text func(model, prompt string) string

	slotsOnce sync.Once
	slots     chan struct{} // made by slotsOnce
	mu        sync.Mutex
	crashed   chan struct{}  // guarded by mu; closed when the process crashes
	faults    Faults         // guarded by mu
	running   int            // guarded by mu
	mostHeld  int            // guarded by mu
	ran       map[string]int // guarded by mu; runs by attempt
	lost      map[string]int // guarded by mu; runs that the process before a crash had
	models    map[string]int // guarded by mu; runs by model
	cancelled int            // guarded by mu
	resumed   int            // guarded by mu
	refused   int            // guarded by mu; by RefuseAll
	timeoutMs int            // guarded by mu
	bears     int            // guarded by mu; requests that a cold engine bears; 0 when warm
	overload  int            // guarded by mu; requests refused beyond bears
}

// SetFaults replaces the switches.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Restart makes the engine cold: it refuses requests beyond the given number at
// once, and bears one more with each answer.
func (e *Engine) Restart(bears int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.bears = bears
	e.overload = 0
}

// enter waits for a slot. The returned function gives it back.
func (e *Engine) enter(done <-chan struct{}) (leave func(), ok bool) {
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

// told records the time that a request leaves.
func (e *Engine) told(ms int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.timeoutMs = ms
}

// life returns a channel that is closed when the engine's process crashes.
func (e *Engine) life() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed == nil {
		e.crashed = make(chan struct{})
	}
	return e.crashed
}

// crash ends every run, as the death of the engine's process does, and starts
// the process anew.
func (e *Engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.crashed)
	e.crashed = nil
	if e.lost == nil {
		e.lost = map[string]int{}
	}
	for attempt, n := range e.ran {
		e.lost[attempt] += n
	}
	e.ran = map[string]int{}
}

// A Record is what an engine has seen.
type Record struct {
	Running   int
	MostHeld  int // most requests held at once
	Ran       int
	RanTwice  int // attempts that were run more than once
	Cancelled int
	Resumed   int
	Refused   int // because of RefuseAll
	TimeoutMs int // of the newest request that named one
	// Overloaded counts the requests beyond what the engine bore while cold.
	Overloaded int
	ByModel    map[string]int
}

// Record returns what the engine has seen so far.
func (e *Engine) Record() Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := Record{Running: e.running, MostHeld: e.mostHeld, Cancelled: e.cancelled, Resumed: e.resumed, Refused: e.refused, TimeoutMs: e.timeoutMs, Overloaded: e.overload, ByModel: map[string]int{}}
	for _, runs := range [...]map[string]int{e.ran, e.lost} {
		for _, n := range runs {
			r.Ran += n
			if n > 1 {
				r.RanTwice++
			}
		}
	}
	for m, n := range e.models {
		r.ByModel[m] = n
	}
	return r
}

// Handler serves the engine over HTTP.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveCompletion)
	return mux
}

// begin counts a run and returns the switches in force for it. It returns false
// for a resumption of an attempt that has not run here.
func (e *Engine) begin(attempt, model string, resume bool) (Faults, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.RefuseAll {
		e.refused++
		return e.faults, true
	}
	if e.bears > 0 && e.running >= e.bears {
		e.overload++
		return Faults{RefuseAll: true}, true
	}
	if resume {
		if e.ran[attempt] == 0 {
			return e.faults, false
		}
		e.resumed++
		e.running++
		return e.faults, true
	}
	if e.ran == nil {
		e.ran = map[string]int{}
		e.models = map[string]int{}
	}
	e.ran[attempt]++
	e.models[model]++
	e.running++
	e.mostHeld = max(e.mostHeld, e.running)
	return e.faults, true
}

func (e *Engine) end(cancelled bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	if e.bears > 0 {
		e.bears++
	}
	if cancelled {
		e.cancelled++
	}
}

func (e *Engine) text(model, prompt string) string {
	if e.Text != nil {
		return e.Text(model, prompt)
	}
	return fmt.Sprintf("%s: %s", model, prompt)
}
