package tunnel

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"banyanyard/io/http1"

	"github.com/matryer/is"
)

const (
	partialAnswer = "HTTP/1.1 200 OK\r\n\r\npart"
	// uploadBytes exceeds what the buffers of all sockets take.
	uploadBytes = 32 << 20
	// pause exceeds the default user timeout of package tcp.
	pause = 1800 * time.Millisecond
)

func mustListen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// startUpstream calls serve for each connection, with a small receive buffer, and returns the
// address.
func startUpstream(t *testing.T, serve func(c *net.TCPConn, r *bufio.Reader)) string {
	l := mustListen(t)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				_ = c.(*net.TCPConn).SetReadBuffer(64 << 10)
				serve(c.(*net.TCPConn), bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().String()
}

// A testServer is a Server that authorizes all requests and keeps how its tunnels ended.
type testServer struct {
	Server
	address string
	ends    chan End
}

// busyWait is how much longer than elsewhere tests in real time wait for each other's
// processes, on a busy machine.
const busyWait = 10 * time.Second

// open opens a tunnel in real time.
func open(ctx context.Context, instance string, r Request) (net.Conn, error) {
	return (&Client{extraWait: busyWait}).Open(ctx, instance, r)
}

func startServer(t *testing.T) *testServer {
	l := mustListen(t)
	s := &testServer{address: l.Addr().String(), ends: make(chan End, 16)}
	s.Authorize = func(Request) error { return nil }
	s.extraWait = busyWait
	s.OnEnd = func(_ Request, e End) { s.ends <- e }
	go func() { _ = s.Serve(t.Context(), l) }()
	t.Cleanup(s.Close)
	return s
}

func newRequest(address string, size int64) Request {
	return Request{From: "i1", Upstream: "u1", Address: address, Size: size, TimeLeft: 20 * time.Second, UserTimeout: 5 * time.Second}
}

// post sends a request through a tunnel and returns the body of its response.
func post(t *testing.T, instance, address string, body int) (string, error) {
	var client http1.Client
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	response, err := client.Do(ctx, address, &http1.Request{
		Method: http.MethodPost, Target: "/", Host: "h", Body: make([]byte, body),
		Open: func(ctx context.Context, address string, size int64) (net.Conn, error) {
			return open(ctx, instance, newRequest(address, size))
		},
	})
	if err != nil {
		return "", err
	}
	defer response.Close()
	text, err := io.ReadAll(response)
	return string(text), err
}

// readRequest reads a request to its end.
func readRequest(r *bufio.Reader) {
	if q, err := http.ReadRequest(r); err == nil {
		_, _ = io.Copy(io.Discard, q.Body)
	}
}

// reset makes the end of a connection a reset, a moment after what was sent.
func reset(c *net.TCPConn) {
	time.Sleep(30 * time.Millisecond)
	_ = c.SetLinger(0)
}

func TestAnswersThroughTunnel(t *testing.T) {
	long := strings.Repeat("x", 8<<20)
	tests := []struct {
		name    string
		body    int // bytes of the request
		serve   func(c *net.TCPConn, r *bufio.Reader)
		want    string // a whole answer; empty if it is to be an error
		outcome Outcome
	}{
		{name: "no length", body: 1 << 10, want: "part", outcome: Ended, serve: func(c *net.TCPConn, r *bufio.Reader) {
			readRequest(r)
			_, _ = io.WriteString(c, partialAnswer)
		}},
		{name: "no length, both long", body: uploadBytes, want: long, outcome: Ended, serve: func(c *net.TCPConn, r *bufio.Reader) {
			readRequest(r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+long)
		}},
		{name: "no length, upload read after the end", body: uploadBytes, want: "part", outcome: Ended, serve: func(c *net.TCPConn, r *bufio.Reader) {
			_, _ = io.WriteString(c, partialAnswer)
			_ = c.CloseWrite()
			time.Sleep(30 * time.Millisecond)
			readRequest(r)
		}},
		{name: "length", body: uploadBytes, want: "part", outcome: Closed, serve: func(c *net.TCPConn, r *bufio.Reader) {
			readRequest(r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart")
			_, _ = r.ReadByte()
		}},
		{name: "length, upload not read", body: uploadBytes, want: "part", outcome: Closed, serve: func(c *net.TCPConn, _ *bufio.Reader) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart")
			time.Sleep(time.Second)
		}},
		{name: "chunks", body: 1, want: "part", outcome: Closed, serve: func(c *net.TCPConn, r *bufio.Reader) {
			readRequest(r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n")
			_, _ = r.ReadByte()
		}},
		{name: "reset after a short request", body: 1, outcome: Broken, serve: func(c *net.TCPConn, r *bufio.Reader) {
			readRequest(r)
			_, _ = io.WriteString(c, partialAnswer)
			reset(c)
		}},
		{name: "reset during the upload", body: uploadBytes, outcome: Broken, serve: func(c *net.TCPConn, _ *bufio.Reader) {
			_, _ = io.WriteString(c, partialAnswer)
			reset(c)
		}},
		{name: "closed during the upload", body: uploadBytes, outcome: Broken, serve: func(c *net.TCPConn, _ *bufio.Reader) {
			_, _ = io.WriteString(c, partialAnswer)
			time.Sleep(30 * time.Millisecond)
		}},
		{name: "closed before an upload in the buffers is read", body: 100 << 10, outcome: Broken, serve: func(c *net.TCPConn, _ *bufio.Reader) {
			_, _ = io.WriteString(c, partialAnswer)
			time.Sleep(30 * time.Millisecond)
		}},
		{name: "reset during the upload after the upstream's end", body: uploadBytes, outcome: Broken, serve: func(c *net.TCPConn, _ *bufio.Reader) {
			_, _ = io.WriteString(c, partialAnswer)
			_ = c.CloseWrite()
			reset(c)
		}},
		{name: "reset of an upload in the buffers after the upstream's end", body: 1 << 20, outcome: Broken, serve: func(c *net.TCPConn, _ *bufio.Reader) {
			_, _ = io.WriteString(c, partialAnswer)
			_ = c.CloseWrite()
			reset(c)
		}},
		{name: "upload read after a pause", body: uploadBytes, want: "part", outcome: Ended, serve: func(c *net.TCPConn, r *bufio.Reader) {
			time.Sleep(pause)
			readRequest(r)
			_, _ = io.WriteString(c, partialAnswer)
		}},
		{name: "status 000", body: 1, outcome: Closed, serve: func(c *net.TCPConn, r *bufio.Reader) {
			readRequest(r)
			_, _ = io.WriteString(c, "HTTP/1.1 000 Trouble\r\nContent-Length: 4\r\n\r\npart")
			_, _ = r.ReadByte()
		}},
		{name: "body that is too short", body: 1, outcome: Ended, serve: func(c *net.TCPConn, r *bufio.Reader) {
			readRequest(r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\npart")
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := startServer(t)
			got, err := post(t, s.address, startUpstream(t, tt.serve), tt.body)
			if tt.want != "" {
				is.NoErr(err)
				is.True(got == tt.want)
			} else {
				var broken *http1.BrokenError
				is.True(errors.As(err, &broken))
			}
			end := <-s.ends
			t.Log(end)
			is.Equal(end.Outcome, tt.outcome)
			is.NoErr(s.Wait(t.Context()))
		})
	}
}

// TestEveryByteArrives sends bytes at once with the answer of the instance.
func TestEveryByteArrives(t *testing.T) {
	is := is.New(t)
	s := startServer(t)
	greeting := bytes.Repeat([]byte("0123456789"), 50_000)
	address := startUpstream(t, func(c *net.TCPConn, r *bufio.Reader) {
		_, _ = c.Write(greeting)
		_, _ = r.ReadByte()
	})
	c, err := open(t.Context(), s.address, newRequest(address, 1))
	is.NoErr(err)
	got := make([]byte, len(greeting))
	_, err = io.ReadFull(c, got)
	is.NoErr(err)
	is.True(bytes.Equal(got, greeting))
	_, err = c.Write([]byte("x"))
	is.NoErr(err)
	n, err := c.Read(got)
	is.Equal(n, 0)
	is.Equal(err, io.EOF)
}
