// Package network is an in-memory network with fault injection for tests.
//
// Each address belongs to a location, such as a failure domain. Traffic between
// two locations can be blocked in one direction or both, new connections between
// them can be refused and the open ones reset, the link of a location can be narrow, and the open connections to an
// address can be blackholed while new ones work. A connection that has lost a byte
// stays blackholed for good, like one whose state was lost by a middlebox.
//
// All waiting is done on channels, so that the network works in the fake time of
// testing/synctest.
package network

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// A Network connects dialers to listeners. The zero Network is ready to use. Its
// methods are safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener     // guarded by mu; by address
	blocked   map[direction]bool       // guarded by mu; by locations
	refused   map[direction]bool       // guarded by mu; by locations, in both orders
	delays    map[string]time.Duration // guarded by mu; of what is sent from or to a location
	links     map[string]*link         // guarded by mu; by location; none for unlimited ones
	conns     []*conn                  // guarded by mu; both ends of each connection
	dials     map[dialPath]int         // guarded by mu
}

type direction struct{ from, to string }

// A dialPath is a location and the address that was dialled from it.
type dialPath struct{ from, address string }

// Listen opens a listener for an address at a location. It returns an error if
// the address is in use.
func (n *Network) Listen(address, location string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, fmt.Errorf("address %s is in use: close its listener first", address)
	}
	if n.listeners == nil {
		n.listeners = map[string]*listener{}
	}
	l := &listener{network: n, address: address, location: location, incoming: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// A Dialer opens connections from a location.
type Dialer struct {
	network  *Network
	location string
}

// DialerAt returns a dialer at a location.
func (n *Network) DialerAt(location string) *Dialer { return &Dialer{network: n, location: location} }

// DialContext connects to an address. It blocks until ctx is done while traffic
// is blocked in either direction, and is refused if nothing listens or new connections
// are refused. The network name is ignored.
func (d *Dialer) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	l, blocked, delay := d.network.lookUp(d.location, address)
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return nil, newDialError(ctx.Err())
		}
	}
	if blocked {
		<-ctx.Done()
		return nil, newDialError(ctx.Err())
	}
	if l == nil {
		return nil, newDialError(syscall.ECONNREFUSED)
	}
	dialing, accepted := d.network.newConnPair(d.location, l)
	select {
	case l.incoming <- accepted:
		return dialing, nil
	case <-l.closed:
		return nil, newDialError(syscall.ECONNREFUSED)
	case <-ctx.Done():
		return nil, newDialError(ctx.Err())
	}
}

func newDialError(cause error) error { return &net.OpError{Op: "dial", Net: "tcp", Err: cause} }

func (n *Network) lookUp(location, address string) (l *listener, blocked bool, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.dials == nil {
		n.dials = map[dialPath]int{}
	}
	n.dials[dialPath{location, address}]++
	l = n.listeners[address]
	if l == nil {
		return nil, false, n.delays[location]
	}
	delay = n.delayBetween(location, l.location) + n.queueBetween(location, l.location)
	if n.refused[direction{location, l.location}] {
		return nil, false, delay
	}
	return l, n.blocked[direction{location, l.location}] || n.blocked[direction{l.location, location}], delay
}

// delayBetween returns the delay of what is sent between two locations. The caller holds mu.
func (n *Network) delayBetween(a, b string) time.Duration {
	if a == b {
		return n.delays[a]
	}
	return n.delays[a] + n.delays[b]
}

// Delay delays from now on all that is sent from or to a location, and new connections, as if
// its processes were slow. A delay of 0 ends that.
func (n *Network) Delay(location string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.delays == nil {
		n.delays = map[string]time.Duration{}
	}
	n.delays[location] = d
	for _, c := range n.conns {
		c.write.setDelay(n.delayBetween(c.from, c.to))
	}
}

// Limit bounds the rate at which a location sends, and that at which it receives, in bytes a
// second. What is beyond it queues. A rate of 0 ends that. A connection has the limits of its
// locations only if they had one when it was opened.
func (n *Network) Limit(location string, rate int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.links == nil {
		n.links = map[string]*link{}
	}
	if n.links[location] == nil {
		n.links[location] = &link{}
	}
	n.links[location].setRate(rate)
}

