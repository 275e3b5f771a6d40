package tcp

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// A failingListener returns errors from Accept, and then that it is closed.
type failingListener struct {
	net.Listener
	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		return nil, net.ErrClosed
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	if err == nil {
		c, _ := net.Pipe()
		return c, nil
	}
	return nil, err
}

func acceptError(errno syscall.Errno) error {
	return &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)}
}

// TestPassingErrorsDoNotEndAcceptLoop guards against a process that ends because it was short
// of descriptors when a connection arrived.
func TestPassingErrorsDoNotEndAcceptLoop(t *testing.T) {
	broken := errors.New("broken")
	tests := []struct {
		name     string
		errs     []error
		accepted int
		failed   int
		want     error
	}{
		{name: "closed"},
		{name: "no descriptors", errs: []error{nil, acceptError(syscall.EMFILE), acceptError(syscall.ENFILE), nil}, accepted: 2, failed: 2},
		{name: "aborted", errs: []error{acceptError(syscall.ECONNABORTED), nil}, accepted: 1, failed: 1},
		{name: "another error", errs: []error{nil, broken, nil}, accepted: 1, want: broken},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				accepted, failed := 0, 0
				err := AcceptLoop(t.Context(), &failingListener{errs: tt.errs}, func(c net.Conn) {
					accepted++
					_ = c.Close()
				}, func(error) { failed++ })
				is.Equal(err, tt.want)
				is.Equal(accepted, tt.accepted)
				is.Equal(failed, tt.failed)
			})
		})
	}
}

// TestAcceptLoopEndsWithContext ends the context while nothing can be accepted.
func TestAcceptLoopEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		l := &failingListener{}
		for range 100 {
			l.errs = append(l.errs, acceptError(syscall.EMFILE))
		}
		failed := 0
		is.NoErr(AcceptLoop(ctx, l, func(net.Conn) {}, func(error) {
			failed++
			if failed == 3 {
				cancel()
			}
		}))
		is.Equal(failed, 3)
	})
}

// TestPassingErrorsDoNotEndDrain guards against a planned stop that no longer waits for
// connections in the kernel's queue, after an error of Accept that passes.
func TestPassingErrorsDoNotEndDrain(t *testing.T) {
	is := is.New(t)
	l := NewDrainingListener(&failingListener{errs: []error{acceptError(syscall.EMFILE)}})
	_, err := l.Accept()
	is.True(errors.Is(err, syscall.EMFILE))
	select {
	case <-l.drained:
		t.Error("the listener counts as drained")
	default:
	}
}
