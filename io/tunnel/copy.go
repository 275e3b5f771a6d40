package tunnel

import (
	"bufio"
	"context"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"banyanyard/io/tcp"

	"github.com/pkg/errors"
)

const (
	// copyBufferBytes is the size of the buffer of each direction of a tunnel.
	copyBufferBytes = 16 << 10
	// stallInterval is the time between two looks whether the asking instance is still there
	// while the upstream reads nothing.
	stallInterval = 5 * time.Millisecond
	// flushTimeout bounds the wait until the asking instance has received the last bytes
	// before a reset, which may be all that it waits for.
	flushTimeout = 20 * time.Millisecond
)

var buffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

var (
	errExpired  = errors.New("the time of the tunnel is over")
	errTooLong  = errors.New("the asking instance sent more than the stated size")
	errAskerEnd = errors.New("the asking instance closed its connection")
)

// An askerError reports the end or a failure of the connection of the asking instance.
type askerError struct{ cause error }

func (e *askerError) Error() string { return "asking instance: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *askerError) Unwrap() error { return e.cause }

// A tunnel copies bytes between the asking instance and an upstream.
type tunnel struct {
	request  Request
	asker    net.Conn
	reader   *bufio.Reader // of asker
	upstream net.Conn
	sent     int64         // bytes to upstream
	allSent  chan struct{} // closed once request.Size bytes have been sent
	received int64         // bytes to asker
}

// copy copies in both directions until either connection ends or ctx is done.
func (t *tunnel) copy(ctx context.Context) (Outcome, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	detach := context.AfterFunc(ctx, t.abort)
	sending := make(chan struct{})
	go func() {
		defer close(sending)
		cancel(t.send())
	}()
	err := t.receive(ctx)
	if err == nil && detach() {
		_ = tcp.ResetOnClose(t.asker, false)
		_ = t.asker.Close()
		_ = t.upstream.Close()
		<-sending
		return Ended, nil
	}
	cancel(err)
	t.abort()
	<-sending
	return outcomeOf(context.Cause(ctx))
}

// abort ends both connections, that of the asking instance with a reset. So does it that of the
// upstream if this has not received all that was sent: an orderly end would wait until it has.
func (t *tunnel) abort() {
	tcp.Reset(t.asker)
	if tcp.AwaitReceipt(t.upstream, t.request.Size, time.Now()) != nil {
		tcp.Reset(t.upstream)
		return
	}
	_ = t.upstream.Close()
}

func outcomeOf(err error) (Outcome, error) {
	var asker *askerError
	switch {
	case errors.Is(err, errExpired):
		return Expired, err
	case errors.Is(err, errStopping):
		return Stopped, err
	case errors.As(err, &asker):
		return Closed, err
	}
	return Broken, err
}

// send copies from the asking instance to the upstream. It returns only with an error; that of
// the end of the asking instance's connection is the usual one.
func (t *tunnel) send() error {
	buffer := buffers.Get().(*[copyBufferBytes]byte)
	defer buffers.Put(buffer)
	for {
		n, err := t.reader.Read(buffer[:])
		if int64(n) > t.request.Size-t.sent {
			return errTooLong
		}
		if n > 0 {
			if err := t.write(buffer[:n]); err != nil {
				return err
			}
			if t.sent == t.request.Size {
				close(t.allSent)
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return &askerError{errAskerEnd}
		case err != nil:
			return &askerError{err}
		}
	}
}

// write sends to the upstream. While the upstream does not read, it looks whether the asking
// instance has ended its connection, which reads would not tell before all bytes have been read.
func (t *tunnel) write(p []byte) error {
	for len(p) > 0 {
		if err := t.upstream.SetWriteDeadline(time.Now().Add(stallInterval)); err != nil {
			return err
		}
		n, err := t.upstream.Write(p)
		t.sent += int64(n)
		p = p[n:]
		switch {
		case err != nil && !errors.Is(err, os.ErrDeadlineExceeded):
			return errors.Wrap(err, "send to the upstream")
		case err != nil && tcp.HasEnded(t.asker):
			return &askerError{errAskerEnd}
		}
	}
	return nil
}

// receive copies from the upstream to the asking instance. It returns nil if the upstream has
// ended the connection after it received the whole request.
func (t *tunnel) receive(ctx context.Context) error {
	buffer := buffers.Get().(*[copyBufferBytes]byte)
	defer buffers.Put(buffer)
	for {
		n, err := t.upstream.Read(buffer[:])
		if n > 0 {
			written, err := t.asker.Write(buffer[:n])
			t.received += int64(written)
			if err != nil {
				return &askerError{err}
			}
		}
		if errors.Is(err, io.EOF) {
			err = t.confirmEnd(ctx)
			if err == nil {
				return nil
			}
		}
		if err != nil {
			_ = tcp.AwaitReceipt(t.asker, t.received, time.Now().Add(flushTimeout))
			return errors.Wrap(err, "receive from the upstream")
		}
	}
}

// confirmEnd waits until the upstream has received the whole request, and returns an error if it
// has not.
func (t *tunnel) confirmEnd(ctx context.Context) error {
	select {
	case <-t.allSent:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	deadline, _ := ctx.Deadline()
	return tcp.AwaitReceipt(t.upstream, t.request.Size, deadline)
}
