package http1

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// okResponse is a whole response.
const okResponse = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\ninner"

// TestInvalidHeadIsBrokenError guards against answers that clients take for something else
// than the upstream sent.
func TestInvalidHeadIsBrokenError(t *testing.T) {
	tests := []struct{ name, text string }{
		{name: "status 000", text: "HTTP/1.1 000 Trouble\r\nX-Id: 1\r\nContent-Length: 1\r\n\r\nx"},
		{name: "status 007", text: "HTTP/1.1 007 Trouble\r\nX-Id: 1\r\nContent-Length: 1\r\n\r\nx"},
		{name: "status 099", text: "HTTP/1.1 099 Trouble\r\nX-Id: 1\r\nContent-Length: 1\r\n\r\nx"},
		{name: "status 000 before another response", text: "HTTP/1.1 000 Trouble\r\nX-Id: 1\r\n\r\n" + okResponse},
		{name: "status 099 before another response", text: "HTTP/1.1 099 Trouble\r\nX-Id: 1\r\n\r\n" + okResponse},
		{name: "status 600", text: "HTTP/1.1 600 Trouble\r\nX-Id: 1\r\nContent-Length: 1\r\n\r\nx"},
		{name: "status 999", text: "HTTP/1.1 999 Trouble\r\nX-Id: 1\r\nContent-Length: 1\r\n\r\nx"},
		{name: "status with a sign", text: "HTTP/1.1 +20 Trouble\r\nX-Id: 1\r\nContent-Length: 1\r\n\r\nx"},
		{name: "status with four digits", text: "HTTP/1.1 2000 Trouble\r\nX-Id: 1\r\nContent-Length: 1\r\n\r\nx"},
		{name: "informational with a body", text: "HTTP/1.1 103 Early Hints\r\nContent-Length: 64\r\n\r\n" + okResponse},
		{name: "informational with chunks", text: "HTTP/1.1 100 Continue\r\nTransfer-Encoding: chunked\r\n\r\n" + okResponse},
		{name: "no content with a body", text: "HTTP/1.1 204 No Content\r\nX-Id: 1\r\nContent-Length: 64\r\n\r\n" + okResponse},
		{name: "no content with chunks", text: "HTTP/1.1 204 No Content\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n" + okResponse},
		{name: "blank in a name", text: "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX Field: a\r\nContent-Length: 1\r\n\r\nx"},
		{name: "blank before the colon", text: "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Field : a\r\nContent-Length: 1\r\n\r\nx"},
		{name: "blank before the colon of Transfer-Encoding", text: "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding : chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"},
		{name: "blank before the colon of Content-Length", text: "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length : 1\r\n\r\nxy"},
		{name: "blank in a name of an informational response", text: "HTTP/1.1 103 Early Hints\r\nContent-Length : 64\r\n\r\n" + okResponse},
		{name: "blank in a name that is continued", text: "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Field\r\n : a\r\nContent-Length: 1\r\n\r\nx"},
		{name: "blank before the first name", text: "HTTP/1.1 200 OK\r\n X-Field: a\r\nX-Id: 1\r\nContent-Length: 1\r\n\r\nx"},
		{name: "tab in a name", text: "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX\tField: a\r\nContent-Length: 1\r\n\r\nx"},
		{name: "control byte in a name", text: "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX\x01Field: a\r\nContent-Length: 1\r\n\r\nx"},
		{name: "carriage return in a name", text: "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX\rField: a\r\nContent-Length: 1\r\n\r\nx"},
		{name: "delete byte in a name", text: "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX\x7fField: a\r\nContent-Length: 1\r\n\r\nx"},
		{name: "separator in a name", text: "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX(Field): a\r\nContent-Length: 1\r\n\r\nx"},
		{name: "name that is not ASCII", text: "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-F\xc3\xa9ld: a\r\nContent-Length: 1\r\n\r\nx"},
		{name: "empty name", text: "HTTP/1.1 200 OK\r\nX-Id: 1\r\n: a\r\nContent-Length: 1\r\n\r\nx"},
		{name: "line without a colon", text: "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Field\r\nContent-Length: 1\r\n\r\nx"},
		{name: "control byte in a value", text: "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Field: a\x00b\r\nContent-Length: 1\r\n\r\nx"},
		{name: "carriage return in a value", text: "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Field: a\rX-B: b\r\nContent-Length: 1\r\n\r\nx"},
		{name: "two lengths", text: "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxy"},
		{name: "length with a sign", text: "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: +1\r\n\r\nx"},
		{name: "unknown transfer encoding", text: "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"},
		{name: "chunks in HTTP/1.0", text: "HTTP/1.0 200 OK\r\nX-Id: 1\r\ntransfer-encoding:chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"},
		{name: "chunks and a length in HTTP/1.0", text: "HTTP/1.0 200 OK\r\nX-Id: 1\r\nContent-Length: 11\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"},
		{name: "chunks in HTTP/1.0 after many fields", text: "HTTP/1.0 200 OK\r\nX-Id: 1\r\nX-Fill: " + strings.Repeat("a", 3*readBufferBytes) + "\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"},
		{name: "chunks in HTTP/1.0 after an informational response", text: "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.0 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"},
		{name: "HTTP/0.9", text: "HTTP/0.9 200 OK\r\nX-Id: 1\r\nContent-Length: 1\r\n\r\nx"},
		{name: "HTTP/2.0", text: "HTTP/2.0 200 OK\r\nX-Id: 1\r\nContent-Length: 1\r\n\r\nx"},
		{name: "no status", text: "HTTP/1.1 \r\nX-Id: 1\r\nContent-Length: 1\r\n\r\nx"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			address := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
				readRequestID(r)
				_, _ = io.WriteString(c, tt.text)
			})
			var client Client
			body, err := do(&client, address, newRequest("1"))
			is.Equal(body, "")
			var broken *BrokenError
			is.True(errors.As(err, &broken)) // the request may have run
		})
	}
}

