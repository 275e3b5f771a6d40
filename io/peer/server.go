package peer

import (
	"context"
	"encoding/json"
	"net"
	"sync"

	"banyanyard/core/gossip"
	"banyanyard/core/reach"
	"banyanyard/io/tcp"

	"github.com/sourcegraph/jsonrpc2"
)

// A GossipHandler answers the calls by which instances detect each other and
// exchange entries. Its methods are called concurrently.
type GossipHandler interface {
	Exchange(ctx context.Context, e Exchange) (Exchange, error)
	Probe(ctx context.Context, p ProbeRequest) (ProbeResult, error)
	Sync(ctx context.Context, s SyncRequest) (SyncResult, error)
}

// A RowHandler also accepts changes of the platform's store and reports of other
// instances. Its methods are called concurrently.
type RowHandler interface {
	GossipHandler
	UpdateRows(ctx context.Context, r RowUpdate) (RowResult, error)
	Report(ctx context.Context, e gossip.Entry) (gossip.Entry, error)
	Reach(ctx context.Context, q reach.Question) (reach.Answer, error)
}

// A Handler also answers calls about the configuration, charges and slots. Its
// methods are called concurrently.
type Handler interface {
	GossipHandler
	FetchRules(ctx context.Context, q RulesRequest) (RulesResult, error)
	HoldCharges(ctx context.Context, h HoldRequest) (Empty, error)
	ReleaseCharges(ctx context.Context, r ReleaseRequest) (Empty, error)
	RequestSlots(ctx context.Context, a SlotsRequest) (SlotsResult, error)
	InheritSlots(ctx context.Context, i InheritRequest) (Empty, error)
}

// A methodFunc decodes the parameters of a call and passes them to the handler.
type methodFunc func(ctx context.Context, h GossipHandler, params json.RawMessage) (any, error)

var methods = map[string]methodFunc{
	methodExchange:       methodOf(GossipHandler.Exchange),
	methodProbe:          methodOf(GossipHandler.Probe),
	methodSync:           methodOf(GossipHandler.Sync),
	methodUpdateRows:     methodOf(RowHandler.UpdateRows),
	methodReport:         methodOf(RowHandler.Report),
	methodReach:          methodOf(RowHandler.Reach),
	methodFetchRules:     methodOf(Handler.FetchRules),
	methodHoldCharges:    methodOf(Handler.HoldCharges),
	methodReleaseCharges: methodOf(Handler.ReleaseCharges),
	methodRequestSlots:   methodOf(Handler.RequestSlots),
	methodInheritSlots:   methodOf(Handler.InheritSlots),
}

// methodOf returns the methodFunc that calls f. Calls fail with
// CodeMethodNotFound if the handler does not implement H.
func methodOf[H GossipHandler, P, R any](f func(H, context.Context, P) (R, error)) methodFunc {
	return func(ctx context.Context, g GossipHandler, params json.RawMessage) (any, error) {
		h, ok := g.(H)
		if !ok {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "this instance does not support the method"}
		}
		var p P
		if err := json.Unmarshal(params, &p); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		return f(h, ctx, p)
	}
}

// A Server answers the calls of other instances.
type Server struct {
	// OnAcceptError, if not nil, is called when a connection could not be accepted, for
	// example for want of descriptors. The server tries again.
	OnAcceptError func(error)

	handler GossipHandler
	traffic *Traffic

	mu    sync.Mutex
	conns map[*jsonrpc2.Conn]bool // guarded by mu
}

// NewServer returns a server that counts its bytes in traffic. It also offers the
// methods of RowHandler or Handler if h implements them.
func NewServer(h GossipHandler, traffic *Traffic) *Server {
	return &Server{handler: h, traffic: traffic, conns: map[*jsonrpc2.Conn]bool{}}
}

// Serve accepts connections until the listener is closed, and then returns nil.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	return tcp.AcceptLoop(ctx, l, func(c net.Conn) {
		s.track(newConn(ctx, s.traffic.countConn(c), jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(s.handle))))
	}, func(err error) {
		if s.OnAcceptError != nil {
			s.OnAcceptError(err)
		}
	})
}

func (s *Server) track(c *jsonrpc2.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = true
	go func() {
		<-c.DisconnectNotify()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, c)
	}()
}

func (s *Server) handle(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	m := methods[r.Method]
	if m == nil || r.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + r.Method}
	}
	s.traffic.countCall(r.Method)
	return m(ctx, s.handler, *r.Params)
}

// Close closes all open connections. It does not close the listener.
func (s *Server) Close() {
	s.mu.Lock()
	conns := make([]*jsonrpc2.Conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

func newConn(ctx context.Context, c net.Conn, h jsonrpc2.Handler) *jsonrpc2.Conn {
	stream := jsonrpc2.NewBufferedStream(c, messageCodec{})
	return jsonrpc2.NewConn(ctx, stream, h, jsonrpc2.SetLogger(silentLogger{}))
}

// A silentLogger discards the log messages of jsonrpc2. They report broken
// connections, which callers learn of from the error of their call.
type silentLogger struct{}

// Printf implements jsonrpc2.Logger.
func (silentLogger) Printf(string, ...any) {}
