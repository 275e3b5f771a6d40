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
func (o *wholeAnswer) BeginAnswer(m AnswerMetadata) { o.meta = &m }

// SendEvent implements AnswerWriter.
func (o *wholeAnswer) SendEvent([]byte) error { return errNotStreaming }

// WaitEmpty implements AnswerWriter.
func (o *wholeAnswer) WaitEmpty(context.Context) error { return errNotStreaming }

// EndStream implements AnswerWriter.
func (o *wholeAnswer) EndStream() {}

// SendWhole implements AnswerWriter. The body counts as buffered for the caller
// until it is written, for which the caller has the write timeout.
func (o *wholeAnswer) SendWhole(body []byte) {
	o.handler.memory.reserveAlways(o.account, int64(len(body)))
	defer o.handler.memory.release(o.account, int64(len(body)))
	setAnswerHeaders(o.writer, *o.meta, o.handler.router)
	h := o.writer.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	control := http.NewResponseController(o.writer)
	_ = control.SetWriteDeadline(time.Now().Add(o.handler.limits.WriteTimeout))
	// A failed write is ignored: the answer is charged even if the caller has
	// disconnected.
	_, _ = o.writer.Write(body)
}

// finish writes the router's error, if any, as a refusal.
func (o *wholeAnswer) finish(err error) {
	if err != nil {
		WriteRefusal(o.writer, err)
	}
}
