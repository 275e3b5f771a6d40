package tunnel

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"banyanyard/fake/network"
	"banyanyard/io/tcp"

	"github.com/matryer/is"
)

// noticeTime is how soon an upstream notices the end of the asking instance, on a busy machine.
const noticeTime = 250 * time.Millisecond

// writeUntilStalled writes until nothing is read at the other end, and returns how many bytes.
func writeUntilStalled(c net.Conn) (written int64) {
	block := make([]byte, 64<<10)
	for {
		_ = c.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
		n, err := c.Write(block)
		written += int64(n)
		if err != nil {
			return written
		}
	}
}

// TestUpstreamNoticesEndOfAskingInstance ends the connection of the asking instance.
func TestUpstreamNoticesEndOfAskingInstance(t *testing.T) {
	reset := func(c *conn) { _ = c.Close() }
	orderly := func(c *conn) {
		_ = tcp.ResetOnClose(c.Conn, false)
		_ = c.Conn.Close()
	}
	idle := func(net.Conn) int64 { return 0 }
	tests := []struct {
		name            string
		asker, upstream func(c net.Conn) int64 // what they do before, in this order
		end             func(c *conn)
	}{
		{name: "reset", asker: idle, upstream: idle, end: reset},
		{name: "orderly end", asker: idle, upstream: idle, end: orderly},
		{name: "reset while the upstream reads nothing", asker: writeUntilStalled, upstream: idle, end: reset},
		{name: "reset while the asking instance reads nothing", asker: idle, upstream: writeUntilStalled, end: reset},
		{name: "orderly end while the asking instance reads nothing", asker: idle, upstream: writeUntilStalled, end: orderly},
		{name: "reset while neither reads", asker: writeUntilStalled, upstream: writeUntilStalled, end: reset},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := startServer(t)
			proceed, written, noticed := make(chan struct{}), make(chan int64), make(chan time.Time)
			address := startUpstream(t, func(c *net.TCPConn, _ *bufio.Reader) {
				<-proceed
				written <- tt.upstream(c)
				for !tcp.HasEnded(c) {
					time.Sleep(time.Millisecond)
				}
				noticed <- time.Now()
			})
			c, err := open(t.Context(), s.address, newRequest(address, 1<<40))
			is.NoErr(err)
			tt.asker(c)
			close(proceed)
			t.Logf("%d bytes of the upstream were taken", <-written)
			end := time.Now()
			tt.end(c.(*conn))
			took := (<-noticed).Sub(end)
			t.Log(took)
			is.True(took < noticeTime)
			is.Equal((<-s.ends).Outcome, Closed)
		})
	}
}

// TestUpstreamThatReadsNothing guards against a tunnel that waits for it without an end.
func TestUpstreamThatReadsNothing(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := startServer(t)
	done := make(chan struct{})
	defer close(done)
	r := newRequest(startUpstream(t, func(*net.TCPConn, *bufio.Reader) { <-done }), 1<<40)
	r.UserTimeout = 300 * time.Millisecond
	c, err := open(t.Context(), s.address, r)
	is.NoErr(err)
	_, err = io.Copy(c, neverEnding{})
	is.True(err != nil)
	end := <-s.ends
	t.Log(end)
	is.True(end.Duration < 5*time.Second)
}

type neverEnding struct{}

// Read implements io.Reader.
func (neverEnding) Read(p []byte) (int, error) { return len(p), nil }

// TestAskingInstanceThatPauses guards against an answer that is lost, or piles up, because a
// caller reads nothing for longer than the default of package tcp.
func TestAskingInstanceThatPauses(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const size = 64 << 20
	s := startServer(t)
	var sent atomic.Bool
	address := startUpstream(t, func(c *net.TCPConn, r *bufio.Reader) {
		_, _ = r.ReadByte()
		_, _ = c.Write(make([]byte, size))
		sent.Store(true)
	})
	c, err := open(t.Context(), s.address, newRequest(address, 1))
	is.NoErr(err)
	_, err = c.Write([]byte("x"))
	is.NoErr(err)
	time.Sleep(pause)
	is.True(!sent.Load())
	n, err := io.Copy(io.Discard, c)
	is.NoErr(err)
	is.Equal(n, int64(size))
	is.Equal((<-s.ends).Outcome, Ended)
}

func TestMoreThanTheStatedSizeIsReset(t *testing.T) {
	is := is.New(t)
	s := startServer(t)
	received := make(chan string, 1)
	address := startUpstream(t, func(_ *net.TCPConn, r *bufio.Reader) {
		text, _ := io.ReadAll(r)
		received <- string(text)
	})
	c, err := open(t.Context(), s.address, newRequest(address, 4))
	is.NoErr(err)
	_, err = io.WriteString(c, "12345")
	is.NoErr(err)
	_, err = c.Read(make([]byte, 1))
	is.True(errors.Is(err, syscall.ECONNRESET))
	is.True(len(<-received) <= 4)
	end := <-s.ends
	is.Equal(end.Outcome, Broken)
	is.True(errors.Is(end.Err, errTooLong))
}

