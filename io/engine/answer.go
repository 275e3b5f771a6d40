package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/buger/jsonparser"
)

// The bounds of an answer.
const (
	readBufferBytes = 4 << 10
	maxPieceBytes   = 1 << 20
	maxWholeBytes   = 32 << 20
	endTimeout      = time.Second // for the end of a body whose answer is whole
)

var (
	dataField = []byte("data:")
	idField   = []byte("id:")
	doneData  = []byte("[DONE]")
	idKey     = []string{"id"}
)

// An Answer is an engine's answer to one attempt. It is used by one goroutine.
type Answer struct {
	client   *Client
	attempt  Attempt
	response *http.Response
	reader   *bufio.Reader
	watch    *watchdog
	cancel   context.CancelFunc
	wantID   []byte
	usage    Usage
	lastID   []byte // id of the newest event; empty when the engine sends none
	done     bool
}

func newAnswer(c *Client, a Attempt, response *http.Response, watch *watchdog, cancel context.CancelFunc) *Answer {
	return &Answer{
		client:   c,
		attempt:  a,
		response: response,
		reader:   bufio.NewReaderSize(response.Body, readBufferBytes),
		watch:    watch,
		cancel:   cancel,
		wantID:   []byte(IDPrefix + a.ID),
	}
}

// Whole reads the answer to an attempt that does not stream.
func (a *Answer) Whole() ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(a.reader, maxWholeBytes))
	if err != nil {
		return nil, a.readError(err)
	}
	if !a.owns(body) {
		return nil, &ForeignAnswerError{Upstream: a.attempt.Upstream, Want: a.attempt.ID}
	}
	var whole struct {
		Usage Usage `json:"usage"`
	}
	if err := json.Unmarshal(body, &whole); err != nil {
		return nil, &BrokenError{Upstream: a.attempt.Upstream, Cause: err}
	}
	a.usage = whole.Usage
	a.done = true
	return body, nil
}

// Next returns the data of the next piece of a stream, without the event's
// framing. The slice is valid until the following call. It returns io.EOF after
// the engine has said that the answer is whole, and never before.
func (a *Answer) Next() ([]byte, error) {
	for {
		a.watch.arm(a.attempt.Gap)
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
			a.watch.arm(0)
			a.done = true
			return nil, io.EOF
		}
		if !a.owns(data) {
			return nil, &ForeignAnswerError{Upstream: a.attempt.Upstream, Want: a.attempt.ID}
		}
		return data, nil
	}
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

// Buffered reports whether more of the answer has already arrived.
func (a *Answer) Buffered() bool { return a.reader.Buffered() > 0 }

func (a *Answer) owns(data []byte) bool {
	id, _, _, err := jsonparser.Get(data, idKey...)
	return err == nil && bytes.Equal(id, a.wantID)
}

func (a *Answer) readError(err error) error {
	if a.watch.expired() {
		a.client.Replace(a.attempt.Upstream)
		return &SilentError{Upstream: a.attempt.Upstream, After: a.attempt.Gap}
	}
	if errors.Is(err, io.EOF) {
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
	if a.done {
		// Read the end of the body so that the connection can be used again.
		a.watch.arm(endTimeout)
		_, _ = io.CopyN(io.Discard, a.reader, readBufferBytes)
	}
	a.watch.arm(0)
	a.cancel()
	_ = a.response.Body.Close()
}
