// Package duty makes the calls to the platform that only one instance of a deployment may
// make at a time. A Runner keeps the tenure of core/duty by calls to the store, asks the
// tasks what is due, and sends it.
//
// One goroutine, the loop, owns the state. Calls to the store and to the platform run in
// goroutines of their own and report to it, so that neither delays the other.
package duty

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"time"

	"banyanyard/core/duty"
	"banyanyard/core/era"
	"banyanyard/io/clock"
	"banyanyard/io/jsonlog"
)

const (
	// tickInterval is the time between two looks at what is due.
	tickInterval = 250 * time.Millisecond
	// storeTimeout bounds a call to the store.
	storeTimeout = 1200 * time.Millisecond
	// recordKey is the key of the row that says who holds the tenure.
	recordKey = "tenure"
	// eventBacklog bounds the results that wait for the loop.
	eventBacklog = 64
)

// ErrChanged is returned by Store.Write if the row has another version than expected.
var ErrChanged = errors.New("the row has been changed meanwhile")

// A Row is a row of the Store. If there is none, the number of its version is 0.
type Row struct {
	Key     string
	Value   []byte
	Version era.Version
}

// A Store is the part of the platform's store in which duties are kept.
type Store interface {
	// Read returns the row with a key.
	Read(ctx context.Context, key string) (Row, error)
	// Write writes a row if it has the version, and returns the new one or ErrChanged.
	// Another error means that the write may take effect, also later.
	Write(ctx context.Context, key string, expect era.Version, value []byte) (era.Version, error)
}

// A Caller calls the platform.
type Caller interface {
	// Call makes a call. It looks at ctx.Err immediately before it sends, and when the
	// context ends nothing of the call is sent any more. A *RejectedError says that the
	// platform has answered.
	Call(ctx context.Context, holder string, token uint64, c duty.Call) error
}

// A RejectedError reports that the platform has answered a call, but not accepted it.
type RejectedError struct{ Reason string }

func (e *RejectedError) Error() string { return "the platform rejected the call: " + e.Reason }

// A Ranking is the place of this instance among those that may hold the tenure.
type Ranking struct {
	Rank int // number of live instances before this one
	Live int // number of live instances
}

// A Runner holds the tenure whenever it can, and then makes the calls of its tasks. The
// exported fields are set before Run; Clock, Metrics and MaxRate may be zero.
type Runner struct {
	Instance string // name, the same across restarts
	Start    string // unique for each start
	Terms    duty.Terms
	Store    Store
	Caller   Caller
	Tasks    []duty.Task
	Ranking  func() Ranking // must not block
	MaxRate  float64        // calls to the platform a second, of all instances; 0 for no bound
	// Clock returns the time on a steady clock that counts pauses; nil means clock.SinceBoot.
	Clock   func() time.Duration
	Log     *jsonlog.Logger
	Metrics *Metrics

	tenure   duty.Tenure
	events   chan func(ctx context.Context) // run by the loop
	asking   bool                           // a call to the store is in progress
	subjects map[string]*subject
	pacer    pacer
	row      atomic.Pointer[duty.Row] // see Row
	logged   string                   // the newest holder in the log
	holds    bool                     // as last logged
	health   callHealth
	released chan struct{} // closed once the tenure has been given up; nil unless it is to be
}

// New returns a runner of an instance.
func New(instance, start string) *Runner {
	return &Runner{Instance: instance, Start: start, events: make(chan func(context.Context), eventBacklog), subjects: map[string]*subject{}}
}

func (r *Runner) now() time.Duration {
	if r.Clock == nil {
		return clock.SinceBoot()
	}
	return r.Clock()
}

// Run keeps the tenure and makes calls until ctx is done.
func (r *Runner) Run(ctx context.Context) {
	r.tenure = duty.Tenure{Instance: r.Instance, Start: r.Start, Terms: r.Terms}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case event := <-r.events:
			event(ctx)
		case <-ctx.Done():
			return
		}
		r.keepTenure(ctx)
		r.makeCalls(ctx)
	}
}

// enqueue passes an event to the loop.
func (r *Runner) enqueue(ctx context.Context, event func(context.Context)) {
	select {
	case r.events <- event:
	case <-ctx.Done():
	}
}

