package http1

import (
	"bufio"
	"bytes"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// MaxHeadBytes is the largest response head that is read, informational
// responses before the final one included.
const MaxHeadBytes = 64 << 10

// maxDiscardBytes is the largest body of a response to another request that is
// read to reach the response after it.
const maxDiscardBytes = 64 << 10

// errHeadTooLarge reports a response head of more than MaxHeadBytes.
var errHeadTooLarge = errors.New("the response head has more than 64 KiB")

// A ResponseReader reads responses from a connection and bounds their heads. Bodies
// are not bounded; whoever reads them has to. The zero ResponseReader is not usable;
// create it with NewResponseReader.
type ResponseReader struct {
	*bufio.Reader
	source *limitedReader
}

// A limitedReader reads from r. While limited is true, it returns an error after
// left bytes.
type limitedReader struct {
	r       io.Reader
	limited bool
	left    int
	copied  *bytes.Buffer // gets what is read while limited is true; may be nil
}

// NewResponseReader returns a reader of responses from r with a buffer of the given
// size in bytes.
func NewResponseReader(r io.Reader, bufferBytes int) *ResponseReader {
	source := &limitedReader{r: r}
	return &ResponseReader{Reader: bufio.NewReaderSize(source, bufferBytes), source: source}
}

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if !l.limited {
		return l.r.Read(p)
	}
	if l.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.r.Read(p[:min(len(p), l.left)])
	l.left -= n
	if l.copied != nil {
		l.copied.Write(p[:n])
	}
	return n, err
}

// ReadResponse reads the next response head, and skips informational responses.
// It returns an error if a head is invalid, or if they have more than MaxHeadBytes
// together. The caller reads the body before the next call.
func (r *ResponseReader) ReadResponse(request *http.Request) (*http.Response, error) {
	r.source.limited = true
	r.source.left = MaxHeadBytes
	defer func() { r.source.limited = false }()
	for {
		response, err := r.readHead(request)
		switch {
		case r.source.left <= 0 && err != nil:
			return nil, errHeadTooLarge
		case err != nil:
			return nil, err
		case response.StatusCode == http.StatusSwitchingProtocols:
			return nil, errors.New("the upstream switched protocols, which was not requested")
		case response.StatusCode >= http.StatusOK:
			return response, nil
		}
	}
}

// readHead reads a response head, which may be informational.
func (r *ResponseReader) readHead(request *http.Request) (*http.Response, error) {
	start, err := r.Peek(len(http10))
	if err != nil {
		return nil, unexpectedEOF(err)
	}
	if string(start) == http10 {
		buffered, _ := r.Peek(r.Buffered()) // does not read
		r.source.copied = bytes.NewBuffer(bytes.Clone(buffered))
		defer func() { r.source.copied = nil }()
	}
	response, err := http.ReadResponse(r.Reader, request)
	switch {
	case err != nil:
		return nil, err
	case r.source.copied != nil && hasTransferEncoding(r.source.copied.Bytes()):
		return nil, errors.New("the response has a transfer encoding, which HTTP/1.0 does not have")
	}
	return response, CheckHead(response)
}

// unexpectedEOF returns err, or io.ErrUnexpectedEOF for io.EOF.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// EndsWithConn reports whether the body of a response has neither a length nor chunks, so that
// only the end of the connection ends it.
func EndsWithConn(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody
}

// discard reads the rest of the body of a response that is not wanted, and
// reports whether another response can follow it.
func discard(response *http.Response) bool {
	_, err := io.CopyN(io.Discard, response.Body, maxDiscardBytes)
	return errors.Is(err, io.EOF) && !response.Close
}
