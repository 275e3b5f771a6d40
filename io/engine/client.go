package engine

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// The bounds of connections to engines.
const (
	dialTimeout         = time.Second
	keepAlive           = 5 * time.Second
	idleTimeout         = 30 * time.Second
	maxIdlePerUpstream  = 64
	maxRefusalBodyBytes = 16 << 10
)

// A Client calls engines. It keeps the connections of each upstream apart, so
// that those of one can be replaced. The zero Client is ready to use.
type Client struct {
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	mu    sync.Mutex
	pools map[string]*http.Transport // guarded by mu; by upstream
}

// Start sends an attempt and returns its answer once the engine has accepted
// it. The caller must Close the answer.
func (c *Client) Start(ctx context.Context, a Attempt) (*Answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	request, err := newRequest(ctx, a)
	if err != nil {
		cancel()
		return nil, err
	}
	watch := newWatchdog(cancel)
	watch.arm(a.FirstByte)
	response, err := c.pool(a.Upstream).RoundTrip(request)
	if err != nil {
		cancel()
		return nil, c.startError(a, watch, err)
	}
	if response.StatusCode != http.StatusOK {
		defer cancel()
		return nil, statusError(a, response)
	}
	return newAnswer(c, a, response, watch, cancel), nil
}

func newRequest(ctx context.Context, a Attempt) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.Address+"/v1/chat/completions", bytes.NewReader(a.Body))
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport can't send the request a second time.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Request-Id", a.ID)
	if a.After != "" {
		request.Header.Set("Last-Event-ID", a.After)
	}
	return request, nil
}

func (c *Client) startError(a Attempt, watch *watchdog, err error) error {
	if watch.expired() {
		c.Replace(a.Upstream)
		return &SilentError{Upstream: a.Upstream, After: a.FirstByte}
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &UnreachableError{Upstream: a.Upstream, Cause: err}
	}
	return &BrokenError{Upstream: a.Upstream, Cause: err}
}

// statusError tells a refusal before the run from a rejection of the request
// itself. Other statuses say nothing about whether it ran.
func statusError(a Attempt, response *http.Response) error {
	defer func() { _ = response.Body.Close() }()
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxRefusalBodyBytes))
	switch status := response.StatusCode; {
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return &RefusedError{Upstream: a.Upstream, Status: status, Body: body}
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError:
		return &RejectedError{Upstream: a.Upstream, Status: status, Body: body}
	default:
		return &BrokenError{Upstream: a.Upstream, Cause: errors.New(response.Status)}
	}
}

// Replace closes the idle connections of an upstream and uses new ones from
// now on. Running answers keep theirs.
func (c *Client) Replace(upstream string) {
	c.mu.Lock()
	old := c.pools[upstream]
	delete(c.pools, upstream)
	c.mu.Unlock()
	if old != nil {
		old.CloseIdleConnections()
	}
}

func (c *Client) pool(upstream string) *http.Transport {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.pools[upstream]; p != nil {
		return p
	}
	if c.pools == nil {
		c.pools = map[string]*http.Transport{}
	}
	p := c.newTransport()
	c.pools[upstream] = p
	return p
}

func (c *Client) newTransport() *http.Transport {
	dial := c.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}).DialContext
	}
	return &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: maxIdlePerUpstream,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// Close closes all idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		p.CloseIdleConnections()
	}
}

// A watchdog cancels an attempt on which nothing arrives in time.
type watchdog struct {
	cancel context.CancelFunc
	mu     sync.Mutex
	timer  *time.Timer // guarded by mu
	fired  bool        // guarded by mu
}

func newWatchdog(cancel context.CancelFunc) *watchdog { return &watchdog{cancel: cancel} }

// arm starts the time anew; zero disarms it.
func (w *watchdog) arm(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case d == 0:
		if w.timer != nil {
			w.timer.Stop()
		}
	case w.timer == nil:
		w.timer = time.AfterFunc(d, w.fire)
	default:
		w.timer.Reset(d)
	}
}

func (w *watchdog) fire() {
	w.mu.Lock()
	w.fired = true
	w.mu.Unlock()
	w.cancel()
}

func (w *watchdog) expired() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fired
}
