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

// A streamBuffer is the bounded buffer between the router and the caller of a
// stream. The router fills it from one goroutine; the handler's goroutine writes
// it to the caller.
type streamBuffer struct {
	memory   *memoryBudget
	account  *atomic.Int64
	limits   Limits
	finished chan struct{} // closed when the router has returned

	mu        sync.Mutex
	meta      *AnswerMetadata // guarded by mu; set by BeginAnswer
	pending   []byte          // guarded by mu; not yet taken by the writer
	writing   int             // guarded by mu; bytes taken and not yet written
	ended     bool            // guarded by mu; the router has returned
	err       error           // guarded by mu; the router's error
	discarded bool            // guarded by mu; the caller has disconnected
	filled    chan struct{}   // wakes the writer, capacity 1
	drained   chan struct{}   // wakes the router, capacity 1
}

func newStreamBuffer(m *memoryBudget, l Limits, c *Completion) *streamBuffer {
	return &streamBuffer{
		memory:   m,
		account:  m.account(c.Organisation.ID),
		limits:   l,
		finished: make(chan struct{}),
		filled:   make(chan struct{}, 1),
		drained:  make(chan struct{}, 1),
	}
}

// BeginAnswer implements AnswerWriter.
func (o *streamBuffer) BeginAnswer(m AnswerMetadata) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.meta = &m
}

// SendEvent implements AnswerWriter.
func (o *streamBuffer) SendEvent(data []byte) error {
	n := len(eventStart) + len(data) + len(eventEnd)
	if o.tryAppend(n, data) {
		return nil
	}
	timer := time.NewTimer(o.limits.StallTimeout)
	defer timer.Stop()
	for {
		select {
		case <-o.drained:
			if o.tryAppend(n, data) {
				return nil
			}
		case <-timer.C:
			return &SlowReaderError{HeldBytes: o.held()}
		}
	}
}

// tryAppend appends an event of n bytes if there is space for it. An empty buffer
// takes any event, so that every answer makes progress.
func (o *streamBuffer) tryAppend(n int, data []byte) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.discarded {
		return true
	}
	if !o.reserve(n) {
		return false
	}
	o.pending = append(o.pending, eventStart...)
	o.pending = append(o.pending, data...)
	o.pending = append(o.pending, eventEnd...)
	notify(o.filled)
	return true
}

// reserve reserves n bytes, or returns false when a limit would be exceeded. Its
// caller holds mu.
func (o *streamBuffer) reserve(n int) bool {
	waiting := len(o.pending) + o.writing
	if waiting == 0 {
		o.memory.reserveAlways(o.account, int64(n))
		return true
	}
	return waiting+n <= o.limits.StreamBufferBytes && o.memory.tryReserve(o.account, int64(n))
}

func (o *streamBuffer) held() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.pending) + o.writing
}

// WaitEmpty implements AnswerWriter.
func (o *streamBuffer) WaitEmpty(ctx context.Context) error {
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

// SendWhole implements AnswerWriter. It does nothing, since the answer is streamed.
func (o *streamBuffer) SendWhole([]byte) {}

// EndStream implements AnswerWriter. The done event is appended even beyond the
// limits.
func (o *streamBuffer) EndStream() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.discarded {
		return
	}
	o.memory.reserveAlways(o.account, int64(len(doneEvent)))
	o.pending = append(o.pending, doneEvent...)
}

// finish records that the router has returned, and its error.
func (o *streamBuffer) finish(err error) {
	o.mu.Lock()
	o.ended = true
	o.err = err
	o.mu.Unlock()
	close(o.finished)
	notify(o.filled)
}

// discard drops the pending bytes of a caller that has disconnected, and those
// still to come.
func (o *streamBuffer) discard() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.discarded = true
	o.memory.release(o.account, int64(len(o.pending)))
	o.pending = nil
	notify(o.drained)
}

// takePending returns the bytes to write next, the metadata, and whether the router
// has returned, with its error.
func (o *streamBuffer) takePending() (data []byte, meta *AnswerMetadata, ended bool, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	data, o.pending = o.pending, nil
	o.writing = len(data)
	return data, o.meta, o.ended, o.err
}

// writeTo writes the answer to the caller until it ends. It returns an error when
// a write to the caller fails.
func (o *streamBuffer) writeTo(w http.ResponseWriter, router Router) error {
	control := http.NewResponseController(w)
	begun := false
	for {
		<-o.filled
		data, meta, ended, err := o.takePending()
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
		writeErr := o.writeAndFlush(w, control, data)
		o.releaseWritten()
		if writeErr != nil {
			return writeErr
		}
		if ended {
			return o.writeEnd(w, control, err)
		}
	}
}

// releaseWritten releases the bytes that takePending returned.
func (o *streamBuffer) releaseWritten() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.memory.release(o.account, int64(o.writing))
	o.writing = 0
	notify(o.drained)
}

func writeStreamHeader(w http.ResponseWriter, m AnswerMetadata, router Router) {
	setAnswerHeaders(w, m, router)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
}

func (o *streamBuffer) writeAndFlush(w http.ResponseWriter, control *http.ResponseController, data []byte) error {
	if err := control.SetWriteDeadline(time.Now().Add(o.limits.WriteTimeout)); err != nil {
		return err
	}
	if _, err := w.Write(data); err != nil {
		return err
	}
	return control.Flush()
}

// writeEnd ends a stream that has begun. After a router error it writes an error
// event, so that the caller can tell that the stream is incomplete.
func (o *streamBuffer) writeEnd(w http.ResponseWriter, control *http.ResponseController, err error) error {
	if err == nil {
		return nil
	}
	event, marshalErr := json.Marshal(newProblem(asRefusal(err)))
	if marshalErr != nil {
		return marshalErr
	}
	return o.writeAndFlush(w, control, append(append([]byte(eventStart), event...), eventEnd...))
}

// notify sends to c without blocking; a signal that is already pending is enough.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
