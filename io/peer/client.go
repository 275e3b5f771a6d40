package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"

	"banyanyard/core/gossip"
	"banyanyard/io/tcp"

	"github.com/sourcegraph/jsonrpc2"
)

// A Client calls other instances. It keeps one connection to each address.
type Client struct {
	dial    tcp.DialFunc
	tls     *tls.Config // nil for plain text
	traffic *Traffic

	mu    sync.Mutex
	conns map[string]*jsonrpc2.Conn // guarded by mu; by address
}

// NewClient returns a client. A nil dial means TCP; a nil config means plain
// text.
func NewClient(dial tcp.DialFunc, c *tls.Config, traffic *Traffic) *Client {
	return &Client{dial: tcp.DialOrDefault(dial), tls: c, traffic: traffic, conns: map[string]*jsonrpc2.Conn{}}
}

// Exchange probes a member and exchanges gossip with it.
func (c *Client) Exchange(ctx context.Context, address string, e Exchange) (Exchange, error) {
	return call[Exchange](ctx, c, address, methodExchange, e)
}

// Probe asks a member to probe another.
func (c *Client) Probe(ctx context.Context, address string, p Probe) (ProbeResult, error) {
	return call[ProbeResult](ctx, c, address, methodProbe, p)
}

// Sync compares gossip stores.
func (c *Client) Sync(ctx context.Context, address string, s Sync) (SyncResult, error) {
	return call[SyncResult](ctx, c, address, methodSync, s)
}

// Rows tells a member what has changed in the platform's store.
func (c *Client) Rows(ctx context.Context, address string, r Rows) error {
	_, err := call[Done](ctx, c, address, methodRows, r)
	return err
}

// Report tells a member what this instance has seen, and returns what all of
// them have.
func (c *Client) Report(ctx context.Context, address string, e gossip.Entry) (gossip.Entry, error) {
	return call[gossip.Entry](ctx, c, address, methodReport, e)
}

// Rules asks for a newer configuration.
func (c *Client) Rules(ctx context.Context, address string, q RulesQuery) (RulesResult, error) {
	return call[RulesResult](ctx, c, address, methodRules, q)
}

// Hold asks a member to keep copies of charges.
func (c *Client) Hold(ctx context.Context, address string, h Hold) error {
	_, err := call[Done](ctx, c, address, methodHold, h)
	return err
}

// Release tells a member that charges were written.
func (c *Client) Release(ctx context.Context, address string, r Release) error {
	_, err := call[Done](ctx, c, address, methodRelease, r)
	return err
}

// Ask asks a member for shares.
func (c *Client) Ask(ctx context.Context, address string, a Ask) (AskResult, error) {
	return call[AskResult](ctx, c, address, methodAsk, a)
}

// Inherit passes shares on to a member.
func (c *Client) Inherit(ctx context.Context, address string, i Inherit) error {
	_, err := call[Done](ctx, c, address, methodInherit, i)
	return err
}

func call[R any](ctx context.Context, c *Client, address, method string, params any) (R, error) {
	var result R
	conn, err := c.conn(ctx, address)
	if err != nil {
		return result, err
	}
	err = conn.Call(ctx, method, params, &result)
	if err != nil {
		c.drop(address, conn)
	}
	return result, err
}

// conn returns the connection to an address, and opens one where there is none.
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
	conn = newConn(context.WithoutCancel(ctx), c.traffic.count(raw), nothing{})
	c.mu.Lock()
	defer c.mu.Unlock()
	if other := c.conns[address]; other != nil {
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

// drop closes a connection on which a call failed.
func (c *Client) drop(address string, conn *jsonrpc2.Conn) {
	c.mu.Lock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
	c.mu.Unlock()
	_ = conn.Close()
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	conns := c.conns
	c.conns = map[string]*jsonrpc2.Conn{}
	c.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
	}
}

// nothing ignores what a server sends on its own.
type nothing struct{}

// Handle implements jsonrpc2.Handler.
func (nothing) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
