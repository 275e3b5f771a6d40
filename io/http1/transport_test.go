package http1

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestCheckedTransport sends responses to a client of net/http.
func TestCheckedTransport(t *testing.T) {
	const early = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
	tests := []struct {
		name, text string
		valid      bool
	}{
		{name: "usual", text: okResponse, valid: true},
		{name: "informational", text: "HTTP/1.1 100 Continue\r\n\r\n" + early + okResponse, valid: true},
		{name: "most informational", text: strings.Repeat(early, maxInformational) + okResponse, valid: true},
		{name: "too many informational", text: strings.Repeat(early, maxInformational+1) + okResponse},
		{name: "status 000", text: "HTTP/1.1 000 Trouble\r\nContent-Length: 1\r\n\r\nx"},
		{name: "status 600", text: "HTTP/1.1 600 Trouble\r\nContent-Length: 1\r\n\r\nx"},
		{name: "informational with a body", text: "HTTP/1.1 103 Early Hints\r\nContent-Length: 64\r\n\r\n" + okResponse},
		{name: "blank before the colon", text: "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"},
		{name: "blank before the colon of an informational response", text: "HTTP/1.1 103 Early Hints\r\nContent-Length : 64\r\n\r\n" + okResponse},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			address := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
				readRequestID(r)
				_, _ = io.WriteString(c, tt.text)
			})
			client := http.Client{Transport: &CheckedTransport{Base: &http.Transport{DisableKeepAlives: true}}}
			response, err := client.Get("http://" + address)
			is.Equal(err == nil, tt.valid)
			if err != nil {
				return
			}
			defer func() { _ = response.Body.Close() }()
			body, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.Equal(string(body), "inner")
		})
	}
}
