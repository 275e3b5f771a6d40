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
	// maxUncompressedBytes is the largest list that is sent uncompressed: it fits
	// in about one packet, where compression saves nothing.
	maxUncompressedBytes = 1200
	// maxDecompressedBytes bounds a decompressed bundle: twice the largest row
	// that the store accepts, which leaves room for other rows.
	maxDecompressedBytes = 1 << 20
)

// A Bundle is a list of entries encoded for sending: a JSON array or, for a long
// list, a JSON string that holds the array compressed with DEFLATE, in base64. It
// is encoded once for all receivers. The zero Bundle has no entries.
type Bundle json.RawMessage

// NewBundle encodes the entries.
func NewBundle(entries []gossip.Entry) (Bundle, error) {
	if len(entries) == 0 {
		return nil, nil
	}
	list, err := json.Marshal(entries)
	if err != nil || len(list) <= maxUncompressedBytes {
		return list, err
	}
	var compressed bytes.Buffer
	w, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(list); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return json.Marshal(compressed.Bytes())
}

// MarshalJSON implements json.Marshaler.
func (b Bundle) MarshalJSON() ([]byte, error) { return json.RawMessage(b).MarshalJSON() }

// UnmarshalJSON implements json.Unmarshaler.
func (b *Bundle) UnmarshalJSON(data []byte) error {
	return (*json.RawMessage)(b).UnmarshalJSON(data)
}

// Entries decodes the bundle. It fails on invalid data and on more than
// maxDecompressedBytes.
func (b Bundle) Entries() ([]gossip.Entry, error) {
	if len(b) == 0 {
		return nil, nil
	}
	list := []byte(b)
	if b[0] == '"' {
		var err error
		if list, err = b.decompress(); err != nil {
			return nil, err
		}
	}
	var entries []gossip.Entry
	err := json.Unmarshal(list, &entries)
	return entries, err
}

func (b Bundle) decompress() ([]byte, error) {
	var compressed []byte
	if err := json.Unmarshal(b, &compressed); err != nil {
		return nil, err
	}
	list, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxDecompressedBytes+1))
	if err != nil {
		return nil, err
	}
	if len(list) > maxDecompressedBytes {
		return nil, fmt.Errorf("decompressed entries exceed %d bytes; send fewer entries in one message", maxDecompressedBytes)
	}
	return list, nil
}
