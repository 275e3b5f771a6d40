package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	eventStart = "data: "
	eventEnd   = "\n\n"
	doneEvent  = "data: [DONE]\n\n"
)

// An output is the bounded buffer between a router and a caller of a stream. The
// router fills it from one goroutine; the handler's goroutine writes it out.
type output struct {
	memory   *memory
	account  *atomic.Int64
	limits   Limits
	finished chan struct{} // closed when the router has returned

	mu      sync.Mutex
	meta    *Meta         // guarded by mu; set by Begin
	pending []byte        // guarded by mu; not yet taken by the writer
	writing int           // guarded by mu; bytes taken and not yet written
	ended   bool          // guarded by mu; nothing more will come
	err     error         // guarded by mu; why the router gave up
	dropped bool          // guarded by mu; the caller is gone
	filled  chan struct{} // signals the writer, capacity 1
	drained chan struct{} // signals the router, capacity 1
}

func newOutput(m *memory, l Limits, c *Completion) *output {
	return &output{
		memory:   m,
		account:  m.account(c.Organisation.ID),
		limits:   l,
		finished: make(chan struct{}),
		filled:   make(chan struct{}, 1),
		drained:  make(chan struct{}, 1),
	}
}

// Begin implements Output.
func (o *output) Begin(m Meta) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.meta = &m
}

// Event implements Output.
func (o *output) Event(data []byte) error {
	n := len(eventStart) + len(data) + len(eventEnd)
	if o.append(n, data) {
		return nil
	}
	timer := time.NewTimer(o.limits.StallTimeout)
	defer timer.Stop()
	for {
		select {
		case <-o.drained:
			if o.append(n, data) {
				return nil
			}
		case <-timer.C:
			return &SlowReaderError{HeldBytes: o.held()}
		}
	}
}

// append takes an event when there is room for its n bytes. A buffer that is
// empty takes any event, so that every answer makes progress.
func (o *output) append(n int, data []byte) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.dropped {
		return true
	}
	if !o.reserve(n) {
		return false
	}
	o.pending = append(o.pending, eventStart...)
	o.pending = append(o.pending, data...)
	o.pending = append(o.pending, eventEnd...)
	signal(o.filled)
	return true
}

// reserve accounts for n bytes. Its caller holds mu.
func (o *output) reserve(n int) bool {
	waiting := len(o.pending) + o.writing
	if waiting == 0 {
		o.memory.force(o.account, int64(n))
		return true
	}
	return waiting+n <= o.limits.StreamBufferBytes && o.memory.take(o.account, int64(n))
}

func (o *output) held() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.pending) + o.writing
}

// Room implements Output.
func (o *output) Room(ctx context.Context) error {
	for {
		if o.held() == 0 {
			return nil
		}
		select {
		case <-o.drained:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Whole implements Output. A stream has no whole answer.
func (o *output) Whole([]byte) {}

// Done implements Output. There is always room for the end of an answer.
func (o *output) Done() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.dropped {
		return
	}
	o.memory.force(o.account, int64(len(doneEvent)))
	o.pending = append(o.pending, doneEvent...)
}

// finish records how the router ended.
func (o *output) finish(err error) {
	o.mu.Lock()
	o.ended = true
	o.err = err
	o.mu.Unlock()
	close(o.finished)
	signal(o.filled)
}

// drop gives back what the caller will not read.
func (o *output) drop() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.dropped = true
	o.memory.give(o.account, int64(len(o.pending)))
	o.pending = nil
	signal(o.drained)
}

// take returns the bytes to write next and whether they are the last.
func (o *output) take() (data []byte, meta *Meta, ended bool, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	data, o.pending = o.pending, nil
	o.writing = len(data)
	return data, o.meta, o.ended, o.err
}

// writeTo writes the answer to the caller until it ends. It returns an error
// when the caller can't be written to.
func (o *output) writeTo(w http.ResponseWriter, router Router) error {
	control := http.NewResponseController(w)
	begun := false
	for {
		<-o.filled
		data, meta, ended, err := o.take()
		if meta == nil {
			if ended {
				WriteRefusal(w, err)
				return nil
			}
			continue
		}
		if !begun {
			writeStreamHeader(w, *meta, router)
			begun = true
		}
		writeErr := o.write(w, control, data)
		o.written()
		if writeErr != nil {
			return writeErr
		}
		if ended {
			return o.writeEnd(w, control, err)
		}
	}
}

// written gives back the bytes that the writer took.
func (o *output) written() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.memory.give(o.account, int64(o.writing))
	o.writing = 0
	signal(o.drained)
}

func writeStreamHeader(w http.ResponseWriter, m Meta, router Router) {
	setMeta(w, m, router)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
}

func (o *output) write(w http.ResponseWriter, control *http.ResponseController, data []byte) error {
	if err := control.SetWriteDeadline(time.Now().Add(o.limits.WriteTimeout)); err != nil {
		return err
	}
	if _, err := w.Write(data); err != nil {
		return err
	}
	return control.Flush()
}

// writeEnd ends a stream that has begun. One that isn't whole must not look like
// one, and gets an error event.
func (o *output) writeEnd(w http.ResponseWriter, control *http.ResponseController, err error) error {
	if err == nil {
		return nil
	}
	event, marshalErr := json.Marshal(newProblem(asRefusal(err)))
	if marshalErr != nil {
		return marshalErr
	}
	return o.write(w, control, append(append([]byte(eventStart), event...), eventEnd...))
}

// signal wakes the other side without waiting for it.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
