package caller

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// A wholeOutput takes the answer to a completion that doesn't stream, and
// writes it from the router's goroutine.
type wholeOutput struct {
	writer  http.ResponseWriter
	handler *Handler
	account *atomic.Int64
	meta    *Meta
}

// errNoStream reports a piece of a stream where none was asked for.
var errNoStream = errors.New("caller: the completion does not stream")

// Begin implements Output.
func (o *wholeOutput) Begin(m Meta) { o.meta = &m }

// Event implements Output.
func (o *wholeOutput) Event([]byte) error { return errNoStream }

// Room implements Output.
func (o *wholeOutput) Room(context.Context) error { return errNoStream }

// Done implements Output.
func (o *wholeOutput) Done() {}

// Whole implements Output. What a slow caller has not taken counts as held for
// it; it has the write timeout to take all.
func (o *wholeOutput) Whole(body []byte) {
	o.handler.memory.force(o.account, int64(len(body)))
	defer o.handler.memory.give(o.account, int64(len(body)))
	setMeta(o.writer, *o.meta, o.handler.router)
	h := o.writer.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	control := http.NewResponseController(o.writer)
	_ = control.SetWriteDeadline(time.Now().Add(o.handler.limits.WriteTimeout))
	// A caller that is gone has its charge and its answer's cost all the same.
	_, _ = o.writer.Write(body)
}

// finish writes the refusal where there is no answer.
func (o *wholeOutput) finish(err error) {
	if err != nil {
		WriteRefusal(o.writer, err)
	}
}
