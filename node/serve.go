package node

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"banyanyard/io/operator"
	"banyanyard/io/peer"
	"banyanyard/io/tcp"

	"github.com/pkg/errors"
)

// flushTimeout is the time limit for writing charges during a graceful stop.
const flushTimeout = 30 * time.Second

// Listeners are the listening sockets of an instance.
type Listeners struct {
	Callers   net.Listener
	Peers     net.Listener
	Operators net.Listener
}

func (l *Listeners) close() {
	for _, listener := range [...]net.Listener{l.Callers, l.Peers, l.Operators} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// Listen opens the sockets at the addresses in the settings. On an error it
// closes those already open.
func (n *Node) Listen() (Listeners, error) {
	var l Listeners
	sockets := []struct {
		key      string
		address  string
		listener *net.Listener
	}{
		{key: "listen.callers", address: n.settings.Listen.Callers, listener: &l.Callers},
		{key: "listen.peers", address: n.settings.Listen.Peers, listener: &l.Peers},
		{key: "listen.operators", address: n.settings.Listen.Operators, listener: &l.Operators},
	}
	for _, s := range sockets {
		opened, err := net.Listen("tcp", s.address)
		if err != nil {
			l.close()
			return Listeners{}, errors.Wrapf(err, "%s cannot be opened; is another process using it?", s.key)
		}
		*s.listener = opened
	}
	return l, nil
}

func (n *Node) logAcceptError(err error) { n.log.WithError(err).Warn("accept-failed") }

// Serve runs the instance until ctx is done, and then stops it gracefully: the
// instance reports that it is not ready, finishes its requests and writes its
// charges. It returns ErrAborted after Abort.
func (n *Node) Serve(ctx context.Context, l Listeners) error {
	callerTLS, err := n.callerTLS()
	if err != nil {
		return err
	}
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	peers := peer.NewServer(peerHandler{n}, &n.traffic)
	defer peers.Close()
	n.start(work)
	peers.OnAcceptError = n.logAcceptError
	rpc, handedOver := peer.SplitProtocols(work, withTLS(l.Peers, n.peerServerTLS), n.logAcceptError)
	servers := servers{
		callers:    n.newServer(n.handOver),
		handedOver: n.newServer(n.handler),
		operators:  n.newServer(operator.New(n)),
	}
	failed := make(chan error, 4)
	draining := tcp.NewDrainingListener(l.Callers)
	forCallers := tcp.Listener{Listener: draining, WriteBufferBytes: n.settings.Limits.SocketBufferBytes}
	go func() { failed <- serve(servers.callers, withTLS(forCallers, callerTLS)) }()
	go func() { failed <- serve(servers.handedOver, handedOver) }()
	go func() { failed <- serve(servers.operators, l.Operators) }()
	go func() { failed <- peers.Serve(work, rpc) }()
	defer l.close()
	defer servers.close()
	select {
	case err := <-failed:
		return err
	case <-n.aborted:
		return ErrAborted
	case <-ctx.Done():
	}
	return n.shutdown(servers, draining)
}

// ErrAborted is returned by Serve when the instance was ended by Abort.
var ErrAborted = errors.New("the instance was aborted; running requests may have been interrupted")

// Abort ends the instance at once, without waiting for its requests. It may be
// called more than once.
func (n *Node) Abort() { n.abortOnce.Do(func() { close(n.aborted) }) }

// servers are the HTTP servers of an instance.
type servers struct {
	callers    *http.Server
	handedOver *http.Server
	operators  *http.Server
}

func (s *servers) close() {
	for _, server := range [...]*http.Server{s.callers, s.handedOver, s.operators} {
		_ = server.Close()
	}
}

// withTLS adds TLS to a listener unless c is nil.
func withTLS(l net.Listener, c *tls.Config) net.Listener {
	if c == nil {
		return l
	}
	return tls.NewListener(l, c)
}

// start starts the background goroutines, which run until ctx is done.
func (n *Node) start(ctx context.Context) {
	c := newControl(ctx, n)
	c.publishMembers()
	go c.run()
	go n.runPoll(ctx)
	go n.charges.run(ctx)
}

func (n *Node) newServer(h http.Handler) *http.Server {
	t := &n.settings.Timeouts
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: time.Duration(t.ReadHeader),
		ReadTimeout:       time.Duration(t.Read),
		IdleTimeout:       time.Duration(t.Idle),
		MaxHeaderBytes:    n.settings.Limits.HeaderBytes,
	}
}

func serve(s *http.Server, l net.Listener) error {
	err := s.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// leavingBegun is the event that tells the other members that this instance takes
// no new requests.
type leavingBegun struct{}

func (leavingBegun) apply(c *control) { c.detector.MarkLeaving() }

// shutdown stops the instance gracefully. It returns early after Abort.
func (n *Node) shutdown(s servers, callers *tcp.DrainingListener) error {
	n.leaving.Store(true)
	n.send(context.Background(), leavingBegun{})
	n.log.Info("leaving")
	drained := make(chan error, 1)
	go func() { drained <- n.drain(s, callers) }()
	select {
	case err := <-drained:
		n.log.Info("left")
		return err
	case <-n.aborted:
		return ErrAborted
	}
}

// drainTime bounds the time in which connections that keep arriving are accepted
// once the instance has announced that it leaves.
const drainTime = time.Second

// drain waits until the load balancer sees that the instance is not ready, then
// for running requests and the writing of charges, and finally gives up the
// instance's shares.
func (n *Node) drain(s servers, callers *tcp.DrainingListener) error {
	time.Sleep(time.Duration(n.settings.Timeouts.Announce))
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(n.settings.Timeouts.Drain))
	defer cancel()
	callers.Drain(drainTime)
	err := s.callers.Shutdown(ctx)
	if handedOverErr := s.handedOver.Shutdown(ctx); err == nil {
		err = handedOverErr
	}
	n.background.Wait()
	n.flushCharges()
	n.leaveEpoch(context.Background())
	n.engines.Close()
	n.peers.Close()
	n.services.Close()
	return errors.Wrap(err, "requests were still running after timeouts.drain")
}

// flushCharges writes the remaining charges, retrying until flushTimeout. If the
// table can't be reached, the members that store replicas write them later.
func (n *Node) flushCharges() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	for !n.charges.flush(ctx, 0) && ctx.Err() == nil {
		sleepContext(ctx, time.Second)
	}
}
