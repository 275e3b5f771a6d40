package platform_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"banyanyard/fake/network"
	platformfake "banyanyard/fake/platform"
	"banyanyard/io/platform"

	"github.com/matryer/is"
)

// newClient returns a client of the fake platform p over an in-memory network,
// and that network.
func newClient(t *testing.T, p *platformfake.Platform) (*platform.Client, *network.Network) {
	n := &network.Network{}
	l, err := n.Listen("10.0.0.2:7000", "platform")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: p.Handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	transport := &http.Transport{DialContext: n.DialerAt("entry").DialContext}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		_ = server.Close()
	})
	return &platform.Client{BaseURL: "http://10.0.0.2:7000", HTTPClient: &http.Client{Transport: transport}}, n
}

func TestClientReportsWhetherWriteMayHaveTakenEffect(t *testing.T) {
	always := func(f platformfake.Fault) func(platformfake.Call) platformfake.Fault {
		return func(platformfake.Call) platformfake.Fault { return f }
	}
	tests := []struct {
		name               string
		setUp              func(p *platformfake.Platform, n *network.Network)
		mayHaveTakenEffect bool
	}{
		{name: "refused", setUp: func(p *platformfake.Platform, _ *network.Network) { p.SetFaults(always(platformfake.Refuse)) }},
		{name: "response lost", setUp: func(p *platformfake.Platform, _ *network.Network) { p.SetFaults(always(platformfake.DropResponse)) }, mayHaveTakenEffect: true},
		{name: "connection refused", setUp: func(_ *platformfake.Platform, n *network.Network) { n.CloseListener("10.0.0.2:7000") }},
		// The error does not show whether the transport was still dialling.
		{name: "network partition", setUp: func(_ *platformfake.Platform, n *network.Network) { n.Partition("entry", "platform") }, mayHaveTakenEffect: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := &platformfake.Platform{}
				c, n := newClient(t, p)
				tt.setUp(p, n)
				_, err := c.Insert(context.Background(), "t", "k", 1)
				var unavailable *platform.UnavailableError
				is.True(errors.As(err, &unavailable))
				is.Equal(unavailable.MayHaveTakenEffect, tt.mayHaveTakenEffect)
			})
		})
	}
}

func TestClientRowsAndObjects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := context.Background()
		c, _ := newClient(t, &platformfake.Platform{})
		version, err := c.Insert(ctx, "t", "a/b c", map[string]int{"n": 1})
		is.NoErr(err)
		var conflict *platform.ConflictError
		_, err = c.Insert(ctx, "t", "a/b c", 2)
		is.True(errors.As(err, &conflict))
		next, err := c.Replace(ctx, "t", "a/b c", version, 3)
		is.NoErr(err)
		_, err = c.Replace(ctx, "t", "a/b c", version, 4)
		is.True(errors.As(err, &conflict)) // the version has changed
		row, err := c.Get(ctx, "t", "a/b c")
		is.NoErr(err)
		is.Equal(row.Version, next)
		is.NoErr(c.InsertAll(ctx, "t", []platform.Row{{Key: "a/b c", Value: []byte("9")}, {Key: "d", Value: []byte("5")}}))
		rows, err := c.List(ctx, "t", "")
		is.NoErr(err)
		is.Equal(len(rows), 2)
		_, err = c.Get(ctx, "t", "none")
		is.True(errors.Is(err, platform.ErrNotFound))
		is.NoErr(c.PutObject(ctx, "o/1", []byte("text")))
		data, err := c.GetObject(ctx, "o/1")
		is.NoErr(err)
		is.Equal(string(data), "text")
	})
}

// serveText answers each request with the same text and closes its connection. It returns a
// client of that address.
func serveText(t *testing.T, text string) *platform.Client {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.Copy(io.Discard, r.Body)
					_, _ = io.WriteString(c, text)
				}
			}()
		}
	}()
	transport := &http.Transport{DisableKeepAlives: true}
	return &platform.Client{BaseURL: "http://" + l.Addr().String(), HTTPClient: &http.Client{Transport: transport}}
}

// TestInvalidHeadIsNoAnswer guards against writes that count as made, and rows that count as
// read, although the platform's answer was not a valid one.
func TestInvalidHeadIsNoAnswer(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nETag: 5\r\nContent-Length: 1\r\n\r\n7"
	tests := []struct {
		name, text string
		valid      bool
	}{
		{name: "usual", text: answer, valid: true},
		{name: "informational", text: "HTTP/1.1 103 Early Hints\r\n\r\n" + answer, valid: true},
		{name: "status 000", text: strings.Replace(answer, "200 OK", "000 Trouble", 1)},
		{name: "status 099", text: strings.Replace(answer, "200 OK", "099 Trouble", 1)},
		{name: "status 600", text: strings.Replace(answer, "200 OK", "600 Trouble", 1)},
		{name: "informational with an answer as its body", text: "HTTP/1.1 103 Early Hints\r\nContent-Length: 64\r\n\r\n" + answer},
		{name: "blank before the colon", text: strings.Replace(answer, "ETag:", "ETag :", 1)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := serveText(t, tt.text)
			row, err := c.Get(t.Context(), "t", "k")
			is.Equal(err == nil, tt.valid)
			is.Equal(row.Version == "5", tt.valid)
			version, err := c.Insert(t.Context(), "t", "k", 7)
			is.Equal(err == nil, tt.valid)
			is.Equal(version == "5", tt.valid)
			var unavailable *platform.UnavailableError
			is.Equal(errors.As(err, &unavailable) && unavailable.MayHaveTakenEffect, !tt.valid)
		})
	}
}
