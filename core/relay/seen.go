package relay

const (
	// maxStreams bounds the streams that a Seen or a Coverage remembers.
	maxStreams = 64
	// seenWindow is the number of messages by which one may be overtaken and still count.
	seenWindow = 64
)

// A Seen tells messages that have been forwarded from new ones. Where instances know
// different members, a message reaches some of them several times; if each copy were
// forwarded, their number would grow with each hop. The zero Seen is empty. It is
// not safe for concurrent use.
//
// Invariant: for a stream, First is true at most once for each number.
type Seen struct {
	streams map[string]*seenStream
}

type seenStream struct {
	newest uint64
	recent uint64 // bit i is set if newest-i was seen
}

// First reports whether a message of a stream, those that one start of a root has sent, is
// seen for the first time. Messages may overtake each other; one that is seenWindow
// behind the newest counts as seen.
func (s *Seen) First(stream string, number uint64) bool {
	known := s.streams[stream]
	if known == nil {
		if s.streams == nil || len(s.streams) >= maxStreams {
			s.streams = map[string]*seenStream{}
		}
		s.streams[stream] = &seenStream{newest: number, recent: 1}
		return true
	}
	if number > known.newest {
		known.recent = known.recent<<(number-known.newest) | 1
		known.newest = number
		return true
	}
	behind := known.newest - number
	if behind >= seenWindow || known.recent&(1<<behind) != 0 {
		return false
	}
	known.recent |= 1 << behind
	return true
}
