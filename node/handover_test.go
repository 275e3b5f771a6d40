package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"banyanyard/io/tcp"

	"github.com/matryer/is"
)

// listenAs answers each request with the same text, as an instance in trouble may, and returns
// the address.
func listenAs(t *testing.T, text string) string {
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
	return l.Addr().String()
}

// TestBrokenAnswersAreNotHandedBack has the instance that a request was handed over to answer in
// ways in which no instance does.
func TestBrokenAnswersAreNotHandedBack(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ninner"
	tests := []struct {
		name, text string
		whole      bool
		status     int
	}{
		{name: "usual", text: answer, whole: true, status: http.StatusOK},
		{name: "chunks", text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\ninner\r\n0\r\n\r\n", whole: true, status: http.StatusOK},
		{name: "informational", text: "HTTP/1.1 103 Early Hints\r\n\r\n" + answer, whole: true, status: http.StatusOK},
		{name: "shorter than its length", text: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ninner", status: http.StatusOK},
		{name: "no last chunk", text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\ninner\r\n", status: http.StatusOK},
		{name: "no length", text: "HTTP/1.1 200 OK\r\n\r\ninner", status: http.StatusBadGateway},
		{name: "status 000", text: strings.Replace(answer, "200 OK", "000 Trouble", 1), status: http.StatusBadGateway},
		{name: "status 600", text: strings.Replace(answer, "200 OK", "600 Trouble", 1), status: http.StatusBadGateway},
		{name: "informational with an answer as its body", text: fmt.Sprintf("HTTP/1.1 103 Early Hints\r\nContent-Length: %d\r\n\r\n", len(answer)) + answer, status: http.StatusBadGateway},
		{name: "blank in a name", text: strings.Replace(answer, "Content-Length", "X Field: a\r\nContent-Length", 1), status: http.StatusBadGateway},
		{name: "blank before the colon", text: "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n5\r\ninner\r\n0\r\n\r\n", status: http.StatusBadGateway},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			address := listenAs(t, tt.text)
			h := newHandOverHandler(&Node{}, tcp.DialContext, nil)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				is.True(h.forward(w, r, address))
			}))
			defer server.Close()
			response, err := http.Post(server.URL, "text/plain", strings.NewReader("body"))
			is.NoErr(err)
			defer func() { _ = response.Body.Close() }()
			is.Equal(response.StatusCode, tt.status)
			body, err := io.ReadAll(response.Body)
			is.Equal(err == nil && string(body) == "inner", tt.whole)
		})
	}
}