func TestPlannedStop(t *testing.T) {
	is := is.New(t)
	s := startServer(t)
	address := startUpstream(t, func(c *net.TCPConn, r *bufio.Reader) {
		_, _ = r.ReadByte()
		_, _ = io.WriteString(c, "answer")
	})
	c, err := open(t.Context(), s.address, newRequest(address, 1))
	is.NoErr(err)
	s.Refuse()
	_, err = open(t.Context(), s.address, newRequest(address, 1))
	var refused *RefusedError
	is.True(errors.As(err, &refused))
	is.Equal((<-s.ends).Outcome, Refused)
	is.Equal(s.Running(), 1)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	is.True(errors.Is(s.Wait(ctx), context.DeadlineExceeded))
	_, err = c.Write([]byte("x"))
	is.NoErr(err)
	text, err := io.ReadAll(c)
	is.NoErr(err)
	is.Equal(string(text), "answer")
	is.NoErr(s.Wait(t.Context()))
	is.Equal(s.Running(), 0)
}

// serverEnvironment makes the test binary an instance, see TestMain.
const serverEnvironment = "BANYANYARD_TEST_TUNNEL_SERVER"

func TestMain(m *testing.M) {
	if os.Getenv(serverEnvironment) == "" {
		os.Exit(m.Run())
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		os.Exit(1)
	}
	_, _ = os.Stdout.WriteString(l.Addr().String() + "\n")
	s := Server{Authorize: func(Request) error { return nil }}
	_ = s.Serve(context.Background(), l)
}

// TestEndOfProcessIsNoEndOfAnswer kills the process of the instance while an answer without a
// length passes through it.
func TestEndOfProcessIsNoEndOfAnswer(t *testing.T) {
	is := is.New(t)
	instance := exec.Command(os.Args[0])
	instance.Env = append(os.Environ(), serverEnvironment+"=1")
	out, err := instance.StdoutPipe()
	is.NoErr(err)
	is.NoErr(instance.Start())
	defer func() { _ = instance.Wait() }()
	instanceAddress, err := bufio.NewReader(out).ReadString('\n')
	is.NoErr(err)
	address := startUpstream(t, func(c *net.TCPConn, r *bufio.Reader) {
		readRequest(r)
		_, _ = io.WriteString(c, partialAnswer)
		time.Sleep(50 * time.Millisecond)
		_ = instance.Process.Kill()
		_, _ = r.ReadByte()
	})
	got, err := post(t, strings.TrimSpace(instanceAddress), address, 1<<10)
	is.Equal(got, "part")
	is.True(errors.Is(err, syscall.ECONNRESET))
}

const (
	instanceAddress = "10.0.0.1:7000"
	upstreamAddress = "10.0.1.1:80"
)

// A memoryTest has a tunnel's asking instance, instance and upstream on a network in memory, in
// locations of these names.
type memoryTest struct {
	*testServer
	network  network.Network
	accepted chan net.Conn // by the upstream
}

func startInMemory(t *testing.T) *memoryTest {
	m := &memoryTest{testServer: &testServer{ends: make(chan End, 16)}, accepted: make(chan net.Conn, 1)}
	l, err := m.network.Listen(instanceAddress, "instance")
	if err != nil {
		t.Fatal(err)
	}
	u, err := m.network.Listen(upstreamAddress, "upstream")
	if err != nil {
		t.Fatal(err)
	}
	m.Authorize = func(Request) error { return nil }
	m.OnEnd = func(_ Request, e End) { m.ends <- e }
	m.Dial = m.network.DialerAt("instance").DialContext
	go func() { _ = m.Serve(t.Context(), l) }()
	go func() {
		for {
			c, err := u.Accept()
			if err != nil {
				return
			}
			m.accepted <- c
		}
	}()
	t.Cleanup(func() {
		_, _ = l.Close(), u.Close()
		m.Close()
	})
	return m
}

func (m *memoryTest) open(ctx context.Context, r Request) (net.Conn, error) {
	c := Client{Dial: m.network.DialerAt("asker").DialContext}
	return c.Open(ctx, instanceAddress, r)
}

