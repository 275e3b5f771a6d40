package http1

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestWaitGoesOnUnlessGivenUp has an upstream pause before it reads, before the head and within a
// chunk, each time for longer than the wait is bounded.
func TestWaitGoesOnUnlessGivenUp(t *testing.T) {
	const (
		bound = 20 * time.Millisecond
		pause = 3 * giveUpInterval / 2
	)
	tests := []struct {
		name  string
		body  int
		tries int // after which the client gives up
		want  error
	}{
		{name: "waits on", body: 4, tries: 1000},
		{name: "waits on, long body", body: 8 << 20, tries: 1000},
		{name: "gives up", body: 4, tries: 1, want: os.ErrDeadlineExceeded},
		{name: "gives up at the second try", body: 4, tries: 2, want: os.ErrDeadlineExceeded},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			address := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
				time.Sleep(pause)
				id := readRequestID(r)
				time.Sleep(pause)
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nwh", id)
				time.Sleep(pause)
				_, _ = io.WriteString(c, "ol\r\n1\r\ne\r\n0\r\n\r\n")
			})
			var client Client
			asked := 0
			q := newRequest("1")
			q.Body, q.HeadTimeout, q.UserTimeout = make([]byte, tt.body), bound, 5*time.Second
			q.GiveUp = func() bool {
				asked++
				return asked >= tt.tries
			}
			response, err := client.Do(t.Context(), address, q)
			if tt.want != nil {
				is.True(errors.Is(err, tt.want))
				is.Equal(asked, tt.tries)
				return
			}
			is.NoErr(err)
			defer response.Close()
			is.NoErr(response.BoundWait(time.Now().Add(bound)))
			body, err := io.ReadAll(response)
			is.NoErr(err)
			is.Equal(string(body), "whole")
			is.True(asked > 2)
		})
	}
}

// TestArrivedDataIsNoSilence guards against a wait that is given up although the data has
// arrived: the process was held up beyond its bound.
func TestArrivedDataIsNoSilence(t *testing.T) {
	is := is.New(t)
	const held = 50 * time.Millisecond
	address := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		_, _ = io.WriteString(c, responseText(readRequestID(r), string(make([]byte, 4*readBufferBytes))))
	})
	var client Client
	asked := 0
	q := newRequest("1")
	q.GiveUp = func() bool {
		asked++
		return true
	}
	response, err := client.Do(t.Context(), address, q)
	is.NoErr(err)
	defer response.Close()
	is.NoErr(response.BoundWait(time.Now().Add(held / 2)))
	time.Sleep(held)
	body, err := io.ReadAll(response)
	is.NoErr(err)
	is.Equal(len(body), 4*readBufferBytes)
	is.Equal(asked, 0)
}
