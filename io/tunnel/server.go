package tunnel

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"banyanyard/io/tcp"

	"github.com/pkg/errors"
)

const (
	// DefaultMaxTunnels is the default of Server.MaxTunnels.
	DefaultMaxTunnels = 512
	// connsPerTunnel is the number of connections for each possible tunnel after which more
	// are closed at once.
	connsPerTunnel = 2
	// headTimeout bounds the time until the head of a request has arrived, and that of
	// writing an answer.
	headTimeout = time.Second
	// maxHeadBytes is the largest head of a request.
	maxHeadBytes = 8 << 10
	// askerUserTimeout is how long the asking instance may read nothing, because its caller
	// does not, or be lost while data is sent to it.
	askerUserTimeout = 15 * time.Second
)

// An Outcome is how a tunnel ended.
type Outcome string

// The outcomes.
const (
	Ended       Outcome = "ended"       // by the upstream, which had received everything
	Closed      Outcome = "closed"      // the connection of the asking instance ended or broke
	Broken      Outcome = "broken"      // the connection to the upstream broke or ended early, or too much was sent
	Expired     Outcome = "expired"     // no time was left
	Stopped     Outcome = "stopped"     // by Server.Close
	Refused     Outcome = "refused"     // not opened
	Unreachable Outcome = "unreachable" // the upstream could not be connected to
)

// An End describes how a tunnel ended.
type End struct {
	Outcome  Outcome
	Sent     int64 // bytes to the upstream
	Received int64 // bytes to the asking instance
	Duration time.Duration
	Err      error // nil if Outcome is Ended
}

// A Server opens connections to upstreams for other instances and copies bytes. It is safe for
// concurrent use once Serve has been called.
type Server struct {
	Dial tcp.DialFunc // to upstreams; nil means TCP
	// Authorize returns why a tunnel is refused, or nil. It must check that the address is that
	// of the upstream. A nil Authorize refuses all.
	Authorize  func(r Request) error
	MaxTunnels int // 0 means DefaultMaxTunnels
	// OnEnd, if not nil, is called after each tunnel or refusal.
	OnEnd func(r Request, e End)
	// OnAcceptError, if not nil, is called when a connection could not be accepted. The server
	// tries again.
	OnAcceptError func(error)

	extraWait time.Duration // beyond dialTimeout and headTimeout, for tests in real time

	mu       sync.Mutex
	conns    map[net.Conn]context.CancelCauseFunc // guarded by mu
	running  int                                  // guarded by mu; tunnels
	refusing bool                                 // guarded by mu
	closed   bool                                 // guarded by mu
	idle     chan struct{}                        // guarded by mu; closed when no tunnel runs; nil if nobody waits
}

var (
	errStopping = errors.New("the instance stops")
	errTooMany  = errors.New("the instance has too many tunnels")
	errNotAsked = errors.New("the instance opens no tunnels")
)

// Serve accepts connections until the listener is closed, and then returns nil. The connections
// must support tcp.ResetOnClose.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	return tcp.AcceptLoop(ctx, l, func(c net.Conn) {
		// Running tunnels go on when no more are accepted.
		tunnelCtx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
		if !s.track(c, cancel) {
			cancel(nil)
			tcp.Reset(c)
			return
		}
		go func() {
			defer cancel(nil)
			defer s.forget(c)
			s.serveConn(tunnelCtx, c)
		}()
	}, func(err error) {
		if s.OnAcceptError != nil {
			s.OnAcceptError(err)
		}
	})
}

// Running returns the number of tunnels.
func (s *Server) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

// Refuse makes the server refuse new tunnels. Running ones go on.
func (s *Server) Refuse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusing = true
}

// Wait waits until no tunnel runs. It returns the error of ctx if that ends before.
func (s *Server) Wait(ctx context.Context) error {
	s.mu.Lock()
	if s.running == 0 {
		s.mu.Unlock()
		return nil
	}
	if s.idle == nil {
		s.idle = make(chan struct{})
	}
	idle := s.idle
	s.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Close resets all connections. It does not close the listener.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusing, s.closed = true, true
	for c, cancel := range s.conns {
		cancel(errStopping)
		tcp.Reset(c)
	}
}

func (s *Server) maxTunnels() int {
	if s.MaxTunnels == 0 {
		return DefaultMaxTunnels
	}
	return s.MaxTunnels
}

// track adds a connection, and reports whether it may be served.
func (s *Server) track(c net.Conn, cancel context.CancelCauseFunc) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= connsPerTunnel*s.maxTunnels() {
		return false
	}
	if s.conns == nil {
		s.conns = map[net.Conn]context.CancelCauseFunc{}
	}
	s.conns[c] = cancel
	return true
}