// TestSilentEnds has connections lose all bytes, and end without a word.
func TestSilentEnds(t *testing.T) {
	const timeLeft = 3 * time.Second
	tests := []struct {
		name    string
		end     func(m *memoryTest)
		took    time.Duration
		outcome Outcome
		askerOK bool // whether the asking instance can learn of it
	}{
		{name: "connection to the upstream is lost", end: func(m *memoryTest) { m.network.BlackholeConns(upstreamAddress) }, took: timeLeft, outcome: Expired, askerOK: true},
		{name: "connection to the instance is lost", end: func(m *memoryTest) { m.network.BlackholeConns(instanceAddress) }, took: timeLeft, outcome: Expired},
		{name: "upstream is reset", end: func(m *memoryTest) { m.network.ResetConns(upstreamAddress) }, outcome: Broken, askerOK: true},
		{name: "upstream ends before it has the request", end: func(m *memoryTest) { _ = (<-m.accepted).Close() }, took: timeLeft, outcome: Expired, askerOK: true},
		{name: "server is closed", end: func(m *memoryTest) { m.Close() }, outcome: Stopped, askerOK: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				m := startInMemory(t)
				r := newRequest(upstreamAddress, 2)
				r.TimeLeft = timeLeft
				c, err := m.open(t.Context(), r)
				is.NoErr(err)
				_, err = c.Write([]byte("x"))
				is.NoErr(err)
				synctest.Wait()
				begin := time.Now()
				tt.end(m)
				if tt.askerOK {
					_, err = c.Read(make([]byte, 1))
					is.True(errors.Is(err, syscall.ECONNRESET))
				}
				end := <-m.ends
				is.Equal(end.Outcome, tt.outcome)
				is.Equal(end.Sent, int64(1))
				is.Equal(time.Since(begin), tt.took)
			})
		})
	}
}

// answerWith makes the instance send a text in answer to a request, and wait.
func answerWith(text string) func(*memoryTest) {
	return func(m *memoryTest) {
		m.network.CloseListener(instanceAddress)
		l, _ := m.network.Listen(instanceAddress, "instance")
		go func() {
			c, err := l.Accept()
			_ = l.Close()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 4<<10))
			_, _ = io.WriteString(c, text)
			_, _ = c.Read(make([]byte, 1))
		}()
	}
}

