package relay

// maxStreams bounds the streams that a Seen remembers.
const maxStreams = 64

// A Seen tells messages that have been forwarded from new ones. Where instances know
// different members, a message reaches some of them several times; if each copy were
// forwarded, their number would grow with each hop. The zero Seen is empty. It is
// not safe for concurrent use.
//
// Invariant: for a stream, First is true only for increasing numbers.
type Seen struct {
	newest map[string]uint64 // by stream
}

// First reports whether a message has a higher number than all earlier ones of its
// stream: those that one start of a root has sent.
func (s *Seen) First(stream string, number uint64) bool {
	if newest, ok := s.newest[stream]; ok && number <= newest {
		return false
	}
	if s.newest == nil || len(s.newest) >= maxStreams {
		s.newest = map[string]uint64{}
	}
	s.newest[stream] = number
	return true
}
