package node

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"banyanyard/io/operator"
	"banyanyard/io/peer"

	"github.com/pkg/errors"
)

// flushTimeout bounds the writing of charges at a planned stop.
const flushTimeout = 30 * time.Second

// Listeners are the sockets of an instance.
type Listeners struct {
	Callers   net.Listener
	Peers     net.Listener
	Operators net.Listener
}

func (l *Listeners) close() {
	for _, one := range [...]net.Listener{l.Callers, l.Peers, l.Operators} {
		if one != nil {
			_ = one.Close()
		}
	}
}

// Listen opens the sockets that the settings name.
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

// Serve runs the instance until the context ends, and then stops it gracefully:
// it ceases to be ready, finishes every request, and writes its charges.
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
	callers := n.newServer(n.handler)
	operators := n.newServer(operator.New(n))
	failed := make(chan error, 3)
	go func() { failed <- serve(callers, l.Callers, callerTLS) }()
	go func() { failed <- serve(operators, l.Operators, nil) }()
	go func() { failed <- peers.Serve(work, l.Peers) }()
	defer l.close()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	return n.shutdown(callers, operators)
}

// start runs the goroutines that requests depend on until the context ends.
func (n *Node) start(ctx context.Context) {
	c := newControl(ctx, n)
	n.members.Store(newMembers(c.detector.Self(), nil, c.shares.Epoch()))
	go c.run()
	go n.poll(ctx)
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

func serve(s *http.Server, l net.Listener, c *tls.Config) error {
	if c != nil {
		l = tls.NewListener(l, c)
	}
	err := s.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// leavingBegun tells the other members that this instance takes no new work.
type leavingBegun struct{}

func (leavingBegun) apply(c *control) { c.detector.Leave() }

// shutdown stops the instance without cutting a request.
func (n *Node) shutdown(callers, operators *http.Server) error {
	n.leaving.Store(true)
	n.send(context.Background(), leavingBegun{})
	n.log.Info("leaving")
	time.Sleep(time.Duration(n.settings.Timeouts.Announce))
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(n.settings.Timeouts.Drain))
	defer cancel()
	err := callers.Shutdown(ctx)
	n.background.Wait()
	flushCtx, cancelFlush := context.WithTimeout(context.Background(), flushTimeout)
	defer cancelFlush()
	for !n.charges.flush(flushCtx) && flushCtx.Err() == nil {
		pause(flushCtx, time.Second)
	}
	n.leaveEpoch(context.Background())
	n.engines.Close()
	n.peers.Close()
	n.services.Close()
	_ = operators.Close()
	n.log.Info("left")
	return errors.Wrap(err, "requests were still running after timeouts.drain")
}
