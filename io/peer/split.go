package peer

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"banyanyard/io/tcp"
)

// firstByteTimeout bounds the wait for the byte that identifies the protocol.
const firstByteTimeout = 5 * time.Second

// rpcFirstByte is the first byte of the header of a JSON-RPC message
// (Content-Length). No HTTP method that instances use begins with it.
const rpcFirstByte = 'C'

// SplitProtocols lets JSON-RPC and HTTP share the address of l: it returns a
// listener for each. Both stop when l fails or is closed; closing either closes l. failed is
// called for errors of Accept that may pass.
func SplitProtocols(ctx context.Context, l net.Listener, failed func(error)) (rpc, http net.Listener) {
	r, h := newProtocolListener(l), newProtocolListener(l)
	go func() {
		defer r.stop()
		defer h.stop()
		// Another error than the end of the listener shows at both listeners as their end.
		_ = tcp.AcceptLoop(ctx, l, func(c net.Conn) { go dispatchConn(ctx, c, r, h) }, failed)
	}()
	return r, h
}

func dispatchConn(ctx context.Context, c net.Conn, rpc, http *protocolListener) {
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
	case <-to.stopped:
		_ = c.Close()
	case <-ctx.Done():
		_ = c.Close()
	}
}

// A peekedConn is a connection of which reader has buffered the first bytes.
type peekedConn struct {
	net.Conn
	reader *bufio.Reader
}

// Read implements net.Conn.
func (c *peekedConn) Read(p []byte) (int, error) { return c.reader.Read(p) }

// A protocolListener returns the connections of one protocol.
type protocolListener struct {
	net.Listener
	conns    chan net.Conn
	stopped  chan struct{}
	stopOnce sync.Once
}

func newProtocolListener(l net.Listener) *protocolListener {
	return &protocolListener{Listener: l, conns: make(chan net.Conn), stopped: make(chan struct{})}
}

// Accept implements net.Listener.
func (b *protocolListener) Accept() (net.Conn, error) {
	select {
	case c := <-b.conns:
		return c, nil
	case <-b.stopped:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (b *protocolListener) Close() error {
	b.stop()
	return b.Listener.Close()
}

func (b *protocolListener) stop() { b.stopOnce.Do(func() { close(b.stopped) }) }
