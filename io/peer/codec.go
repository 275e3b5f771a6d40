package peer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strconv"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
)

const (
	// maxMessageBytes bounds a message. The largest are full lists of the store's
	// rows, of at most a few MB.
	maxMessageBytes = 16 << 20
	// maxHeaderLines bounds the header of a message. A line is bounded by the
	// buffer of the stream.
	maxHeaderLines = 8
)

var (
	lengthField = []byte("Content-Length: ")

	errHeaderTooLong = errors.New("the header of a message has too many lines")
	errNoLength      = errors.New("the header of a message has no Content-Length")
)

// A messageCodec encodes messages like jsonrpc2.VSCodeObjectCodec, and bounds
// what it reads of one.
type messageCodec struct{ jsonrpc2.VSCodeObjectCodec }

// ReadObject implements jsonrpc2.ObjectCodec. After an error, jsonrpc2 closes the
// connection.
func (messageCodec) ReadObject(stream *bufio.Reader, v any) error {
	length, err := readLength(stream)
	if err != nil {
		return err
	}
	body := io.LimitReader(stream, length)
	if err := json.NewDecoder(body).Decode(v); err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, body)
	return err
}

// readLength reads the header of a message and returns the length of its body in
// bytes.
func readLength(stream *bufio.Reader) (int64, error) {
	length := int64(0)
	for range maxHeaderLines {
		line, err := stream.ReadSlice('\n')
		if err != nil {
			return 0, err
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			if length == 0 {
				return 0, errNoLength
			}
			return length, nil
		}
		if value, ok := bytes.CutPrefix(line, lengthField); ok {
			length, err = strconv.ParseInt(string(value), 10, 64)
			if err != nil || length < 0 || length > maxMessageBytes {
				return 0, fmt.Errorf("the message length %q is not between 0 and %d bytes", value, maxMessageBytes)
			}
		}
	}
	return 0, errHeaderTooLong
}
