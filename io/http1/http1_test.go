package http1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// startServer listens on a local port, calls f for each connection with its
// number from 0, and returns the address.
func startServer(t *testing.T, f func(n int, c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				f(n, c, bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().String()
}

// readRequestID reads one request and returns its X-Id, or "" if there is none.
func readRequestID(r *bufio.Reader) string {
	q, err := http.ReadRequest(r)
	if err != nil {
		return ""
	}
	_, _ = io.Copy(io.Discard, q.Body)
	return q.Header.Get("X-Id")
}

func responseText(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func newRequest(id string) *Request {
	return &Request{Method: http.MethodPost, Target: "/a%2Fb?c", Host: "h", Header: []Field{{Name: "X-Id", Value: id}}, Body: []byte("body"), EchoName: "X-Id", EchoValue: id}
}

// do sends a request and returns the body of the response.
func do(c *Client, address string, q *Request) (string, error) {
	a, err := c.Do(context.Background(), address, q)
	if err != nil {
		return "", err
	}
	defer a.Close()
	body, err := io.ReadAll(a)
	return string(body), err
}

func TestConnectionReuse(t *testing.T) {
	tests := []struct {
		name    string
		reply   func(c net.Conn, id string)
		newConn bool
		want    int // connections for two requests
	}{
		{name: "clean", reply: func(c net.Conn, id string) { _, _ = io.WriteString(c, responseText(id, "x")) }, want: 1},
		{name: "new connection requested", reply: func(c net.Conn, id string) { _, _ = io.WriteString(c, responseText(id, "x")) }, newConn: true, want: 2},
		{name: "second response with the first", reply: func(c net.Conn, id string) { _, _ = io.WriteString(c, responseText(id, "x")+responseText(id, "y")) }, want: 2},
		{name: "second response later", reply: func(c net.Conn, id string) {
			_, _ = io.WriteString(c, responseText(id, "x"))
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(c, responseText(id, "y"))
		}, want: 2},
		{name: "closed after the response", reply: func(c net.Conn, id string) {
			_, _ = io.WriteString(c, responseText(id, "x"))
			_ = c.Close()
		}, want: 2},
		{name: "keep-alive timeout of zero", reply: func(c net.Conn, id string) {
			_, _ = io.WriteString(c, strings.Replace(responseText(id, "x"), "timeout=10", "timeout=0", 1))
		}, want: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			replied := make(chan struct{}, 2)
			address := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
				for id := readRequestID(r); id != ""; id = readRequestID(r) {
					tt.reply(c, id)
					replied <- struct{}{}
				}
			})
			opened := 0
			client := Client{OnOpen: func() { opened++ }}
			defer client.Close()
			for _, id := range []string{"1", "2"} {
				q := newRequest(id)
				q.NewConn = tt.newConn
				body, err := do(&client, address, q)
				is.NoErr(err)
				is.Equal(body, "x")
				<-replied
				time.Sleep(50 * time.Millisecond)
			}
			is.Equal(opened, tt.want)
		})
	}
}

func TestMismatchedResponseIsSkipped(t *testing.T) {
	is := is.New(t)
	address := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		id := readRequestID(r)
		_, _ = io.WriteString(c, responseText("another", "other body")+responseText(id, "own body"))
	})
	var client Client
	body, err := do(&client, address, newRequest("1"))
	is.NoErr(err)
	is.Equal(body, "own body")
}

func TestIncompleteResponseIsBrokenError(t *testing.T) {
	tests := []struct{ name, text string }{
		{name: "closed without data", text: ""},
		{name: "incomplete head", text: "HTTP/1.1 200 OK\r\nX-Id: 1"},
		{name: "not HTTP", text: "\x00\x01garbage\r\n\r\n"},
		{name: "body shorter than Content-Length", text: "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 10\r\n\r\nabc"},
		{name: "no last chunk", text: "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"},
		{name: "only responses to other requests", text: responseText("2", "a") + responseText("3", "b")},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			address := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
				readRequestID(r)
				_, _ = io.WriteString(c, tt.text)
			})
			var client Client
			_, err := do(&client, address, newRequest("1"))
			var broken *BrokenError
			is.True(errors.As(err, &broken))
		})
	}
}

func TestResetOfResponseWithoutLengthIsError(t *testing.T) {
	tests := []struct {
		name  string
		reset bool
	}{{name: "closed"}, {name: "reset", reset: true}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			address := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
				readRequestID(r)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nabc")
				time.Sleep(30 * time.Millisecond)
				if tt.reset {
					_ = c.(*net.TCPConn).SetLinger(0)
				}
			})
			var client Client
			body, err := do(&client, address, newRequest("1"))
			is.Equal(body, "abc")
			is.Equal(err != nil, tt.reset)
		})
	}
}

func TestRefusedConnectionIsUnreachableError(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	is.NoErr(l.Close())
	var client Client
	_, err = do(&client, address, newRequest("1"))
	var unreachable *UnreachableError
	is.True(errors.As(err, &unreachable)) // nothing was sent
}

