package service

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

	"github.com/matryer/is"
)

// startService listens on a local port, calls f for each connection, and returns
// the address.
func startService(t *testing.T, f func(c net.Conn, r *bufio.Reader)) string {
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
				f(c, bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().String()
}

// readCall reads a request and returns its ID, or "" if there is none.
func readCall(r *bufio.Reader) string {
	q, err := http.ReadRequest(r)
	if err != nil {
		return ""
	}
	_, _ = io.Copy(io.Discard, q.Body)
	return q.Header.Get(requestIDHeader)
}

// respond writes a response with the ID as its body, and as a header field if
// echo is set.
func respond(c net.Conn, id string, echo bool) {
	field := ""
	if echo {
		field = requestIDHeader + ": " + id + "\r\n"
	}
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+field+"Content-Length: "+strconv.Itoa(len(id))+"\r\n\r\n"+id)
}

func newCall(id, address string, idempotent bool) Call {
	return Call{AttemptID: id, Upstream: "desk", Address: address, Method: http.MethodPost, Path: "/holds", Body: []byte("bed"), Idempotent: idempotent}
}

// A second copy of a response is sent when the next call has arrived. Each caller
// must get the response to its own call, or an error.
func TestLateCopyReachesNoOtherCaller(t *testing.T) {
	tests := []struct {
		name string
		echo bool
		when func(c net.Conn, r *bufio.Reader) string // waits, and returns the ID of the next call if it has read it
	}{
		{name: "idle connection", when: func(net.Conn, *bufio.Reader) string { return "" }},
		{name: "idle connection, IDs echoed", echo: true, when: func(net.Conn, *bufio.Reader) string { return "" }},
		{name: "next call sent", when: func(_ net.Conn, r *bufio.Reader) string { return readCall(r) }},
		{name: "next call sent, IDs echoed", echo: true, when: func(_ net.Conn, r *bufio.Reader) string { return readCall(r) }},
	}
	for _, tt := range tests {
		for _, idempotent := range []bool{true, false} {
			t.Run(tt.name+", idempotent "+strconv.FormatBool(idempotent), func(t *testing.T) {
				is := is.New(t)
				address := startService(t, func(c net.Conn, r *bufio.Reader) {
					for id := readCall(r); id != ""; {
						respond(c, id, tt.echo)
						next := tt.when(c, r)
						respond(c, id, tt.echo) // the second copy
						if next == "" {
							next = readCall(r)
						}
						id = next
					}
				})
				client := New(nil)
				defer client.Close()
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				for i := range 4 {
					id := strconv.Itoa(i)
					answer, err := client.Do(ctx, newCall(id, address, idempotent))
					if err == nil {
						is.Equal(string(answer.Body), id)
					}
					time.Sleep(10 * time.Millisecond)
				}
			})
		}
	}
}

// Idle connections to services that echo the ID are used again by idempotent
// calls; calls that are not idempotent, and all to other services, get new ones.
func TestConnectionReuse(t *testing.T) {
	tests := []struct {
		name             string
		echo, idempotent bool
		want             int // connections for three calls
	}{
		{name: "ID echoed", echo: true, idempotent: true, want: 1},
		{name: "ID not echoed", idempotent: true, want: 3},
		{name: "not idempotent", echo: true, want: 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			opened := make(chan struct{}, 10)
			address := startService(t, func(c net.Conn, r *bufio.Reader) {
				opened <- struct{}{}
				for id := readCall(r); id != ""; id = readCall(r) {
					respond(c, id, tt.echo)
				}
			})
			client := New(nil)
			defer client.Close()
			for i := range 3 {
				id := strconv.Itoa(i)
				answer, err := client.Do(t.Context(), newCall(id, address, tt.idempotent))
				is.NoErr(err)
				is.Equal(string(answer.Body), id)
			}
			is.Equal(len(opened), tt.want)
		})
	}
}

// Bytes without end end the call, whose outcome is unknown.
func TestEndlessResponseIsRejected(t *testing.T) {
	part := strings.Repeat("a", 4096)
	tests := []struct {
		name, first, part string
	}{
		{name: "header line", first: "HTTP/1.1 200 OK\r\nX-A: ", part: part},
		{name: "header lines", first: "HTTP/1.1 200 OK\r\n", part: "X-A: " + part + "\r\n"},
		{name: "body without length", first: "HTTP/1.1 200 OK\r\n\r\n", part: part},
		{name: "chunks", first: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", part: "1000\r\n" + part + "\r\n"},
		{name: "refusal", first: "HTTP/1.1 503 Service Unavailable\r\n\r\n", part: part},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			closed := make(chan struct{})
			address := startService(t, func(c net.Conn, r *bufio.Reader) {
				defer close(closed)
				readCall(r)
				_, err := io.WriteString(c, tt.first)
				for err == nil {
					_, err = io.WriteString(c, tt.part)
				}
			})
			client := New(nil)
			defer client.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			begin := time.Now()
			_, err := client.Do(ctx, newCall("1", address, true))
			var unknown *OutcomeUnknownError
			is.True(errors.As(err, &unknown))
			is.True(time.Since(begin) < 2*time.Second)
			select {
			case <-closed:
			case <-time.After(2 * time.Second):
				t.Fatal("the connection is still open")
			}
		})
	}
}
