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
func (b *streamBuffer) BeginAnswer(m AnswerMetadata) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.meta = &m
}

// SendEvent implements AnswerWriter.
func (b *streamBuffer) SendEvent(data []byte) error {
	n := len(eventStart) + len(data) + len(eventEnd)
	if b.tryAppend(n, data) {
		return nil
	}
	timer := time.NewTimer(b.limits.StallTimeout)
	defer timer.Stop()
	for {
		select {
		case <-b.drained:
			if b.tryAppend(n, data) {
				return nil
			}
		case <-timer.C:
			return &SlowReaderError{HeldBytes: b.held()}
		}
	}
}

// tryAppend appends an event of n bytes if there is space for it. An empty buffer
// takes any event, so that every answer makes progress.
func (b *streamBuffer) tryAppend(n int, data []byte) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.discarded {
		return true
	}
	if !b.reserve(n) {
		return false
	}
	b.pending = append(b.pending, eventStart...)
	b.pending = append(b.pending, data...)
	b.pending = append(b.pending, eventEnd...)
	notify(b.filled)
	return true
}

// reserve reserves n bytes, or returns false when a limit would be exceeded. Its
// caller holds mu.
func (b *streamBuffer) reserve(n int) bool {
	waiting := len(b.pending) + b.writing
	if waiting == 0 {
		b.memory.reserveAlways(b.account, int64(n))
		return true
	}
	return waiting+n <= b.limits.StreamBufferBytes && b.memory.tryReserve(b.account, int64(n))
}

func (b *streamBuffer) held() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.pending) + b.writing
}

// WaitEmpty implements AnswerWriter.
func (b *streamBuffer) WaitEmpty(ctx context.Context) error {
	for {
		if b.held() == 0 {
			return nil
		}
		select {
		case <-b.drained:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// SendWhole implements AnswerWriter. It does nothing, since the answer is streamed.
func (b *streamBuffer) SendWhole([]byte) {}

// EndStream implements AnswerWriter. The done event is appended even beyond the
// limits.
func (b *streamBuffer) EndStream() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.discarded {
		return
	}
	b.memory.reserveAlways(b.account, int64(len(doneEvent)))
	b.pending = append(b.pending, doneEvent...)
}

// finish records that the router has returned, and its error.
func (b *streamBuffer) finish(err error) {
	b.mu.Lock()
	b.ended = true
	b.err = err
	b.mu.Unlock()
	close(b.finished)
	notify(b.filled)
}

// discard drops the pending bytes of a caller that has disconnected, and those
// still to come.
func (b *streamBuffer) discard() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.discarded = true
	b.memory.release(b.account, int64(len(b.pending)))
	b.pending = nil
	notify(b.drained)
}

// takePending returns the bytes to write next, the metadata, and whether the router
// has returned, with its error.
func (b *streamBuffer) takePending() (data []byte, meta *AnswerMetadata, ended bool, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	data, b.pending = b.pending, nil
	b.writing = len(data)
	return data, b.meta, b.ended, b.err
}

// writeTo writes the answer to the caller until it ends. It returns an error when
// a write to the caller fails.
func (b *streamBuffer) writeTo(w http.ResponseWriter, router Router) error {
	control := http.NewResponseController(w)
	begun := false
	for {
		<-b.filled
		data, meta, ended, err := b.takePending()
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
		writeErr := b.writeAndFlush(w, control, data)
		b.releaseWritten()
		if writeErr != nil {
			return writeErr
		}
		if ended {
			return b.writeEnd(w, control, err)
		}
	}
}

// releaseWritten releases the bytes that takePending returned.
func (b *streamBuffer) releaseWritten() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.memory.release(b.account, int64(b.writing))
	b.writing = 0
	notify(b.drained)
}

func writeStreamHeader(w http.ResponseWriter, m AnswerMetadata, router Router) {
	setAnswerHeaders(w, m, router)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
}

func (b *streamBuffer) writeAndFlush(w http.ResponseWriter, control *http.ResponseController, data []byte) error {
	if err := control.SetWriteDeadline(time.Now().Add(b.limits.WriteTimeout)); err != nil {
		return err
	}
	if _, err := w.Write(data); err != nil {
		return err
	}
	return control.Flush()
}

// writeEnd ends a stream that has begun. After a router error it writes an error
// event, so that the caller can tell that the stream is incomplete.
func (b *streamBuffer) writeEnd(w http.ResponseWriter, control *http.ResponseController, err error) error {
	if err == nil {
		return nil
	}
	event, marshalErr := json.Marshal(newProblem(asRefusal(err)))
	if marshalErr != nil {
		return marshalErr
	}
	return b.writeAndFlush(w, control, append(append([]byte(eventStart), event...), eventEnd...))
}

// notify sends to c without blocking; a signal that is already pending is enough.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
