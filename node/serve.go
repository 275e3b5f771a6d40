package node

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"banyanyard/io/operator"

	"github.com/pkg/errors"
)

// flushTimeout bounds the writing of charges at a planned stop.
const flushTimeout = 30 * time.Second

// Listeners are the sockets of an instance.
type Listeners struct {
	Callers   net.Listener
	Operators net.Listener
}

// Listen opens the sockets that the settings name.
func (n *Node) Listen() (Listeners, error) {
	callers, err := net.Listen("tcp", n.settings.Listen.Callers)
	if err != nil {
		return Listeners{}, errors.Wrap(err, "listen.callers cannot be opened")
	}
	operators, err := net.Listen("tcp", n.settings.Listen.Operators)
	if err != nil {
		_ = callers.Close()
		return Listeners{}, errors.Wrap(err, "listen.operators cannot be opened")
	}
	return Listeners{Callers: callers, Operators: operators}, nil
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
	n.start(work)
	callers := n.newServer(n.handler)
	operators := n.newServer(operator.New(n))
	failed := make(chan error, 2)
	go func() { failed <- serve(callers, l.Callers, callerTLS) }()
	go func() { failed <- serve(operators, l.Operators, nil) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	return n.shutdown(callers, operators)
}

// start runs the goroutines that requests depend on until the context ends.
func (n *Node) start(ctx context.Context) {
	c := &control{node: n}
	go c.run(ctx)
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

// shutdown stops the instance without cutting a request.
func (n *Node) shutdown(callers, operators *http.Server) error {
	n.leaving.Store(true)
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
	n.engines.Close()
	n.services.Close()
	_ = operators.Close()
	n.log.Info("left")
	return errors.Wrap(err, "requests were still running after timeouts.drain")
}
