// Package network is a network in memory, whose faults tests switch on and off.
//
// Each address belongs to a place, such as a failure domain. Traffic between
// two places can be cut in one direction or both, and open connections to an
// address can be made silent while new ones work. A connection that has lost a
// byte stays silent for good, as one does whose state was lost on the way.
//
// All waiting is done on channels, so that the network works in virtual time.
package network

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

// A Network connects addresses. The zero Network is ready to use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener // guarded by mu; by address
	cuts      map[direction]bool   // guarded by mu
	conns     []*conn              // guarded by mu; the dialing ends
}

type direction struct{ from, to string }

// Listen opens an address at a place.
func (n *Network) Listen(address, place string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, fmt.Errorf("address %s is in use: close its listener first", address)
	}
	if n.listeners == nil {
		n.listeners = map[string]*listener{}
	}
	l := &listener{network: n, address: address, place: place, accepts: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// A Dialer opens connections from a place.
type Dialer struct {
	network *Network
	place   string
}

// From returns a dialer at a place.
func (n *Network) From(place string) *Dialer { return &Dialer{network: n, place: place} }

// DialContext connects to an address. It waits for the context when the way
// there is cut, and fails at once when nothing listens.
func (d *Dialer) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	l, cut := d.network.find(d.place, address)
	if cut {
		<-ctx.Done()
		return nil, dialError(ctx.Err())
	}
	if l == nil {
		return nil, dialError(errors.New("connection refused"))
	}
	near, far := d.network.pair(d.place, l)
	select {
	case l.accepts <- far:
		return near, nil
	case <-l.closed:
		return nil, dialError(errors.New("connection refused"))
	case <-ctx.Done():
		return nil, dialError(ctx.Err())
	}
}

func dialError(cause error) error { return &net.OpError{Op: "dial", Net: "tcp", Err: cause} }

func (n *Network) find(place, address string) (l *listener, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l = n.listeners[address]
	if l == nil {
		return nil, false
	}
	return l, n.cuts[direction{place, l.place}] || n.cuts[direction{l.place, place}]
}

// pair returns the two ends of a new connection.
func (n *Network) pair(place string, l *listener) (near, far net.Conn) {
	a, b := newPipe(), newPipe()
	dialing := &conn{read: b, write: a, from: place, to: l.place, address: l.address}
	accepted := &conn{read: a, write: b, from: l.place, to: place, address: l.address}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns = append(n.conns, dialing, accepted)
	return dialing, accepted
}

// Cut drops everything that is sent from one place to another.
func (n *Network) Cut(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cuts == nil {
		n.cuts = map[direction]bool{}
	}
	n.cuts[direction{from, to}] = true
	for _, c := range n.conns {
		if c.from == from && c.to == to {
			c.write.silence()
		}
	}
}

// Part cuts two places from each other in both directions.
func (n *Network) Part(a, b string) {
	n.Cut(a, b)
	n.Cut(b, a)
}

// Heal lets new connections work between all places.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts = nil
}

// Silence makes the open connections to an address swallow everything. New
// ones work.
func (n *Network) Silence(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		if c.address == address {
			c.write.silence()
		}
	}
}

// Close closes the listener of an address.
func (n *Network) Close(address string) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l != nil {
		_ = l.Close()
	}
}

// Break closes the open connections to an address, as the death of its process
// does.
func (n *Network) Break(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		if c.address == address {
			c.read.close(errReset)
			c.write.close(errReset)
		}
	}
}

var errReset = errors.New("connection reset by peer")

type listener struct {
	network *Network
	address string
	place   string
	accepts chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepts:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.listeners, l.address)
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return address(l.address) }

type address string

// Network implements net.Addr.
func (address) Network() string { return "memory" }

// String implements net.Addr.
func (a address) String() string { return string(a) }

// A conn is one end of a connection.
type conn struct {
	read, write *pipe
	from, to    string
	address     string
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) { return c.read.read(p) }

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) { return c.write.write(p) }

// Close implements net.Conn.
func (c *conn) Close() error {
	c.write.close(nil)
	c.read.close(net.ErrClosed)
	return nil
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return address(c.address) }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return address(c.address) }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.read.readDeadline.set(t)
	c.write.writeDeadline.set(t)
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.read.readDeadline.set(t)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.write.writeDeadline.set(t)
	return nil
}