// TestResponseWithoutBodyIsRead reads responses that end with their head, whatever it says of
// a body that another response would have.
func TestResponseWithoutBodyIsRead(t *testing.T) {
	tests := []struct{ name, text string }{
		{name: "no content", text: "HTTP/1.1 204 No Content\r\nX-Id: 1\r\n\r\n"},
		{name: "no content of length 0", text: "HTTP/1.1 204 No Content\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n"},
		{name: "not modified", text: "HTTP/1.1 304 Not Modified\r\nX-Id: 1\r\nContent-Length: 64\r\n\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			address := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
				readRequestID(r)
				_, _ = io.WriteString(c, tt.text)
				readRequestID(r)
			})
			var client Client
			defer client.Close()
			body, err := do(&client, address, newRequest("1"))
			is.NoErr(err)
			is.Equal(body, "")
		})
	}
}

// TestValidHeadIsRead guards against a check that rejects what upstreams may send.
func TestValidHeadIsRead(t *testing.T) {
	tests := []struct{ name, text string }{
		{name: "usual", text: okResponse},
		{name: "lowest final status", text: "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\ninner"},
		{name: "highest status", text: "HTTP/1.1 599 Trouble\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\ninner"},
		{name: "no reason phrase", text: "HTTP/1.1 200\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\ninner"},
		{name: "no length", text: "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\ninner"},
		{name: "HTTP/1.0 with a length", text: "HTTP/1.0 200 OK\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\ninner"},
		{name: "field name in the body of HTTP/1.0", text: "HTTP/1.0 200 OK\r\nX-Id: 1\r\nX-Field: Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\ninner\r\nTransfer-Encoding: chunked\r\n"},
		{name: "HTTP/1.0", text: "HTTP/1.0 200 OK\r\nX-Id: 1\r\n\r\ninner"},
		{name: "all bytes of a token in a name", text: "HTTP/1.1 200 OK\r\nX-Id: 1\r\n!#$%&'*+-.^_`|~09azAZ: a\r\nContent-Length: 5\r\n\r\ninner"},
		{name: "blanks around a value", text: "HTTP/1.1 200 OK\r\nX-Id: \t 1 \t\r\nX-Field:\r\nContent-Length:5 \r\n\r\ninner"},
		{name: "continued value", text: "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Field: a\r\n b\r\nContent-Length: 5\r\n\r\ninner"},
		{name: "value that is not ASCII", text: "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Field: \xc3\xa9\xff\r\nContent-Length: 5\r\n\r\ninner"},
		{name: "chunks", text: "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\ninner\r\n0\r\n\r\n"},
		{name: "informational without a body", text: "HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\n" + okResponse},
		{name: "informational", text: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + okResponse},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			address := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
				readRequestID(r)
				_, _ = io.WriteString(c, tt.text)
			})
			var client Client
			body, err := do(&client, address, newRequest("1"))
			is.NoErr(err)
			is.Equal(body, "inner")
		})
	}
}
