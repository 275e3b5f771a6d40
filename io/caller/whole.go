package caller

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// A wholeAnswer writes the answer to a completion that isn't streamed. It writes
// on the router's goroutine.
type wholeAnswer struct {
	writer  http.ResponseWriter
	handler *Handler
	account *atomic.Int64
	meta    *AnswerMetadata
}

// errNotStreaming reports a stream operation on an answer that isn't streamed.
var errNotStreaming = errors.New("caller: the completion was not requested as a stream")

// BeginAnswer implements AnswerWriter.
func (a *wholeAnswer) BeginAnswer(m AnswerMetadata) { a.meta = &m }

// SendEvent implements AnswerWriter.
func (a *wholeAnswer) SendEvent([]byte) error { return errNotStreaming }

// WaitEmpty implements AnswerWriter.
func (a *wholeAnswer) WaitEmpty(context.Context) error { return errNotStreaming }

// EndStream implements AnswerWriter.
func (a *wholeAnswer) EndStream() {}

// SendWhole implements AnswerWriter. The body counts as buffered for the caller
// until it is written, for which the caller has the write timeout.
func (a *wholeAnswer) SendWhole(body []byte) {
	a.handler.memory.reserveAlways(a.account, int64(len(body)))
	defer a.handler.memory.release(a.account, int64(len(body)))
	setAnswerHeaders(a.writer, *a.meta, a.handler.router)
	h := a.writer.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	control := http.NewResponseController(a.writer)
	_ = control.SetWriteDeadline(time.Now().Add(a.handler.limits.WriteTimeout))
	// A failed write is ignored: the answer is charged even if the caller has
	// disconnected.
	_, _ = a.writer.Write(body)
}

// finish writes the router's error, if any, as a refusal.
func (a *wholeAnswer) finish(err error) {
	if err != nil {
		WriteRefusal(a.writer, err)
	}
}
