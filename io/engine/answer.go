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

// The bounds of an answer.
const (
	readBufferBytes = 4 << 10
	maxPieceBytes   = 1 << 20
	maxWholeBytes   = 32 << 20
	// deadlineParts is the part of the gap after which the deadline is moved
	// even though a part of the next piece has arrived.
	deadlineParts = 8
	endTimeout    = time.Second // for the end of a body whose answer is whole
)

var (
	dataField = []byte("data:")
	idField   = []byte("id:")
	doneData  = []byte("[DONE]")
	idKey     = []string{"id"}
)

// An Answer is an engine's answer to one attempt. It is used by one goroutine.
type Answer struct {
	ctx      context.Context
	client   *Client
	conn     *conn
	attempt  Attempt
	response *http.Response
	reader   *bufio.Reader // of a stream; nil for a whole answer
	wantID   []byte
	usage    Usage
	lastID   []byte // id of the newest event; empty when the engine sends none
	done     bool
	// deadlineSet is when the connection's deadline was moved.
	deadlineSet time.Time
}

func newAnswer(ctx context.Context, c *Client, cn *conn, a Attempt, response *http.Response) *Answer {
	answer := &Answer{
		ctx:      ctx,
		client:   c,
		conn:     cn,
		attempt:  a,
		response: response,
		wantID:   []byte(IDPrefix + a.ID),
	}
	if a.Stream {
		answer.reader = bufio.NewReaderSize(response.Body, readBufferBytes)
	}
	return answer
}

// Whole reads the answer to an attempt that does not stream.
func (a *Answer) Whole() ([]byte, error) {
	body, err := readAll(a.response)
	if err != nil {
		return nil, a.readError(err)
	}
	if !a.owns(body) {
		return nil, &ForeignAnswerError{Upstream: a.attempt.Upstream, Want: a.attempt.ID}
	}
	a.ReadUsage(body)
	a.done = true
	return body, nil
}

// readAll reads a body of up to maxWholeBytes.
func readAll(response *http.Response) ([]byte, error) {
	if n := response.ContentLength; n >= 0 && n <= maxWholeBytes {
		body := make([]byte, n)
		_, err := io.ReadFull(response.Body, body)
		return body, err
	}
	return io.ReadAll(io.LimitReader(response.Body, maxWholeBytes))
}

// Next returns the data of the next piece of a stream, without the event's
// framing. The slice is valid until the following call. It returns io.EOF after
// the engine has said that the answer is whole, and never before.
func (a *Answer) Next() ([]byte, error) {
	for {
		a.keepDeadline()
		line, err := a.readLine()
		if err != nil {
			return nil, a.readError(err)
		}
		data, ok := bytes.CutPrefix(line, dataField)
		if !ok {
			a.readID(line)
			continue
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, doneData) {
			a.done = true
			return nil, io.EOF
		}
		if !a.owns(data) {
			return nil, &ForeignAnswerError{Upstream: a.attempt.Upstream, Want: a.attempt.ID}
		}
		return data, nil
	}
}

// keepDeadline gives the next piece its time. The time that a slow caller has
// taken since the newest piece doesn't count.
func (a *Answer) keepDeadline() {
	now := time.Now()
	if a.reader.Buffered() > 0 && now.Sub(a.deadlineSet) < a.attempt.Gap/deadlineParts {
		return
	}
	a.deadlineSet = now
	a.conn.within(a.attempt.Gap)
}

// readID remembers the id of the event that a line begins.
func (a *Answer) readID(line []byte) {
	if id, ok := bytes.CutPrefix(line, idField); ok {
		a.lastID = append(a.lastID[:0], bytes.TrimSpace(id)...)
	}
}

// LastID returns the id of the newest event, with which the stream can be
// resumed. It is empty when the engine can't resume.
func (a *Answer) LastID() string { return string(a.lastID) }

// readLine returns a line of up to maxPieceBytes.
func (a *Answer) readLine() ([]byte, error) {
	line, err := a.reader.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	long := append([]byte(nil), line...)
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(long) > maxPieceBytes {
			return nil, errors.New("a piece is too large")
		}
		line, err = a.reader.ReadSlice('\n')
		long = append(long, line...)
	}
	return long, err
}

func (a *Answer) owns(data []byte) bool {
	id, _, _, err := jsonparser.Get(data, idKey...)
	return err == nil && bytes.Equal(id, a.wantID)
}

func (a *Answer) readError(err error) error {
	switch {
	case a.ctx.Err() != nil:
		err = a.ctx.Err()
	case errors.Is(err, os.ErrDeadlineExceeded):
		a.client.Replace(a.attempt.Upstream)
		return &SilentError{Upstream: a.attempt.Upstream, After: a.attempt.Gap}
	case errors.Is(err, io.EOF):
		err = io.ErrUnexpectedEOF
	}
	return &BrokenError{Upstream: a.attempt.Upstream, Cause: err}
}

// Usage returns the tokens that the engine has reported so far.
func (a *Answer) Usage() Usage { return a.usage }

// ReadUsage takes the usage of a piece into account and reports whether the
// piece has one and no choices.
func (a *Answer) ReadUsage(data []byte) bool {
	value, kind, _, err := jsonparser.Get(data, "usage")
	if err != nil || kind != jsonparser.Object {
		return false
	}
	if err := json.Unmarshal(value, &a.usage); err != nil {
		return false
	}
	choices, _, _, err := jsonparser.Get(data, "choices")
	return err != nil || bytes.Equal(choices, []byte("[]"))
}

// Close ends the attempt. An answer that is not whole is cancelled at the
// engine, which sees its connection close.
func (a *Answer) Close() {
	if !a.done {
		a.conn.discard()
		return
	}
	a.client.put(a.ctx, a.attempt.Upstream, a.conn, a.drained())
}

// drained reads the end of a body whose answer is whole, so that the connection
// can be used again, and reports whether it could.
func (a *Answer) drained() bool {
	if a.response.Close {
		return false
	}
	a.conn.within(endTimeout)
	rest := io.Reader(a.response.Body)
	if a.reader != nil {
		rest = a.reader
	}
	_, err := io.CopyN(io.Discard, rest, readBufferBytes)
	return errors.Is(err, io.EOF)
}
