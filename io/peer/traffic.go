package peer

import (
	"net"
	"sync/atomic"
)

// Traffic counts the bytes between this instance and others. The zero Traffic
// is ready to use.
type Traffic struct {
	Received atomic.Int64
	Sent     atomic.Int64
}

func (t *Traffic) count(c net.Conn) net.Conn { return &countedConn{Conn: c, traffic: t} }

type countedConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.Received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.Sent.Add(int64(n))
	return n, err
}
