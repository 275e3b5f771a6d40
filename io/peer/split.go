package peer

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"
)

// firstByteTimeout bounds the wait for what tells the protocols apart.
const firstByteTimeout = 5 * time.Second

// rpcFirstByte begins the header of a JSON-RPC message (Content-Length). No
// HTTP method that instances use begins with it.
const rpcFirstByte = 'C'

// Split serves JSON-RPC and HTTP on one address: it returns a listener for
// each. Both end with l.
func Split(ctx context.Context, l net.Listener) (rpc, http net.Listener) {
	r, h := newBranch(l), newBranch(l)
	go func() {
		defer r.end()
		defer h.end()
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go route(ctx, c, r, h)
		}
	}()
	return r, h
}

func route(ctx context.Context, c net.Conn, rpc, http *branch) {
	buffered := bufio.NewReader(c)
	_ = c.SetReadDeadline(time.Now().Add(firstByteTimeout))
	first, err := buffered.Peek(1)
	if err != nil {
		_ = c.Close()
		return
	}
	_ = c.SetReadDeadline(time.Time{})
	to := http
	if first[0] == rpcFirstByte {
		to = rpc
	}
	select {
	case to.conns <- &peekedConn{Conn: c, reader: buffered}:
	case <-to.ended:
		_ = c.Close()
	case <-ctx.Done():
		_ = c.Close()
	}
}

type peekedConn struct {
	net.Conn
	reader *bufio.Reader
}

// Read implements net.Conn.
func (c *peekedConn) Read(p []byte) (int, error) { return c.reader.Read(p) }

type branch struct {
	net.Listener
	conns chan net.Conn
	ended chan struct{}
	once  sync.Once
}

func newBranch(l net.Listener) *branch {
	return &branch{Listener: l, conns: make(chan net.Conn), ended: make(chan struct{})}
}

// Accept implements net.Listener.
func (b *branch) Accept() (net.Conn, error) {
	select {
	case c := <-b.conns:
		return c, nil
	case <-b.ended:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (b *branch) Close() error {
	b.end()
	return b.Listener.Close()
}

func (b *branch) end() { b.once.Do(func() { close(b.ended) }) }
