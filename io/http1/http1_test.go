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

// serve answers each connection with f, which gets the number of the connection,
// and returns the address.
func serve(t *testing.T, f func(n int, c net.Conn, r *bufio.Reader)) string {
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

// read reads one request and returns its identifier, or "" at the end.
func read(r *bufio.Reader) string {
	q, err := http.ReadRequest(r)
	if err != nil {
		return ""
	}
	_, _ = io.Copy(io.Discard, q.Body)
	return q.Header.Get("X-Id")
}

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func request(id string) *Request {
	return &Request{Method: http.MethodPost, Target: "/a%2Fb?c", Host: "h", Header: []Field{{Name: "X-Id", Value: id}}, Body: []byte("body"), EchoName: "X-Id", Echo: id}
}

// ask sends a request and returns the whole answer.
func ask(c *Client, address string, q *Request) (string, error) {
	a, err := c.Do(context.Background(), address, q)
	if err != nil {
		return "", err
	}
	defer a.Close()
	body, err := io.ReadAll(a)
	return string(body), err
}

func TestConnectionsAreKeptOnlyWhenTheyAreClean(t *testing.T) {
	tests := []struct {
		name  string
		reply func(c net.Conn, id string)
		fresh bool
		want  int // connections for two requests
	}{
		{name: "clean", reply: func(c net.Conn, id string) { _, _ = io.WriteString(c, answer(id, "x")) }, want: 1},
		{name: "fresh ones asked for", reply: func(c net.Conn, id string) { _, _ = io.WriteString(c, answer(id, "x")) }, fresh: true, want: 2},
		{name: "a second answer with the first", reply: func(c net.Conn, id string) { _, _ = io.WriteString(c, answer(id, "x")+answer(id, "y")) }, want: 2},
		{name: "a second answer later", reply: func(c net.Conn, id string) {
			_, _ = io.WriteString(c, answer(id, "x"))
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(c, answer(id, "y"))
		}, want: 2},
		{name: "closed after the answer", reply: func(c net.Conn, id string) {
			_, _ = io.WriteString(c, answer(id, "x"))
			_ = c.Close()
		}, want: 2},
		{name: "no time to keep it", reply: func(c net.Conn, id string) {
			_, _ = io.WriteString(c, strings.Replace(answer(id, "x"), "timeout=10", "timeout=0", 1))
		}, want: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			address := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
				for id := read(r); id != ""; id = read(r) {
					tt.reply(c, id)
				}
			})
			opened := 0
			client := Client{Opened: func() { opened++ }}
			defer client.Close()
			for _, id := range []string{"1", "2"} {
				q := request(id)
				q.Fresh = tt.fresh
				body, err := ask(&client, address, q)
				is.NoErr(err)
				is.Equal(body, "x")
				time.Sleep(50 * time.Millisecond)
			}
			is.Equal(opened, tt.want)
		})
	}
}

func TestAnswersOfOtherRequestsAreSkipped(t *testing.T) {
	is := is.New(t)
	address := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		id := read(r)
		_, _ = io.WriteString(c, answer("another", "not yours")+answer(id, "yours"))
	})
	var client Client
	body, err := ask(&client, address, request("1"))
	is.NoErr(err)
	is.Equal(body, "yours")
}

func TestAnswersThatEndEarlyAreErrors(t *testing.T) {
	tests := []struct{ name, text string }{
		{name: "nothing", text: ""},
		{name: "half a head", text: "HTTP/1.1 200 OK\r\nX-Id: 1"},
		{name: "no answer at all", text: "\x00\x01garbage\r\n\r\n"},
		{name: "short of its length", text: "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 10\r\n\r\nabc"},
		{name: "no last chunk", text: "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"},
		{name: "only other requests' answers", text: answer("2", "a") + answer("3", "b")},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			address := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
				read(r)
				_, _ = io.WriteString(c, tt.text)
			})
			var client Client
			_, err := ask(&client, address, request("1"))
			var broken *BrokenError
			is.True(errors.As(err, &broken))
		})
	}
}

func TestResetIsNoEndOfAnAnswerWithoutALength(t *testing.T) {
	tests := []struct {
		name  string
		reset bool
	}{{name: "closed"}, {name: "reset", reset: true}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			address := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
				read(r)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nabc")
				time.Sleep(30 * time.Millisecond)
				if tt.reset {
					_ = c.(*net.TCPConn).SetLinger(0)
				}
			})
			var client Client
			body, err := ask(&client, address, request("1"))
			is.Equal(body, "abc")
			is.Equal(err != nil, tt.reset)
		})
	}
}

func TestUnreachableIsToldFromBroken(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	is.NoErr(l.Close())
	var client Client
	_, err = ask(&client, address, request("1"))
	var unreachable *UnreachableError
	is.True(errors.As(err, &unreachable)) // nothing was sent
}

func TestHeadTimeoutAndCancellationEndTheConnection(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{}, 2)
	address := serve(t, func(_ int, _ net.Conn, r *bufio.Reader) {
		read(r)
		_, _ = r.ReadByte() // until the other end closes
		closed <- struct{}{}
	})
	var client Client
	q := request("1")
	q.HeadTimeout = 30 * time.Millisecond
	_, err := ask(&client, address, q)
	is.True(err != nil)
	<-closed
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	_, err = client.Do(ctx, address, request("2"))
	is.True(errors.Is(err, context.DeadlineExceeded))
	<-closed
}

// TestEarlyAnswerToALongBodyEndsTheConnection answers before the body is read:
// what follows on the connection would be taken for the rest of it.
func TestEarlyAnswerToALongBodyEndsTheConnection(t *testing.T) {
	is := is.New(t)
	address := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, err := r.ReadString('\n'); err != nil {
			return
		}
		_, _ = io.WriteString(c, answer("1", "early"))
		time.Sleep(100 * time.Millisecond)
	})
	opened := 0
	client := Client{Opened: func() { opened++ }}
	for range 2 {
		q := request("1")
		q.Body = make([]byte, 8<<20)
		body, err := ask(&client, address, q)
		is.NoErr(err)
		is.Equal(body, "early")
	}
	is.Equal(opened, 2)
}

func TestIdleTime(t *testing.T) {
	tests := []struct {
		field string
		want  time.Duration
	}{
		{field: "", want: defaultIdle},
		{field: "timeout=10", want: 10*time.Second - idleMargin},
		{field: "max=5, timeout=2", want: 2*time.Second - idleMargin},
		{field: "timeout=soon", want: defaultIdle},
		{field: "timeout=-3", want: defaultIdle},
	}
	for _, tt := range tests {
		t.Run(tt.field, func(t *testing.T) { is.New(t).Equal(idleTime(tt.field), tt.want) })
	}
}
