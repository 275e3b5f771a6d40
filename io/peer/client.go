package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"

	"banyanyard/core/gossip"
	"banyanyard/core/reach"
	"banyanyard/io/tcp"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// A Client calls other instances. It keeps one connection per address and is safe
// for concurrent use. A failed or timed-out call closes its connection.
type Client struct {
	dial    tcp.DialFunc
	tls     *tls.Config // nil for plain text
	traffic *Traffic

	mu    sync.Mutex
	conns map[string]*jsonrpc2.Conn // guarded by mu; keyed by address; nil once the client is closed
}

var errClientClosed = errors.New("the client of other instances is closed")

// NewClient returns a client that counts its bytes in traffic. A nil dial means
// tcp.DialContext; a nil TLS configuration means plain text.
func NewClient(dial tcp.DialFunc, c *tls.Config, traffic *Traffic) *Client {
	return &Client{dial: tcp.DialOrDefault(dial), tls: c, traffic: traffic, conns: map[string]*jsonrpc2.Conn{}}
}

// Exchange probes a member and exchanges gossip with it.
func (c *Client) Exchange(ctx context.Context, address string, e Exchange) (Exchange, error) {
	return callMethod[Exchange](ctx, c, address, methodExchange, e)
}

// Probe asks the member at the address to probe another member.
func (c *Client) Probe(ctx context.Context, address string, p ProbeRequest) (ProbeResult, error) {
	return callMethod[ProbeResult](ctx, c, address, methodProbe, p)
}

// Sync compares this instance's entries with those of a member.
func (c *Client) Sync(ctx context.Context, address string, s SyncRequest) (SyncResult, error) {
	return callMethod[SyncResult](ctx, c, address, methodSync, s)
}

// UpdateRows relays changes of the platform's store to a member, and returns the
// load of those whom the member forwards them to.
func (c *Client) UpdateRows(ctx context.Context, address string, r RowUpdate) (RowResult, error) {
	return callMethod[RowResult](ctx, c, address, methodUpdateRows, r)
}

// Report sends a member what this instance has observed, and returns the member's
// summary of the observations of all instances.
func (c *Client) Report(ctx context.Context, address string, e gossip.Entry) (gossip.Entry, error) {
	return callMethod[gossip.Entry](ctx, c, address, methodReport, e)
}

// Reach asks a member which upstreams it has reached.
func (c *Client) Reach(ctx context.Context, address string, q reach.Question) (reach.Answer, error) {
	return callMethod[reach.Answer](ctx, c, address, methodReach, q)
}

// FetchRules asks a member for a newer configuration.
func (c *Client) FetchRules(ctx context.Context, address string, q RulesRequest) (RulesResult, error) {
	return callMethod[RulesResult](ctx, c, address, methodFetchRules, q)
}

// HoldCharges asks a member to keep copies of charges.
func (c *Client) HoldCharges(ctx context.Context, address string, h HoldRequest) error {
	_, err := callMethod[Empty](ctx, c, address, methodHoldCharges, h)
	return err
}

// ReleaseCharges tells a member that charges were written, so that it drops its
// copies.
func (c *Client) ReleaseCharges(ctx context.Context, address string, r ReleaseRequest) error {
	_, err := callMethod[Empty](ctx, c, address, methodReleaseCharges, r)
	return err
}

// RequestSlots asks a member for part of its slots.
func (c *Client) RequestSlots(ctx context.Context, address string, a SlotsRequest) (SlotsResult, error) {
	return callMethod[SlotsResult](ctx, c, address, methodRequestSlots, a)
}

// InheritSlots hands the slots of this instance over to a member.
func (c *Client) InheritSlots(ctx context.Context, address string, i InheritRequest) error {
	_, err := callMethod[Empty](ctx, c, address, methodInheritSlots, i)
	return err
}

func callMethod[R any](ctx context.Context, c *Client, address, method string, params any) (R, error) {
	var result R
	conn, err := c.conn(ctx, address)
	if err != nil {
		return result, err
	}
	err = conn.Call(ctx, method, params, &result)
	if err != nil {
		c.closeFailed(address, conn)
	}
	return result, err
}

// conn returns the connection to an address, and opens one if there is none.
func (c *Client) conn(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	c.mu.Lock()
	conn := c.conns[address]
	c.mu.Unlock()
	if conn != nil {
		return conn, nil
	}
	raw, err := c.open(ctx, address)
	if err != nil {
		return nil, err
	}
	// The connection outlives the call that opens it.
	conn = newConn(context.WithoutCancel(ctx), c.traffic.countConn(raw), ignoreRequests{})
	c.mu.Lock()
	defer c.mu.Unlock()
	other := c.conns[address]
	switch {
	case c.conns == nil:
		go func() { _ = conn.Close() }()
		return nil, errClientClosed
	case other != nil:
		go func() { _ = conn.Close() }()
		return other, nil
	}
	c.conns[address] = conn
	return conn, nil
}

func (c *Client) open(ctx context.Context, address string) (net.Conn, error) {
	raw, err := c.dial(ctx, "tcp", address)
	if err != nil || c.tls == nil {
		return raw, err
	}
	secure := tls.Client(raw, c.tls)
	if err := secure.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return secure, nil
}

// closeFailed closes a connection on which a call failed, so that the next call
// opens a new one.
func (c *Client) closeFailed(address string, conn *jsonrpc2.Conn) {
	c.mu.Lock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
	c.mu.Unlock()
	_ = conn.Close()
}

// Close closes all connections, also those that are being opened. Later calls fail.
func (c *Client) Close() {
	c.mu.Lock()
	conns := c.conns
	c.conns = nil
	c.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
	}
}

// An ignoreRequests handler ignores requests and notifications from the server.
type ignoreRequests struct{}

// Handle implements jsonrpc2.Handler.
func (ignoreRequests) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
