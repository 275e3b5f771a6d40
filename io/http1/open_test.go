package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// A countedConn counts the bytes before it writes them, as the response may arrive before the
// last write returns.
type countedConn struct {
	net.Conn
	n *atomic.Int64
}

// Write implements net.Conn.
func (c countedConn) Write(p []byte) (int, error) {
	c.n.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// TestOpenedConnectionCarriesOneRequest has requests open their connections themselves, while
// the client has an idle one.
func TestOpenedConnectionCarriesOneRequest(t *testing.T) {
	tests := []struct {
		name, method string
		body         int
	}{
		{name: "no body", method: http.MethodGet},
		{name: "empty body", method: http.MethodPost},
		{name: "body", method: http.MethodPost, body: 100},
		{name: "body that is written concurrently", method: http.MethodPost, body: 1 << 20},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			address := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
				for id := readRequestID(r); id != ""; id = readRequestID(r) {
					_, _ = io.WriteString(c, responseText(id, "x"))
				}
			})
			dialled := 0
			client := Client{OnOpen: func() { dialled++ }}
			defer client.Close()
			_, err := do(&client, address, newRequest("1"))
			is.NoErr(err)
			for range 2 {
				var stated int64
				var written atomic.Int64
				q := newRequest("2")
				q.Method, q.Body, q.NewConn = tt.method, make([]byte, tt.body), true
				q.Open = func(_ context.Context, address string, size int64) (net.Conn, error) {
					stated = size
					c, err := net.Dial("tcp", address)
					return countedConn{c, &written}, err
				}
				body, err := do(&client, address, q)
				is.NoErr(err)
				is.Equal(body, "x")
				is.True(stated > 0)
				is.Equal(stated, written.Load())
			}
			is.Equal(dialled, 1)
			is.Equal(len(client.idle[address]), 1) // that of the first request
		})
	}
}

func TestErrorOfOpenIsUnreachableError(t *testing.T) {
	is := is.New(t)
	cause := &net.AddrError{Err: "refused"}
	q := newRequest("1")
	q.Open = func(context.Context, string, int64) (net.Conn, error) { return nil, cause }
	var client Client
	_, err := do(&client, "10.0.0.1:80", q)
	var unreachable *UnreachableError
	is.True(errors.As(err, &unreachable))
	is.Equal(unreachable.Address, "10.0.0.1:80")
	var got *net.AddrError
	is.True(errors.As(err, &got))
	is.Equal(got, cause)
}

// TestOpenConnectionIsUsedBeforeAnotherIsOpened guards against detours of requests that an open
// connection can carry, while new direct ones are refused.
func TestOpenConnectionIsUsedBeforeAnotherIsOpened(t *testing.T) {
	is := is.New(t)
	address := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for id := readRequestID(r); id != ""; id = readRequestID(r) {
			_, _ = io.WriteString(c, responseText(id, "x"))
		}
	})
	var client Client
	defer client.Close()
	_, err := do(&client, address, newRequest("1"))
	is.NoErr(err)
	q := newRequest("2")
	q.Open = func(context.Context, string, int64) (net.Conn, error) { return nil, errors.New("not needed") }
	body, err := do(&client, address, q)
	is.NoErr(err)
	is.Equal(body, "x")
	is.Equal(len(client.idle[address]), 1) // it is kept
}
