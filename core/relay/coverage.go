package relay

import "slices"

// maxUnconnected bounds the messages of a stream that a Coverage remembers although an
// earlier one is missing.
const maxUnconnected = 16

// A Coverage tells whether the messages that have arrived bring all that their roots have told
// of. A later message proves nothing about an earlier one, which may be lost, or late. So each
// names the one before it that had content. The zero Coverage is empty. It is not safe for
// concurrent use.
//
// Invariant: if Receive is true for a message, all messages with content that the root had sent
// before are known, or what they told of has been proved to be.
type Coverage struct {
	streams map[string]*coveredStream
}

type coveredStream struct {
	upTo        uint64 // what the root had told of with this message, and before, is known
	unconnected []link
}

// A link is a message of which one before it is missing.
type link struct{ number, previous uint64 }

// Receive records a message of a stream. previous is the number of the newest message before it
// that had content; 0 if there was none. It reports whether all is known that the root had told
// of with this message and before.
func (c *Coverage) Receive(stream string, number, previous uint64) bool {
	s := c.streams[stream]
	if s == nil {
		return false
	}
	if previous > s.upTo {
		s.unconnected = append(s.unconnected, link{number, previous})
		s.unconnected = s.unconnected[max(0, len(s.unconnected)-maxUnconnected):]
		return false
	}
	s.advance(number)
	return true
}

// Prove records that all is known that the root of a stream had told of with a message and
// before, as a comparison with it shows.
func (c *Coverage) Prove(stream string, number uint64) {
	s := c.streams[stream]
	if s == nil {
		if c.streams == nil || len(c.streams) >= maxStreams {
			c.streams = map[string]*coveredStream{}
		}
		s = &coveredStream{}
		c.streams[stream] = s
	}
	s.advance(number)
}

// advance raises upTo to number, and on over the messages that follow.
func (s *coveredStream) advance(number uint64) {
	s.upTo = max(s.upTo, number)
	for {
		i := slices.IndexFunc(s.unconnected, func(l link) bool { return l.previous <= s.upTo })
		if i < 0 {
			return
		}
		s.upTo = max(s.upTo, s.unconnected[i].number)
		s.unconnected = slices.Delete(s.unconnected, i, i+1)
	}
}
