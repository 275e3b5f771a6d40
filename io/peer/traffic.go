package peer

import (
	"net"
	"sync/atomic"
)

// Traffic counts the bytes exchanged with other instances. The zero Traffic is
// ready to use.
type Traffic struct {
	Received atomic.Int64
	Sent     atomic.Int64
}

func (t *Traffic) countConn(c net.Conn) net.Conn { return &countingConn{Conn: c, traffic: t} }

type countingConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.Received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.Sent.Add(int64(n))
	return n, err
}
