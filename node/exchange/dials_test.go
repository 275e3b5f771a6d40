package exchange

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// dialError returns the error of a connection that could not be opened.
func dialError(cause error) error {
	var number syscall.Errno
	if errors.As(cause, &number) {
		cause = os.NewSyscallError("connect", cause)
	}
	return &net.OpError{Op: "dial", Net: "tcp", Err: cause}
}

// loseTestPaths makes the router detour connections to addresses, through instance a.
func loseTestPaths(r *Router, addresses ...string) {
	for _, address := range addresses {
		r.RecordDial(address, dialError(syscall.ECONNREFUSED), 0)
		r.RecordDial(address, dialError(syscall.ECONNREFUSED), 0)
	}
	answerReached(r, "a", addresses...)
}

// TestRecordDial checks which connections that cannot be opened are signs against their paths.
func TestRecordDial(t *testing.T) {
	const address = "0"
	tests := []struct {
		name   string
		err    error
		took   time.Duration
		counts bool
		silent bool // open connections are probably dead, too
	}{
		{name: "opened"},
		{name: "refused", err: syscall.ECONNREFUSED, counts: true},
		{name: "reset", err: syscall.ECONNRESET, counts: true},
		{name: "no route", err: syscall.EHOSTUNREACH, counts: true},
		{name: "deadline", err: context.DeadlineExceeded, took: minDialTime, counts: true, silent: true},
		{name: "deadline of the connection", err: os.ErrDeadlineExceeded, took: minDialTime, counts: true, silent: true},
		{name: "timeout of the system", err: syscall.ETIMEDOUT, took: minDialTime, counts: true, silent: true},
		{name: "deadline of a caller in a hurry", err: context.DeadlineExceeded, took: minDialTime - 1},
		{name: "deadline of the connection, in a hurry", err: os.ErrDeadlineExceeded, took: minDialTime - 1},
		{name: "caller has left", err: context.Canceled, took: time.Minute},
		{name: "too many files", err: syscall.EMFILE},
		{name: "too many files in the system", err: syscall.ENFILE},
		{name: "no local port", err: syscall.EADDRNOTAVAIL},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := newTestRouter(2)
				defer r.Log.Close()
				addPeers(r, "a")
				select {
				case <-r.detours.wake: // there are new peers
				default:
				}
				if tt.err != nil {
					tt.err = dialError(tt.err)
				}
				for range 2 { // one may be chance
					r.RecordDial(address, tt.err, tt.took)
				}
				is.Equal(len(r.detours.wake) == 1, tt.counts)
				r.detours.mu.Lock()
				q, asked := r.detours.table.Ask(time.Now(), r.detours.random, 1)
				r.detours.mu.Unlock()
				is.Equal(q != nil, tt.counts)
				is.Equal(len(asked) == 1, tt.counts)
				answerReached(r, "a", address)
				d := r.detourTo(address)
				is.Equal(d != nil, tt.counts)
				if d != nil {
					is.Equal(d.Peer.ID, "a")
					is.Equal(d.Silent, tt.silent)
				}
				r.RecordDial(address, nil, 0)
				is.True(r.detourTo(address) == nil) // direct again
			})
		})
	}
}