func TestOpenFails(t *testing.T) {
	const echo = headerUpstream + ": u1\r\n"
	tests := []struct {
		name     string
		setUp    func(m *memoryTest)
		upstream bool  // whether it is an UpstreamError
		cause    error // nil means any
		took     time.Duration
		outcome  Outcome // empty means that no server saw the request
	}{
		{name: "upstream refuses", setUp: func(m *memoryTest) { m.network.CloseListener(upstreamAddress) }, upstream: true, cause: syscall.ECONNREFUSED, outcome: Unreachable},
		{name: "upstream does not answer", setUp: func(m *memoryTest) { m.network.Partition("instance", "upstream") }, upstream: true, cause: os.ErrDeadlineExceeded, took: dialTimeout, outcome: Unreachable},
		{name: "instance has no descriptors", setUp: func(m *memoryTest) {
			m.Dial = func(context.Context, string, string) (net.Conn, error) { return nil, syscall.EMFILE }
		}, outcome: Refused},
		{name: "not authorized", setUp: func(m *memoryTest) { m.Authorize = func(Request) error { return errors.New("unknown\r\nupstream") } }, outcome: Refused},
		{name: "nothing authorized", setUp: func(m *memoryTest) { m.Authorize = nil }, outcome: Refused},
		{name: "no tunnels left", setUp: func(m *memoryTest) { m.MaxTunnels, m.running = 1, 1 }, outcome: Refused},
		{name: "stopping", setUp: func(m *memoryTest) { m.Refuse() }, outcome: Refused},
		{name: "closed", setUp: func(m *memoryTest) { m.Server.Close() }},
		{name: "no instance", setUp: func(m *memoryTest) { m.network.CloseListener(instanceAddress) }, cause: syscall.ECONNREFUSED},
		{name: "no path to the instance", setUp: func(m *memoryTest) { m.network.Partition("asker", "instance") }, cause: context.DeadlineExceeded, took: connectTimeout},
		{name: "no answer", setUp: answerWith(""), cause: context.DeadlineExceeded, took: answerTimeout},
		{name: "part of an answer", setUp: answerWith("HTTP/1.1 200 OK\r\n" + echo), cause: context.DeadlineExceeded, took: answerTimeout},
		{name: "status 000", setUp: answerWith("HTTP/1.1 000 OK\r\n" + echo + "\r\n")},
		{name: "status 600", setUp: answerWith("HTTP/1.1 600 OK\r\n" + echo + "\r\n")},
		{name: "status 099", setUp: answerWith("HTTP/1.1 099 OK\r\n" + echo + "\r\n")},
		{name: "status of two digits", setUp: answerWith("HTTP/1.1 99 OK\r\n" + echo + "\r\n")},
		{name: "status 999", setUp: answerWith("HTTP/1.1 999 OK\r\n" + echo + "\r\n")},
		{name: "status 000 before another answer", setUp: answerWith("HTTP/1.1 000 OK\r\n\r\nHTTP/1.1 200 OK\r\n" + echo + "\r\n")},
		{name: "status 204", setUp: answerWith("HTTP/1.1 204 No Content\r\n" + echo + "\r\n")},
		{name: "switched protocols", setUp: answerWith("HTTP/1.1 101 Switching Protocols\r\n" + echo + "\r\n")},
		{name: "informational with an answer as its body", setUp: answerWith("HTTP/1.1 103 Early Hints\r\nContent-Length: 44\r\n\r\nHTTP/1.1 200 OK\r\n" + echo + "\r\n")},
		{name: "blank in a name", setUp: answerWith("HTTP/1.1 200 OK\r\nX Field: a\r\n" + echo + "\r\n")},
		{name: "blank before the colon", setUp: answerWith("HTTP/1.1 200 OK\r\nX-Field : a\r\n" + echo + "\r\n")},
		{name: "blank before the colon of Transfer-Encoding", setUp: answerWith("HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n" + echo + "\r\n0\r\n\r\n")},
		{name: "control byte in a name", setUp: answerWith("HTTP/1.1 200 OK\r\nX\x01Field: a\r\n" + echo + "\r\n")},
		{name: "another protocol", setUp: answerWith("HTTP/2.0 200 OK\r\n" + echo + "\r\n")},
		{name: "bytes before the head", setUp: answerWith("\r\nHTTP/1.1 200 OK\r\n" + echo + "\r\n")},
		{name: "chunks", setUp: answerWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + echo + "\r\n0\r\n\r\n")},
		{name: "no HTTP", setUp: answerWith("garbage\r\n\r\n")},
		{name: "endless head", setUp: answerWith("HTTP/1.1 200 OK\r\n" + strings.Repeat("X-A: a\r\n", 10_000))},
		{name: "no echo", setUp: answerWith("HTTP/1.1 200 OK\r\n\r\n")},
		{name: "another upstream", setUp: answerWith("HTTP/1.1 502 Bad\r\n" + headerUpstream + ": u2\r\nContent-Length: 0\r\n\r\n")},
		{name: "body", setUp: answerWith("HTTP/1.1 200 OK\r\n" + echo + "Content-Length: 1\r\n\r\nx")},
		{name: "endless reason", setUp: answerWith("HTTP/1.1 403 No\r\n" + echo + "\r\n" + strings.Repeat("x", 50_000))},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				m := startInMemory(t)
				tt.setUp(m)
				begin := time.Now()
				_, err := m.open(t.Context(), newRequest(upstreamAddress, 1))
				t.Log(err)
				var refused *RefusedError
				var upstream *UpstreamError
				is.Equal(errors.As(err, &upstream), tt.upstream)
				is.Equal(errors.As(err, &refused), !tt.upstream)
				is.True(tt.cause == nil || errors.Is(err, tt.cause))
				is.Equal(time.Since(begin), tt.took)
				if tt.outcome != "" {
					is.Equal((<-m.ends).Outcome, tt.outcome)
				}
				synctest.Wait()
				is.Equal(len(m.ends), 0)
				is.Equal(len(m.conns), 0)
			})
		})
	}
}

func TestOpenEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := startInMemory(t)
		answerWith("")(m)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		begin := time.Now()
		_, err := m.open(ctx, newRequest(upstreamAddress, 1))
		var refused *RefusedError
		is.True(errors.As(err, &refused))
		is.True(errors.Is(err, context.DeadlineExceeded))
		is.Equal(time.Since(begin), 10*time.Millisecond)
	})
}

func TestInvalidRequestsAreRefused(t *testing.T) {
	tests := []struct {
		name   string
		change func(r *Request)
	}{
		{name: "no instance", change: func(r *Request) { r.From = "" }},
		{name: "no upstream", change: func(r *Request) { r.Upstream = "" }},
		{name: "no size", change: func(r *Request) { r.Size = 0 }},
		{name: "no time left", change: func(r *Request) { r.TimeLeft = 0 }},
		{name: "much time left", change: func(r *Request) { r.TimeLeft = 1 << 62 }},
		{name: "long user timeout", change: func(r *Request) { r.UserTimeout = 25 * time.Hour }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := startServer(t)
			r := newRequest("127.0.0.1:1", 1)
			tt.change(&r)
			_, err := open(t.Context(), s.address, r)
			var refused *RefusedError
			is.True(errors.As(err, &refused))
			is.Equal((<-s.ends).Outcome, Refused)
		})
	}
}
