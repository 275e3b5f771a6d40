package peer

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync"

	"banyanyard/core/gossip"

	"github.com/sourcegraph/jsonrpc2"
)

// A Gossiper answers the calls by which instances find each other and pass news
// on. Its methods are called from many goroutines.
type Gossiper interface {
	Exchange(ctx context.Context, e Exchange) (Exchange, error)
	Probe(ctx context.Context, p Probe) (ProbeResult, error)
	Sync(ctx context.Context, s Sync) (SyncResult, error)
}

// A RowKeeper is told by others how the rows of the platform's store change, and
// what they have seen.
type RowKeeper interface {
	Gossiper
	Rows(ctx context.Context, r Rows) (Done, error)
	Report(ctx context.Context, e gossip.Entry) (gossip.Entry, error)
}

// A Handler answers all calls of other instances. Its methods are called from
// many goroutines.
type Handler interface {
	Gossiper
	Rules(ctx context.Context, q RulesQuery) (RulesResult, error)
	Hold(ctx context.Context, h Hold) (Done, error)
	Release(ctx context.Context, r Release) (Done, error)
	Ask(ctx context.Context, a Ask) (AskResult, error)
	Inherit(ctx context.Context, i Inherit) (Done, error)
}

// A method decodes its parameters and calls the handler.
type method func(ctx context.Context, h Gossiper, params json.RawMessage) (any, error)

var methods = map[string]method{
	methodExchange: bind(Gossiper.Exchange),
	methodProbe:    bind(Gossiper.Probe),
	methodSync:     bind(Gossiper.Sync),
	methodRows:     bind(RowKeeper.Rows),
	methodReport:   bind(RowKeeper.Report),
	methodRules:    bind(Handler.Rules),
	methodHold:     bind(Handler.Hold),
	methodRelease:  bind(Handler.Release),
	methodAsk:      bind(Handler.Ask),
	methodInherit:  bind(Handler.Inherit),
}

// bind returns a method that the handler has when it is an H.
func bind[H Gossiper, P, R any](f func(H, context.Context, P) (R, error)) method {
	return func(ctx context.Context, g Gossiper, params json.RawMessage) (any, error) {
		h, ok := g.(H)
		if !ok {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "this instance does not offer the method"}
		}
		var p P
		if err := json.Unmarshal(params, &p); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		return f(h, ctx, p)
	}
}

// A Server answers other instances.
type Server struct {
	handler Gossiper
	traffic *Traffic

	mu    sync.Mutex
	conns map[*jsonrpc2.Conn]bool // guarded by mu
}

// NewServer returns a server that counts its bytes in traffic. It offers the
// methods of Handler when h is one.
func NewServer(h Gossiper, traffic *Traffic) *Server {
	return &Server{handler: h, traffic: traffic, conns: map[*jsonrpc2.Conn]bool{}}
}

// Serve accepts connections until the listener closes.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		s.add(newConn(ctx, s.traffic.count(c), jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(s.handle))))
	}
}

func (s *Server) add(c *jsonrpc2.Conn) {
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
	return m(ctx, s.handler, *r.Params)
}

// Close closes all connections.
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
	stream := jsonrpc2.NewBufferedStream(c, jsonrpc2.VSCodeObjectCodec{})
	return jsonrpc2.NewConn(ctx, stream, h, jsonrpc2.SetLogger(silentLogger{}))
}

// A silentLogger drops the library's messages: what they report, a connection
// that broke, is returned to the callers of the connection.
type silentLogger struct{}

// Printf implements jsonrpc2.Logger.
func (silentLogger) Printf(string, ...any) {}