// GiveUp ends the tenure of an instance that stops, so that a successor need not wait until
// its lease is over. It returns once that has been written, or with the context.
func (r *Runner) GiveUp(ctx context.Context) {
	released := make(chan struct{})
	r.enqueue(ctx, func(context.Context) {
		r.released = released
		r.tenure.GiveUp(never)
	})
	select {
	case <-released:
	case <-ctx.Done():
	}
}

// never is a time that does not come.
const never = time.Duration(1<<63 - 1)

// keepTenure makes the next call to the store if one is due.
func (r *Runner) keepTenure(ctx context.Context) {
	r.logHolder()
	if r.released != nil && !r.asking && !r.tenure.Releasing() {
		close(r.released)
		r.released = nil
	}
	if r.asking {
		return
	}
	step := r.tenure.Next(r.now(), r.Ranking().Rank)
	if step.Kind == duty.Wait {
		return
	}
	r.asking = true
	go func() {
		report := r.carryOut(ctx, step)
		r.enqueue(ctx, func(context.Context) {
			r.asking = false
			report()
		})
	}()
}

// carryOut makes a call to the store and returns a function that reports its outcome to the
// tenure.
func (r *Runner) carryOut(ctx context.Context, s duty.Step) (report func()) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if s.Kind == duty.Read {
		row, err := r.readRecord(ctx)
		return func() {
			if err != nil {
				r.tenure.Fail(r.now(), s)
				r.logFailure("read", s, err)
				return
			}
			r.tenure.LearnRow(r.now(), row)
		}
	}
	value, err := json.Marshal(s.Record)
	var version era.Version
	if err == nil {
		version, err = r.Store.Write(ctx, recordKey, s.Expect, value)
	}
	return func() {
		switch {
		case err == nil:
			r.tenure.Written(r.now(), s, version)
		case errors.Is(err, ErrChanged):
			r.tenure.Conflict()
		default:
			r.tenure.Fail(r.now(), s)
			r.logFailure("write", s, err)
		}
	}
}

func (r *Runner) readRecord(ctx context.Context) (duty.Row, error) {
	row, err := r.Store.Read(ctx, recordKey)
	if err != nil {
		return duty.Row{}, err
	}
	read := duty.Row{Version: row.Version}
	if row.Version.Number() > 0 {
		err = json.Unmarshal(row.Value, &read.Record)
	}
	return read, err
}

func (r *Runner) logFailure(call string, s duty.Step, err error) {
	line := r.Log.Line("duty-store").Str("call", call).Str("expected", s.Expect.String())
	if age, ok := r.tenure.Age(r.now()); ok {
		line.Millis("lease-age-ms", age)
	}
	line.Err(err).End()
}

// Row returns the newest known record of the tenure, or nil. It may be called concurrently.
func (r *Runner) Row() *duty.Row { return r.row.Load() }

// Hear takes the record as another start of an instance knows it, so that the store need not
// be asked. It may be called concurrently.
func (r *Runner) Hear(ctx context.Context, start string, row duty.Row) {
	if known := r.Row(); known == nil || known.Version < row.Version || start == row.Record.Start {
		r.enqueue(ctx, func(context.Context) { r.tenure.Hear(r.now(), row) })
	}
}

// logHolder logs a new holder, and whether this instance may act.
func (r *Runner) logHolder() {
	now := r.now()
	row := r.tenure.Row()
	if known := r.row.Load(); row.Exists() && (known == nil || known.Version != row.Version) {
		r.row.Store(&row)
	}
	record := row.Record
	holds := r.tenure.Holds(now, 0)
	state := record.Start
	if record.Released {
		state += " released"
	}
	if state == r.logged && holds == r.holds {
		return
	}
	r.logged, r.holds = state, holds
	r.Metrics.setHolds(holds)
	ranking := r.Ranking()
	line := r.Log.Line("duty-holder").Str("holder", record.Holder).Str("start", record.Start).Int("token", int64(row.Token())).Bool("released", record.Released).
		Bool("holds", holds).Int("rank", int64(ranking.Rank)).Int("live", int64(ranking.Live))
	if age, ok := r.tenure.Age(now); ok {
		line.Millis("lease-age-ms", age)
	}
	line.End()
}
