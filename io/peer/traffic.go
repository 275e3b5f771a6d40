package peer

import (
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
)

// Traffic counts what is exchanged with other instances. The zero Traffic is
// ready to use.
type Traffic struct {
	Received atomic.Int64 // bytes
	Sent     atomic.Int64 // bytes

	mu    sync.Mutex
	calls map[string]int // received, by method; guarded by mu
}

func (t *Traffic) countCall(method string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.calls == nil {
		t.calls = map[string]int{}
	}
	t.calls[method]++
}

// TakeCalls returns the calls that other instances have made since it was last called, by
// method, as text.
func (t *Traffic) TakeCalls() string {
	t.mu.Lock()
	calls := t.calls
	t.calls = nil
	t.mu.Unlock()
	var text strings.Builder
	for _, method := range slices.Sorted(maps.Keys(calls)) {
		if text.Len() > 0 {
			text.WriteByte(' ')
		}
		fmt.Fprintf(&text, "%s=%d", method, calls[method])
	}
	return text.String()
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