// queueBetween returns how long a packet from one location to another queues. The caller
// holds mu.
func (n *Network) queueBetween(from, to string) time.Duration {
	now := time.Now()
	return n.links[to].in(n.links[from].out(now, 0), 0).Sub(now)
}

// newConnPair returns the two ends of a new connection.
func (n *Network) newConnPair(location string, l *listener) (near, far net.Conn) {
	a, b := newPipe(), newPipe()
	dialing := &conn{read: b, write: a, from: location, to: l.location, address: l.address}
	accepted := &conn{read: a, write: b, from: l.location, to: location, address: l.address}
	n.mu.Lock()
	defer n.mu.Unlock()
	a.from, a.to = n.links[location], n.links[l.location]
	b.from, b.to = n.links[l.location], n.links[location]
	a.setDelay(n.delayBetween(location, l.location))
	b.setDelay(n.delayBetween(location, l.location))
	n.conns = append(n.conns, dialing, accepted)
	return dialing, accepted
}

// BlockTraffic drops everything sent from one location to another until Heal,
// and blackholes that direction of the open connections between them.
func (n *Network) BlockTraffic(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.blocked == nil {
		n.blocked = map[direction]bool{}
	}
	n.blocked[direction{from, to}] = true
	for _, c := range n.conns {
		if c.from == from && c.to == to {
			c.write.blackhole()
		}
	}
}

// Partition blocks the traffic between two locations in both directions.
func (n *Network) Partition(a, b string) {
	n.BlockTraffic(a, b)
	n.BlockTraffic(b, a)
}

// RefuseConns refuses new connections between two locations until Heal. Open ones
// live on.
func (n *Network) RefuseConns(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.refused == nil {
		n.refused = map[direction]bool{}
	}
	n.refused[direction{a, b}] = true
	n.refused[direction{b, a}] = true
}

// ResetConnsBetween resets the open connections between a location and others, all
// at one moment. New connections work.
func (n *Network) ResetConnsBetween(location string, others ...string) {
	n.resetConns(func(c *conn) bool {
		return c.from == location && slices.Contains(others, c.to) || c.to == location && slices.Contains(others, c.from)
	})
}

// Heal lifts all blocks and refusals for new connections. Connections that were
// blackholed or reset stay so.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked, n.refused = nil, nil
}

// HealBetween is Heal for the traffic between two locations.
func (n *Network) HealBetween(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, d := range []direction{{a, b}, {b, a}} {
		delete(n.blocked, d)
		delete(n.refused, d)
	}
}

// DialCount returns how many connections to an address were opened, or tried to be
// opened, from a location.
func (n *Network) DialCount(from, address string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dials[dialPath{from, address}]
}

// BlackholeConns makes the open connections to an address drop all data and
// closes in both directions. New connections work.
func (n *Network) BlackholeConns(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		if c.address == address {
			c.write.blackhole()
		}
	}
}

// CloseListener closes the listener of an address, if there is one.
func (n *Network) CloseListener(address string) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l != nil {
		_ = l.Close()
	}
}

// ResetConns resets the open connections to an address, as the exit of its
// process does.
func (n *Network) ResetConns(address string) {
	n.resetConns(func(c *conn) bool { return c.address == address })
}

// resetConns resets the connections for which reset returns true for both ends. None
// of them can be used in between.
func (n *Network) resetConns(reset func(c *conn) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var pipes []*pipe
	for _, c := range n.conns {
		if reset(c) {
			pipes = append(pipes, c.read) // the other end reads the other one
			c.read.mu.Lock()
		}
	}
	for _, p := range pipes {
		p.closeLocked(syscall.ECONNRESET)
	}
	for _, p := range pipes {
		p.mu.Unlock()
	}
}

type listener struct {
	network  *Network
	address  string
	location string
	incoming chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.incoming:
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
	resets      atomic.Bool // when it is closed
}

// SetLinger makes Close reset the connection if sec is 0, like that of net.TCPConn. Other values
// make it an orderly end.
func (c *conn) SetLinger(sec int) error {
	c.resets.Store(sec == 0)
	return nil
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) { return c.read.read(p) }

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) { return c.write.write(p) }

// Close implements net.Conn.
func (c *conn) Close() error {
	if c.resets.Load() {
		c.write.reset()
	} else {
		c.write.close(nil)
	}
	c.read.abandon()
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