func TestHeadTimeoutAndCancellationCloseConnection(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{}, 2)
	address := startServer(t, func(_ int, _ net.Conn, r *bufio.Reader) {
		readRequestID(r)
		_, _ = r.ReadByte() // until the other end closes
		closed <- struct{}{}
	})
	var client Client
	q := newRequest("1")
	q.HeadTimeout = 30 * time.Millisecond
	_, err := do(&client, address, q)
	is.True(err != nil)
	<-closed
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	_, err = client.Do(ctx, address, newRequest("2"))
	is.True(errors.Is(err, context.DeadlineExceeded))
	<-closed
}

// TestResponseBeforeLongBodyIsSentClosesConnection has the server respond before it
// reads the request body. A reused connection would make the server read the next
// request as the rest of that body.
func TestResponseBeforeLongBodyIsSentClosesConnection(t *testing.T) {
	is := is.New(t)
	address := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, err := r.ReadString('\n'); err != nil {
			return
		}
		_, _ = io.WriteString(c, responseText("1", "early"))
		time.Sleep(100 * time.Millisecond)
	})
	opened := 0
	client := Client{OnOpen: func() { opened++ }}
	for range 2 {
		q := newRequest("1")
		q.Body = make([]byte, 8<<20)
		body, err := do(&client, address, q)
		is.NoErr(err)
		is.Equal(body, "early")
	}
	is.Equal(opened, 2)
}

func TestIdleTimeout(t *testing.T) {
	tests := []struct {
		field string
		want  time.Duration
	}{
		{field: "", want: defaultIdleTimeout},
		{field: "timeout=10", want: 10*time.Second - idleMargin},
		{field: "max=5, timeout=2", want: 2*time.Second - idleMargin},
		{field: "timeout=soon", want: defaultIdleTimeout},
		{field: "timeout=-3", want: defaultIdleTimeout},
	}
	for _, tt := range tests {
		t.Run(tt.field, func(t *testing.T) { is.New(t).Equal(idleTimeout(tt.field), tt.want) })
	}
}

// TestUpstreamThatPausesBeforeItReadsIsWaitedFor guards against a request that is lost because
// a sound upstream reads nothing of its body for longer than the default of package tcp.
func TestUpstreamThatPausesBeforeItReadsIsWaitedFor(t *testing.T) {
	t.Parallel()
	const pause = 1800 * time.Millisecond
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.AcceptTCP()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				_ = c.SetReadBuffer(64 << 10)
				time.Sleep(pause)
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				if n, err := io.Copy(io.Discard, r.Body); err == nil {
					_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%d", len(fmt.Sprint(n)), n)
				}
			}()
		}
	}()
	body := make([]byte, 4<<20)
	tests := []struct {
		name        string
		userTimeout time.Duration
		headTimeout time.Duration
		answered    bool
	}{
		{name: "waited for", userTimeout: 2 * pause, answered: true},
		{name: "given up", userTimeout: 0},
		{name: "wait goes on", userTimeout: 0, headTimeout: pause / 6, answered: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var client Client
			t.Cleanup(client.Close)
			response, err := client.Do(t.Context(), l.Addr().String(), &Request{
				Method: http.MethodPost, Target: "/", Host: "h", Body: body, UserTimeout: tt.userTimeout,
				HeadTimeout: tt.headTimeout, GiveUp: func() bool { return false },
			})
			is.Equal(err == nil, tt.answered)
			if err != nil {
				return
			}
			defer response.Close()
			count, err := io.ReadAll(response)
			is.NoErr(err)
			is.Equal(string(count), fmt.Sprint(len(body)))
		})
	}
}

// TestIdleConnectionsExpire guards against connections to upstreams that left, which nothing
// closed until the process had no descriptors left.
func TestIdleConnectionsExpire(t *testing.T) {
	is := is.New(t)
	closed := make(chan int, 3)
	serve := func(n int, c net.Conn, r *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(r); err != nil {
				closed <- n
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=10\r\nContent-Length: 0\r\n\r\n")
		}
	}
	var client Client
	defer client.Close()
	left, stays := startServer(t, serve), startServer(t, serve)
	get := func(address string) {
		response, err := client.Do(t.Context(), address, &Request{Method: http.MethodGet, Target: "/", Host: "h"})
		is.NoErr(err)
		_, err = io.ReadAll(response)
		is.NoErr(err)
		response.Close()
	}
	get(left)
	get(stays)
	now := time.Now()
	is.Equal(client.CloseExpired(now), 2)
	is.Equal(client.CloseExpired(now.Add(9*time.Second)), 2)
	client.mu.Lock()
	client.idle[stays][0].usableUntil = now.Add(time.Minute) // it has been used since
	client.mu.Unlock()
	is.Equal(client.CloseExpired(now.Add(11*time.Second)), 1)
	<-closed
	is.Equal(len(client.idle), 1) // nothing is kept for the upstream that left
	get(stays)
}
