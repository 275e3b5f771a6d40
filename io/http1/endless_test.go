package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// maxAccepted is how many bytes of an endless response a client may accept
	// before it closes the connection. Besides what it reads, it includes the
	// socket buffers of both ends.
	maxAccepted = 16 << 20
	// endlessTimeout is how long a client may take to reject an endless response
	// that arrives fast.
	endlessTimeout = 2 * time.Second
)

// A countingWriter counts the bytes that the connection accepted.
type countingWriter struct {
	net.Conn
	n *atomic.Int64
}

func (w countingWriter) Write(p []byte) (int, error) {
	n, err := w.Conn.Write(p)
	w.n.Add(int64(n))
	return n, err
}

// repeat writes first and then part until the connection is closed.
func repeat(w io.Writer, first, part string) {
	part = strings.Repeat(part, max(1, 4096/len(part)))
	_, err := io.WriteString(w, first)
	for err == nil {
		_, err = io.WriteString(w, part)
	}
}

func TestEndlessResponseIsRejected(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n"
	tests := []struct {
		name        string
		first, part string
	}{
		{name: "status line", first: "HTTP/1.1 200 ", part: "O"},
		{name: "no protocol", first: "", part: "x"},
		{name: "line breaks", first: "", part: "\r\n"},
		{name: "header line", first: head + "X-A: ", part: "a"},
		{name: "header lines", first: head, part: "X-A: a\r\n"},
		{name: "continued header line", first: head + "X-A: a\r\n", part: " a\r\n"},
		{name: "informational responses", first: "", part: "HTTP/1.1 102 Processing\r\n\r\n"},
		{name: "responses to other requests", first: "", part: "HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 1\r\n\r\nx"},
		{name: "body of a response to another request", first: "HTTP/1.1 200 OK\r\nX-Id: 2\r\n\r\n", part: "x"},
		{name: "chunks of a response to another request", first: "HTTP/1.1 200 OK\r\nX-Id: 2\r\nTransfer-Encoding: chunked\r\n\r\n", part: "1\r\nx\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var accepted atomic.Int64
			closed := make(chan struct{})
			address := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
				defer close(closed)
				readRequestID(r)
				repeat(countingWriter{c, &accepted}, tt.first, tt.part)
			})
			var client Client
			defer client.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			begin := time.Now()
			_, err := client.Do(ctx, address, newRequest("1"))
			var broken *BrokenError
			is.True(errors.As(err, &broken))                   // the request may have run
			is.True(time.Since(begin) < endlessTimeout)        // rejected by its size, not by a timeout
			is.True(accepted.Load() < maxAccepted)             // bounded
			waitClosed(t, closed)                              // the connection is closed
			is.True(!errors.Is(err, context.DeadlineExceeded)) // the cause is the response
		})
	}
}

func waitClosed(t *testing.T, closed <-chan struct{}) {
	t.Helper()
	select {
	case <-closed:
	case <-time.After(endlessTimeout):
		t.Fatal("the connection is still open")
	}
}

// A body's framing that never ends is an error, however little data it has.
func TestEndlessFramingIsRejected(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	tests := []struct {
		name        string
		first, part string
	}{
		{name: "chunk size", first: head, part: "0"},
		{name: "chunk extension", first: head + "1;a=", part: "a"},
		{name: "chunks with extensions", first: head, part: "1;a=aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\nx\r\n"},
		{name: "trailer line", first: head + "0\r\nX-A: ", part: "a"},
		{name: "trailer lines", first: head + "0\r\n", part: "X-A: a\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			closed := make(chan struct{})
			address := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
				defer close(closed)
				readRequestID(r)
				repeat(c, tt.first, tt.part)
			})
			var client Client
			defer client.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			begin := time.Now()
			a, err := client.Do(ctx, address, newRequest("1"))
			is.NoErr(err)
			_, err = io.Copy(io.Discard, a)
			a.Close()
			var broken *BrokenError
			is.True(errors.As(err, &broken))
			is.True(time.Since(begin) < endlessTimeout)
			waitClosed(t, closed)
		})
	}
}

// A response head that arrives a byte at a time ends at the head timeout.
func TestTricklingHeadEndsAtTimeout(t *testing.T) {
	is := is.New(t)
	address := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		readRequestID(r)
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nX-A: ")
		for err == nil {
			time.Sleep(5 * time.Millisecond)
			_, err = io.WriteString(c, "a")
		}
	})
	var client Client
	defer client.Close()
	q := newRequest("1")
	q.HeadTimeout = 200 * time.Millisecond
	begin := time.Now()
	_, err := client.Do(t.Context(), address, q)
	var broken *BrokenError
	is.True(errors.As(err, &broken))
	is.True(time.Since(begin) < time.Second)
}

// Informational responses before the final one are skipped.
func TestInformationalResponsesAreSkipped(t *testing.T) {
	is := is.New(t)
	address := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		id := readRequestID(r)
		for range 4 {
			_, _ = io.WriteString(c, "HTTP/1.1 102 Processing\r\nX-Id: "+id+"\r\n\r\n")
		}
		_, _ = io.WriteString(c, responseText(id, "x"))
	})
	var client Client
	defer client.Close()
	body, err := do(&client, address, newRequest("1"))
	is.NoErr(err)
	is.Equal(body, "x")
}

// The head of the largest size is read, and a body of any size after it is not
// limited by the bound on the head.
func TestLargeResponseIsRead(t *testing.T) {
	is := is.New(t)
	body := strings.Repeat("b", 4*MaxHeadBytes)
	address := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		id := readRequestID(r)
		filler := "X-Fill: " + strings.Repeat("a", MaxHeadBytes/2) + "\r\n"
		_, _ = io.WriteString(c, strings.Replace(responseText(id, body), "Content-Length", filler+"Content-Length", 1))
	})
	var client Client
	defer client.Close()
	got, err := do(&client, address, newRequest("1"))
	is.NoErr(err)
	is.True(got == body)
}
