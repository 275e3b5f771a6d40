package network

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestNarrowLinkIsSharedByItsConnections lets two locations send to one whose link is narrow: what they send arrives at the rate of that link.
func TestNarrowLinkIsSharedByItsConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const rate, size = 1000, 4000
		var n Network
		n.Limit("narrow", rate)
		l, err := n.Listen("10.0.0.1:80", "narrow")
		is.NoErr(err)
		defer func() { _ = l.Close() }()
		began := time.Now()
		arrived := make(chan time.Duration)
		for _, from := range []string{"a", "b"} {
			go func() {
				c, err := n.DialerAt(from).DialContext(t.Context(), "tcp", "10.0.0.1:80")
				is.NoErr(err)
				_, err = c.Write(make([]byte, size))
				is.NoErr(err)
				is.NoErr(c.Close())
			}()
			c, err := l.Accept()
			is.NoErr(err)
			go func() {
				_, err := io.ReadFull(c, make([]byte, size))
				is.NoErr(err)
				arrived <- time.Since(began)
				_ = c.Close()
			}()
		}
		is.Equal(<-arrived, size*time.Second/rate)
		is.Equal(<-arrived, 2*size*time.Second/rate)
		n.Limit("narrow", 0)
	})
}
