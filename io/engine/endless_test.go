package engine

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"banyanyard/core/rules"

	"github.com/matryer/is"
)

const (
	testChunkTimeout = 200 * time.Millisecond
	// endTimeout is how long the client may take to end a bad stream.
	endTimeout = 2 * time.Second
	streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	plainHead  = "HTTP/1.1 200 OK\r\n"
)

// startEngine listens on a local port, calls f for each connection after its
// first request has been read, and returns the address.
func startEngine(t *testing.T, f func(c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	return startEngineConn(t, func(c *net.TCPConn) {
		r := bufio.NewReader(c)
		if readAttempt(r) != "" {
			f(c, r)
		}
	})
}

// startEngineConn listens on a local port, calls f for each connection before anything has been
// read from it, and returns the address.
func startEngineConn(t *testing.T, f func(c *net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				f(c.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String()
}

// readAttempt reads a request and returns its attempt ID, or "" if there is none.
func readAttempt(r *bufio.Reader) string {
	q, err := http.ReadRequest(r)
	if err != nil {
		return ""
	}
	_, _ = io.Copy(io.Discard, q.Body)
	return q.Header.Get("X-Request-Id")
}

func newAttempt(id, address string, stream bool) Attempt {
	return Attempt{
		ID: id, Upstream: "engine", Address: address, Target: rules.Target{Model: "small"}, Body: []byte("{}"),
		Stream: stream, FirstByteTimeout: endTimeout, ChunkTimeout: testChunkTimeout,
	}
}

// readStream reads a stream to its end and returns the number of chunks.
func readStream(ctx context.Context, c *Client, a Attempt) (int, error) {
	r, err := c.Start(ctx, a)
	if err != nil {
		return 0, err
	}
	defer r.Close()
	for n := 0; ; n++ {
		if _, err := r.Next(); err != nil {
			if errors.Is(err, io.EOF) {
				err = nil
			}
			return n, err
		}
	}
}

// repeat writes first and then part every interval until the connection closes.
func repeat(c io.Writer, first, part string, interval time.Duration) {
	_, err := io.WriteString(c, first)
	for err == nil {
		time.Sleep(interval)
		_, err = io.WriteString(c, part)
	}
}

func TestEndlessResponseEnds(t *testing.T) {
	long := strings.Repeat("a", 4096)
	tests := []struct {
		name        string
		first, part string
		interval    time.Duration
	}{
		{name: "header lines", first: plainHead, part: "X-A: " + long + "\r\n"},
		{name: "header line", first: plainHead + "X-A: ", part: long},
		{name: "event line", first: streamHead + "data: ", part: long},
		{name: "comment lines", first: streamHead, part: ": " + long + "\n"},
		{name: "trickling comment lines", first: streamHead, part: ":\n\n", interval: testChunkTimeout / 4},
		{name: "trickling event line", first: streamHead + "data: ", part: "a", interval: testChunkTimeout / 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			closed := make(chan struct{})
			address := startEngine(t, func(c net.Conn, _ *bufio.Reader) {
				defer close(closed)
				repeat(c, tt.first, tt.part, tt.interval)
			})
			var client Client
			defer client.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 2*endTimeout)
			defer cancel()
			begin := time.Now()
			_, err := readStream(ctx, &client, newAttempt("1", address, true))
			is.True(err != nil)
			is.NoErr(ctx.Err()) // ended by the client, not by the deadline
			is.True(time.Since(begin) < endTimeout)
			select {
			case <-closed:
			case <-time.After(endTimeout):
				t.Fatal("the connection is still open")
			}
		})
	}
}

// A stream whose chunks arrive just inside the timeout is read to its end, also
// when comments and parts of the next chunk arrive with a chunk.
func TestSlowStreamIsReadToItsEnd(t *testing.T) {
	is := is.New(t)
	const chunk = `data: {"id":"` + IDPrefix + `1"}` + "\n\n"
	address := startEngine(t, func(c net.Conn, _ *bufio.Reader) {
		_, _ = io.WriteString(c, streamHead+chunk[:8])
		for range 5 {
			time.Sleep(testChunkTimeout * 3 / 4)
			_, _ = io.WriteString(c, chunk[8:]+": comment\n\n"+chunk[:8])
		}
		time.Sleep(testChunkTimeout * 3 / 4)
		_, _ = io.WriteString(c, chunk[8:]+"data: [DONE]\n\n")
	})
	var client Client
	defer client.Close()
	n, err := readStream(t.Context(), &client, newAttempt("1", address, true))
	is.NoErr(err)
	is.Equal(n, 6)
}

// A second copy of a response that arrives on an idle connection is not taken for
// the response to the next attempt.
func TestLateCopyOnIdleConnection(t *testing.T) {
	is := is.New(t)
	respond := func(c net.Conn, id string) {
		body := `{"id":"` + IDPrefix + id + `"}`
		_, _ = io.WriteString(c, plainHead+"Content-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
	}
	address := startEngine(t, func(c net.Conn, r *bufio.Reader) {
		for id := "1"; id != ""; id = readAttempt(r) {
			respond(c, id)
			time.Sleep(20 * time.Millisecond)
			respond(c, id)
		}
	})
	var client Client
	defer client.Close()
	first, err := client.Start(t.Context(), newAttempt("1", address, false))
	is.NoErr(err)
	_, err = first.ReadAll()
	is.NoErr(err)
	first.Close()
	time.Sleep(100 * time.Millisecond)
	second, err := client.Start(t.Context(), newAttempt("1", address, false))
	is.NoErr(err)
	is.True(!second.conn.reused) // the connection with unread bytes was closed
	second.Close()
}

// TestCutResponseIsNotTakenAsWhole guards against a short answer that is framed as whole:
// an engine stops at any byte of its response, in the head too, and closes the connection.
func TestCutResponseIsNotTakenAsWhole(t *testing.T) {
	const body = `{"id":"` + IDPrefix + `1","choices":[{"index":0}]}`
	const chunk = "data: " + body + "\n\n"
	tests := []struct {
		name   string
		text   string
		stream bool
	}{
		{name: "length", text: plainHead + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body},
		{name: "chunks", text: plainHead + "Transfer-Encoding: chunked\r\n\r\n" + strconv.FormatInt(int64(len(body)), 16) + "\r\n" + body + "\r\n0\r\n\r\n"},
		{name: "neither", text: plainHead + "\r\n" + body},
		{name: "stream", text: streamHead + chunk + chunk + "data: [DONE]\n\n", stream: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			lengths := make(chan int, 1)
			address := startEngine(t, func(c net.Conn, _ *bufio.Reader) { _, _ = io.WriteString(c, tt.text[:<-lengths]) })
			var client Client
			defer client.Close()
			for n := range len(tt.text) + 1 {
				lengths <- n
				err := readResponse(t.Context(), &client, newAttempt("1", address, tt.stream))
				if tt.stream && tt.text[n:] == "\n" {
					continue // the marker at the end of a stream has been read
				}
				if n == len(tt.text) {
					is.NoErr(err)
				} else if err == nil {
					t.Fatalf("%d of %d bytes are taken as a whole response", n, len(tt.text))
				}
			}
		})
	}
}

// readResponse reads a response to its end.
func readResponse(ctx context.Context, c *Client, a Attempt) error {
	if a.Stream {
		_, err := readStream(ctx, c, a)
		return err
	}
	r, err := c.Start(ctx, a)
	if err != nil {
		return err
	}
	defer r.Close()
	_, err = r.ReadAll()
	return err
}

// TestLargeResponseIsNotCutShort guards against a body that is cut at the limit and
// delivered as if it were whole.
func TestLargeResponseIsNotCutShort(t *testing.T) {
	body := `{"id":"` + IDPrefix + `1","text":"` + strings.Repeat("a", maxBodyBytes) + `"}`
	tests := []struct{ name, head, tail string }{
		{name: "length", head: plainHead + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"},
		{name: "chunks", head: plainHead + "Transfer-Encoding: chunked\r\n\r\n" + strconv.FormatInt(int64(len(body)), 16) + "\r\n", tail: "\r\n0\r\n\r\n"},
		{name: "neither", head: plainHead + "\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			address := startEngine(t, func(c net.Conn, _ *bufio.Reader) { _, _ = io.WriteString(c, tt.head+body+tt.tail) })
			var client Client
			defer client.Close()
			is.True(readResponse(t.Context(), &client, newAttempt("1", address, false)) != nil)
		})
	}
}

// TestRejectionThatBreaksOff guards against a request that is rejected for good with part of an
// engine's reason. A refusal is taken by its status: its body is not used.
func TestRejectionThatBreaksOff(t *testing.T) {
	tests := []struct {
		name, text string
		want       any // pointer to the type of the error
	}{
		{name: "whole rejection", text: "HTTP/1.1 400 Bad Request\r\nContent-Length: 6\r\n\r\nreason", want: new(*RejectedError)},
		{name: "rejection shorter than its length", text: "HTTP/1.1 400 Bad Request\r\nContent-Length: 60\r\n\r\nreason", want: new(*BrokenError)},
		{name: "rejection without its last chunk", text: "HTTP/1.1 422 Unprocessable\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nreason\r\n", want: new(*BrokenError)},
		{name: "refusal shorter than its length", text: "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 60\r\n\r\nreason", want: new(*RefusedError)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			address := startEngine(t, func(c net.Conn, _ *bufio.Reader) { _, _ = io.WriteString(c, tt.text) })
			var client Client
			defer client.Close()
			_, err := client.Start(t.Context(), newAttempt("1", address, false))
			is.True(errors.As(err, tt.want))
		})
	}
}

// TestUploadWhoseResponseBreaksOff has an engine answer before it has read a long request, and
// reset the connection.
func TestUploadWhoseResponseBreaksOff(t *testing.T) {
	is := is.New(t)
	address := startEngineConn(t, func(c *net.TCPConn) {
		_ = c.SetReadBuffer(16 << 10)
		_, _ = io.WriteString(c, plainHead+"\r\n{\"id\":\""+IDPrefix+"1\"}")
		time.Sleep(20 * time.Millisecond)
		_ = c.SetLinger(0)
		_ = c.Close()
	})
	var client Client
	defer client.Close()
	a := newAttempt("1", address, false)
	a.Body = make([]byte, 32<<20)
	err := readResponse(t.Context(), &client, a)
	var broken *BrokenError
	is.True(errors.As(err, &broken))
}
