package peer

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/jsonrpc2"
)

// A member that sends bytes without end is disconnected.
func TestEndlessMessageIsRejected(t *testing.T) {
	part := strings.Repeat("a", 4096)
	tests := []struct {
		name, first, part string
	}{
		{name: "header line", first: "Content-Length", part: part},
		{name: "header lines", first: "Content-Length: 10\r\n", part: "Content-Type: a\r\n"},
		{name: "length", first: "Content-Length: 1", part: "0"},
		{name: "body", first: "Content-Length: 99999999999\r\n\r\n{\"method\":\"", part: part},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = l.Close() }()
			server := NewServer(nil, &Traffic{})
			defer server.Close()
			go func() { _ = server.Serve(t.Context(), l) }()
			c, err := net.Dial("tcp", l.Addr().String())
			is.NoErr(err)
			defer func() { _ = c.Close() }()
			is.NoErr(c.SetDeadline(time.Now().Add(5 * time.Second)))
			_, err = io.WriteString(c, tt.first)
			sent := 0
			for err == nil && sent < 4*maxMessageBytes {
				var n int
				n, err = io.WriteString(c, tt.part)
				sent += n
			}
			is.True(err != nil)               // the connection was closed
			is.True(!isTimeout(err))          // soon
			is.True(sent < 2*maxMessageBytes) // after a bounded number of bytes
		})
	}
}

func isTimeout(err error) bool {
	t, ok := err.(net.Error)
	return ok && t.Timeout()
}

func TestMessagesAreReadBack(t *testing.T) {
	is := is.New(t)
	var text strings.Builder
	want := []string{"a", strings.Repeat("b", 1<<20), ""}
	for _, s := range want {
		is.NoErr(messageCodec{}.WriteObject(&text, s))
	}
	stream := bufio.NewReader(strings.NewReader(text.String()))
	for _, s := range want {
		var got string
		is.NoErr(messageCodec{}.ReadObject(stream, &got))
		is.Equal(got, s)
	}
	var none string
	is.Equal(messageCodec{}.ReadObject(stream, &none), io.EOF)
}

// FuzzReadObject checks that a message is read without a panic, and never beyond
// its length.
func FuzzReadObject(f *testing.F) {
	for _, seed := range []string{
		"Content-Length: 2\r\n\r\n{}", "Content-Length: 2\r\n\r\n{}Content-Length: 2\r\n\r\n[]", "Content-Length: -1\r\n\r\n", "\r\n\r\n",
		"Content-Length: 99999999999999999999\r\n\r\n{}", "Content-Type: a\r\nContent-Length: 5\r\n\r\n{}   ",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		stream := bufio.NewReader(strings.NewReader(string(data)))
		for {
			var message jsonrpc2.Request
			before := len(data)
			if err := (messageCodec{}).ReadObject(stream, &message); err != nil {
				return
			}
			if stream.Buffered() >= before && before > 0 {
				t.Fatal("nothing was read")
			}
		}
	})
}
