package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/buger/jsonparser"
)

// Bounds of a response.
const (
	readBufferBytes = 4 << 10
	maxLineBytes    = 1 << 20
	maxBodyBytes    = 32 << 20
	// After ChunkTimeout / deadlineRefreshDivisor the deadline is renewed even
	// when part of the next chunk is already buffered.
	deadlineRefreshDivisor = 8
	drainTimeout           = time.Second // for the rest of the body of a complete response
)

var (
	dataField  = []byte("data:")
	idField    = []byte("id:")
	doneMarker = []byte("[DONE]")
	idKey      = []string{"id"}

	errLineTooLong = errors.New("a line of the event stream exceeds 1 MiB")
	errNoData      = errors.New("the event stream has more than 1 MiB without data")
)

// A Response is an engine's response to one attempt. It is not safe for
// concurrent use.
type Response struct {
	ctx          context.Context
	client       *Client
	conn         *conn
	attempt      Attempt
	httpResponse *http.Response
	reader       *bufio.Reader // of a stream; nil for a non-streaming response
	wantID       []byte
	usage        Usage
	lastEventID  []byte // empty when the engine sends no event ids
	complete     bool
	deadlineSet  time.Time // when the connection's deadline was last renewed
}

func newResponse(ctx context.Context, c *Client, cn *conn, a Attempt, response *http.Response) *Response {
	r := &Response{
		ctx:          ctx,
		client:       c,
		conn:         cn,
		attempt:      a,
		httpResponse: response,
		wantID:       []byte(IDPrefix + a.ID),
	}
	if a.Stream {
		r.reader = bufio.NewReaderSize(response.Body, readBufferBytes)
	}
	return r
}

// ReadAll reads and returns the body of a non-streaming response. It returns a
// WrongAttemptError when the body has another attempt's identifier.
func (r *Response) ReadAll() ([]byte, error) {
	body, err := readBody(r.httpResponse)
	if err != nil {
		return nil, r.readError(err)
	}
	if !r.hasAttemptID(body) {
		return nil, &WrongAttemptError{Upstream: r.attempt.Upstream, Want: r.attempt.ID}
	}
	r.RecordUsage(body)
	r.complete = true
	return body, nil
}

var (
	errBodyTooLarge = errors.New("the body has more than 32 MiB")
	errBodyCut      = errors.New("the connection ended within the body")
)

// readBody reads a body of up to maxBodyBytes. Where only the end of the connection ends
// the body, it must be whole JSON, because a broken connection may look the same.
func readBody(response *http.Response) ([]byte, error) {
	if n := response.ContentLength; n >= 0 && n <= maxBodyBytes {
		body := make([]byte, n)
		_, err := io.ReadFull(response.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes+1))
	switch {
	case err != nil:
		return nil, err
	case len(body) > maxBodyBytes:
		return nil, errBodyTooLarge
	case response.ContentLength < 0 && len(response.TransferEncoding) == 0 && !json.Valid(body):
		return nil, errBodyCut
	}
	return body, nil
}

// Next returns the data of the next chunk of a stream, without the event's
// framing. The slice is valid until the following call. It returns io.EOF only
// after the engine's [DONE] marker; a stream that ends without it is an error.
// Lines without data, such as comments, do not extend the chunk's timeout.
func (r *Response) Next() ([]byte, error) {
	r.extendDeadline()
	skipped := 0
	for {
		line, err := r.readLine()
		if err != nil {
			return nil, r.readError(err)
		}
		data, ok := bytes.CutPrefix(line, dataField)
		if !ok {
			if skipped += len(line); skipped > maxLineBytes {
				return nil, r.readError(errNoData)
			}
			r.recordEventID(line)
			continue
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, doneMarker) {
			r.complete = true
			return nil, io.EOF
		}
		if !r.hasAttemptID(data) {
			return nil, &WrongAttemptError{Upstream: r.attempt.Upstream, Want: r.attempt.ID}
		}
		return data, nil
	}
}

// extendDeadline renews the read deadline for the next chunk. Time that a slow
// caller takes between chunks does not count against the engine.
func (r *Response) extendDeadline() {
	now := time.Now()
	if r.reader.Buffered() > 0 && now.Sub(r.deadlineSet) < r.attempt.ChunkTimeout/deadlineRefreshDivisor {
		return
	}
	r.deadlineSet = now
	r.conn.setTimeout(r.attempt.ChunkTimeout)
}

// recordEventID stores the event id if the line is an id field.
func (r *Response) recordEventID(line []byte) {
	if id, ok := bytes.CutPrefix(line, idField); ok {
		r.lastEventID = append(r.lastEventID[:0], bytes.TrimSpace(id)...)
	}
}

// LastEventID returns the id of the last event received, with which the stream
// can be resumed. It is empty when the engine does not support resuming.
func (r *Response) LastEventID() string { return string(r.lastEventID) }

// readLine returns the next line, or an error for one over maxLineBytes.
func (r *Response) readLine() ([]byte, error) {
	line, err := r.reader.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	long := append([]byte(nil), line...)
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(long) > maxLineBytes {
			return nil, errLineTooLong
		}
		line, err = r.reader.ReadSlice('\n')
		long = append(long, line...)
	}
	return long, err
}

// hasAttemptID reports whether the id in data is that of the attempt.
func (r *Response) hasAttemptID(data []byte) bool {
	id, _, _, err := jsonparser.Get(data, idKey...)
	return err == nil && bytes.Equal(id, r.wantID)
}

// readError converts a read failure into a TimeoutError or a BrokenError. After
// a timeout it also closes the upstream's idle connections.
func (r *Response) readError(err error) error {
	switch {
	case r.ctx.Err() != nil:
		err = r.ctx.Err()
	case errors.Is(err, os.ErrDeadlineExceeded):
		r.client.CloseIdle(r.attempt.Upstream)
		return &TimeoutError{Upstream: r.attempt.Upstream, After: r.attempt.ChunkTimeout}
	case errors.Is(err, io.EOF):
		err = io.ErrUnexpectedEOF
	}
	return &BrokenError{Upstream: r.attempt.Upstream, Cause: err}
}

// Usage returns the token counts that the engine has reported so far.
func (r *Response) Usage() Usage { return r.usage }

// RecordUsage stores the token usage of a chunk and reports whether the chunk
// has usage and no choices.
func (r *Response) RecordUsage(data []byte) bool {
	value, kind, _, err := jsonparser.Get(data, "usage")
	if err != nil || kind != jsonparser.Object {
		return false
	}
	if err := json.Unmarshal(value, &r.usage); err != nil {
		return false
	}
	choices, _, _, err := jsonparser.Get(data, "choices")
	return err != nil || bytes.Equal(choices, []byte("[]"))
}

// Close ends the attempt. It closes the connection of an incomplete response,
// by which the engine learns that the attempt is cancelled.
func (r *Response) Close() {
	if !r.complete {
		r.conn.discard()
		return
	}
	r.client.putIdle(r.ctx, r.attempt.Upstream, r.conn, r.drain())
}

// drain reads the rest of the body of a complete response and reports whether
// the connection can be reused.
func (r *Response) drain() bool {
	if r.httpResponse.Close {
		return false
	}
	r.conn.setTimeout(drainTimeout)
	rest := io.Reader(r.httpResponse.Body)
	if r.reader != nil {
		rest = r.reader
	}
	_, err := io.CopyN(io.Discard, rest, readBufferBytes)
	return errors.Is(err, io.EOF)
}
