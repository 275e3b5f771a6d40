package tcp

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A slowListener accepts connections as an instance does that is short of
// processor time.
type slowListener struct{ *net.TCPListener }

func (l slowListener) Accept() (net.Conn, error) {
	time.Sleep(2 * time.Millisecond)
	return l.TCPListener.Accept()
}

// Connections that the kernel has completed when the server shuts down are
// answered.
func TestShutdownAnswersQueuedConnections(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
	})}
	draining := NewDrainingListener(slowListener{l.(*net.TCPListener)})
	go func() { _ = server.Serve(draining) }()
	const count = 100
	var dialed, done sync.WaitGroup
	dialed.Add(count)
	errs := make(chan error, count)
	for range count {
		done.Go(func() {
			c, err := net.Dial("tcp", l.Addr().String())
			dialed.Done()
			if err == nil {
				err = getAnswer(c)
			}
			errs <- err
		})
	}
	dialed.Wait()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	draining.Drain(5 * time.Second)
	is.NoErr(server.Shutdown(ctx))
	done.Wait()
	for range count {
		is.NoErr(<-errs)
	}
	_, err = net.Dial("tcp", l.Addr().String())
	is.True(err != nil) // new connections are refused
}

// getAnswer sends a request and reads its whole response.
func getAnswer(c net.Conn) error {
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	_, err = io.ReadAll(response.Body)
	return err
}
