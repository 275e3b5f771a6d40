package peer

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"io"

	"banyanyard/core/gossip"
)

const (
	// plainBytes is the size up to which entries are sent as they are: about a
	// packet, in which compression saves nothing.
	plainBytes = 1200
	// maxUnpackedBytes bounds what a bundle may grow to: twice the largest row
	// that the store takes, and room for the rows beside it.
	maxUnpackedBytes = 1 << 20
)

// A Bundle is entries as they are sent: a JSON list, or a JSON string with the
// compressed list where that is long. It is made once for all receivers. The
// zero Bundle has no entries.
type Bundle json.RawMessage

// NewBundle returns the entries as a bundle.
func NewBundle(entries []gossip.Entry) (Bundle, error) {
	if len(entries) == 0 {
		return nil, nil
	}
	list, err := json.Marshal(entries)
	if err != nil || len(list) <= plainBytes {
		return list, err
	}
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(list); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return json.Marshal(packed.Bytes())
}

// MarshalJSON implements json.Marshaler.
func (b Bundle) MarshalJSON() ([]byte, error) { return json.RawMessage(b).MarshalJSON() }

// UnmarshalJSON implements json.Unmarshaler.
func (b *Bundle) UnmarshalJSON(data []byte) error {
	return (*json.RawMessage)(b).UnmarshalJSON(data)
}

// Entries returns what the bundle holds.
func (b Bundle) Entries() ([]gossip.Entry, error) {
	if len(b) == 0 {
		return nil, nil
	}
	list := []byte(b)
	if b[0] == '"' {
		var err error
		if list, err = b.unpack(); err != nil {
			return nil, err
		}
	}
	var entries []gossip.Entry
	err := json.Unmarshal(list, &entries)
	return entries, err
}

func (b Bundle) unpack() ([]byte, error) {
	var packed []byte
	if err := json.Unmarshal(b, &packed); err != nil {
		return nil, err
	}
	list, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpackedBytes+1))
	if err != nil {
		return nil, err
	}
	if len(list) > maxUnpackedBytes {
		return nil, fmt.Errorf("the entries have more than %d bytes: send fewer in one message", maxUnpackedBytes)
	}
	return list, nil
}
