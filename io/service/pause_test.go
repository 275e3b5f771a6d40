package service

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestCallOutlastsPauseBeforeItIsRead guards against calls that are lost because a sound upstream
// reads nothing of their body for longer than the default of package tcp.
func TestCallOutlastsPauseBeforeItIsRead(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const pause = 1800 * time.Millisecond
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	go func() {
		c, err := l.AcceptTCP()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_ = c.SetReadBuffer(64 << 10)
		time.Sleep(pause)
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 4\r\n\r\ndone", requestIDHeader, r.Header.Get(requestIDHeader))
		}
	}()
	answer, err := New(nil).Do(t.Context(), Call{AttemptID: "1", Address: l.Addr().String(), Method: http.MethodPost, Path: "/", Body: make([]byte, 4<<20)})
	is.NoErr(err)
	is.Equal(string(answer.Body), "done")
}
