package peer

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"banyanyard/core/charge"
	"banyanyard/fake/network"

	"github.com/matryer/is"
)

// A chargeHolder implements only HoldCharges of Handler.
type chargeHolder struct {
	Handler
	held chan HoldRequest
}

func (e chargeHolder) HoldCharges(_ context.Context, h HoldRequest) (Empty, error) {
	e.held <- h
	return Empty{}, nil
}

func serveChargeHolder(t *testing.T, n *network.Network) chargeHolder {
	l, err := n.Listen("10.0.0.1:8081", "d0")
	if err != nil {
		t.Fatal(err)
	}
	e := chargeHolder{held: make(chan HoldRequest, 10)}
	s := NewServer(e, &Traffic{})
	go func() { _ = s.Serve(context.Background(), l) }()
	t.Cleanup(func() {
		_ = l.Close()
		s.Close()
	})
	return e
}

func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	var n network.Network
	e := serveChargeHolder(t, &n)
	c := NewClient(n.DialerAt("d0").DialContext, nil, &Traffic{})
	defer c.Close()
	hold := HoldRequest{Owner: "a", Charges: []charge.Entry{{Sequence: 1, Charge: charge.Charge{Request: "r1"}}}}
	is.NoErr(c.HoldCharges(t.Context(), "10.0.0.1:8081", hold))
	is.Equal((<-e.held).Charges[0].Charge.Request, "r1")
	n.BlackholeConns("10.0.0.1:8081")
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	is.True(errors.Is(c.HoldCharges(ctx, "10.0.0.1:8081", hold), context.DeadlineExceeded))
	is.NoErr(c.HoldCharges(t.Context(), "10.0.0.1:8081", hold)) // on a new connection
}

// TestClosedClientKeepsNoConnection guards against a connection that outlives its client because it was being opened while that was closed.
func TestClosedClientKeepsNoConnection(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	dialing, closed := make(chan struct{}), make(chan struct{})
	c := NewClient(func(context.Context, string, string) (net.Conn, error) {
		close(dialing)
		<-closed
		return near, nil
	}, nil, &Traffic{})
	done := make(chan error)
	go func() { done <- c.HoldCharges(t.Context(), "10.0.0.1:8081", HoldRequest{}) }()
	<-dialing
	c.Close()
	close(closed)
	is.NoErr(far.SetReadDeadline(time.Now().Add(5 * time.Second)))
	_, err := far.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	is.True(<-done != nil)
}

func TestSplitProtocols(t *testing.T) {
	is := is.New(t)
	var n network.Network
	l, err := n.Listen("10.0.0.1:8081", "d0")
	is.NoErr(err)
	rpc, http := SplitProtocols(t.Context(), l, func(err error) { t.Error(err) })
	for _, tt := range []struct {
		first string
		to    net.Listener
	}{{first: "Content-Length: 2", to: rpc}, {first: "POST / HTTP/1.1", to: http}} {
		c, err := n.DialerAt("d0").DialContext(t.Context(), "tcp", "10.0.0.1:8081")
		is.NoErr(err)
		_, err = c.Write([]byte(tt.first))
		is.NoErr(err)
		accepted, err := tt.to.Accept()
		is.NoErr(err)
		got := make([]byte, len(tt.first))
		_, err = accepted.Read(got)
		is.NoErr(err)
		is.Equal(string(got), tt.first)
		_ = accepted.Close()
	}
	_ = l.Close()
	_, err = rpc.Accept()
	is.True(errors.Is(err, net.ErrClosed))
}

// FuzzMessages checks that encoding a decoded message and decoding it again does
// not change it.
func FuzzMessages(f *testing.F) {
	f.Add("exchange", []byte(`{"from":{"id":"a","state":1},"entries":[{"key":"head","version":3,"data":{"number":3}}]}`))
	f.Add("hold", []byte(`{"owner":"a","charges":[{"sequence":1,"charge":{"request":"r"}}]}`))
	f.Add("ask", []byte(`{"epoch":4,"requests":2}`))
	f.Add("sync", []byte(`{"sum":1,"digest":{"a":2}}`))
	f.Fuzz(func(t *testing.T, kind string, data []byte) {
		var message any
		switch kind {
		case "exchange":
			message = &Exchange{}
		case "hold":
			message = &HoldRequest{}
		case "ask":
			message = &SlotsRequest{}
		default:
			message = &SyncRequest{}
		}
		if json.Unmarshal(data, message) != nil {
			return
		}
		once, err := json.Marshal(message)
		if err != nil {
			return // a time that JSON cannot represent
		}
		if err := json.Unmarshal(once, message); err != nil {
			t.Fatalf("encoded message %s cannot be decoded: %v", once, err)
		}
		twice, err := json.Marshal(message)
		if err != nil || string(once) != string(twice) {
			t.Fatalf("message %s changed to %s (error: %v)", once, twice, err)
		}
	})
}