func (s *Server) forget(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// admit counts a tunnel, or returns why it is refused.
func (s *Server) admit(r Request) (status int, err error) {
	if s.Authorize == nil {
		return http.StatusForbidden, errNotAsked
	}
	if err := s.Authorize(r); err != nil {
		return http.StatusForbidden, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.refusing:
		return http.StatusServiceUnavailable, errStopping
	case s.running >= s.maxTunnels():
		return http.StatusServiceUnavailable, errTooMany
	}
	s.running++
	return http.StatusOK, nil
}

func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	if s.running == 0 && s.idle != nil {
		close(s.idle)
		s.idle = nil
	}
}

// serveConn reads a request from a connection and carries it out.
func (s *Server) serveConn(ctx context.Context, c net.Conn) {
	defer func() { _ = c.Close() }()
	begin := time.Now()
	// From now on the end of this process does not look like that of the upstream's answer.
	if tcp.ResetOnClose(c, true) != nil || tcp.SetTimeouts(c, askerUserTimeout) != nil || c.SetDeadline(begin.Add(headTimeout+s.extraWait)) != nil {
		return
	}
	limited := &io.LimitedReader{R: c, N: maxHeadBytes}
	t := &tunnel{asker: c, reader: bufio.NewReaderSize(limited, headBufferBytes), allSent: make(chan struct{})}
	head, err := http.ReadRequest(t.reader)
	if err != nil {
		return // closed, or no instance
	}
	limited.N = math.MaxInt64
	t.request, err = parseRequest(head)
	if err != nil {
		t.refuse(http.StatusBadRequest, err)
		s.end(t, Refused, err, begin)
		return
	}
	if status, err := s.admit(t.request); err != nil {
		t.refuse(status, err)
		s.end(t, Refused, err, begin)
		return
	}
	defer s.release()
	outcome, err := s.carry(ctx, t)
	s.end(t, outcome, err, begin)
}

func (s *Server) end(t *tunnel, o Outcome, err error, begin time.Time) {
	if s.OnEnd != nil {
		s.OnEnd(t.request, End{Outcome: o, Sent: t.sent, Received: t.received, Duration: time.Since(begin), Err: err})
	}
}

// carry connects to the upstream and copies until the tunnel ends.
func (s *Server) carry(ctx context.Context, t *tunnel) (Outcome, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, t.request.TimeLeft, errExpired)
	defer cancel()
	upstream, err := s.connect(ctx, t.request)
	if err != nil {
		return t.refuseUnreachable(err), err
	}
	defer func() { _ = upstream.Close() }()
	t.upstream = upstream
	if err := t.answer(http.StatusOK, ""); err != nil {
		return Closed, err
	}
	if err := t.asker.SetDeadline(time.Time{}); err != nil {
		return Closed, err
	}
	return t.copy(ctx)
}

func (s *Server) connect(ctx context.Context, r Request) (net.Conn, error) {
	ctx, cancel := timeoutCause(ctx, dialTimeout+s.extraWait, "connect")
	defer cancel()
	c, err := tcp.DialOrDefault(s.Dial)(ctx, "tcp", r.Address)
	if err != nil {
		return nil, err
	}
	if err := tcp.SetUserTimeout(c, r.UserTimeout); err != nil {
		_ = c.Close()
		return nil, err
	}
	return c, nil
}

// refuseUnreachable answers that the upstream could not be connected to, or that the instance
// could not try.
func (t *tunnel) refuseUnreachable(err error) Outcome {
	var netErr net.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET):
		t.refuse(http.StatusBadGateway, err)
	case errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.EHOSTUNREACH) || errors.As(err, &netErr) && netErr.Timeout():
		t.refuse(http.StatusGatewayTimeout, err)
	default:
		t.refuse(http.StatusServiceUnavailable, err)
		return Refused
	}
	return Unreachable
}

// refuse answers with an error and ends the connection in an orderly way.
func (t *tunnel) refuse(status int, reason error) {
	if t.answer(status, reason.Error()) == nil {
		_ = tcp.ResetOnClose(t.asker, false)
	}
}

// answer sends the answer to a request, with the reason if it is a refusal.
func (t *tunnel) answer(status int, reason string) error {
	if err := t.asker.SetWriteDeadline(time.Now().Add(headTimeout)); err != nil {
		return err
	}
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n", status, http.StatusText(status), headerUpstream, t.request.Upstream)
	if status != http.StatusOK {
		head += fmt.Sprintf("Connection: close\r\nContent-Length: %d\r\n", len(reason))
	}
	_, err := io.WriteString(t.asker, head+"\r\n"+reason)
	return err
}
