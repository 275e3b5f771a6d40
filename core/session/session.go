// Package session keeps a caller's session on its versions.
//
// A Session is carried by a token that callers return, signed with a key that
// all entry instances share, so that any instance continues it without a
// lookup. Callers that send only an identifier have their session kept in the
// platform's table.
//
// Invariant: Open returns only sessions that Seal made with the same key.
package session

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"hash/fnv"
	"maps"
	"strings"
)

const tokenPrefix = "by1."

// MinKeyBytes is the shortest accepted signing key.
const MinKeyBytes = 32

// MaxTokenBytes bounds the tokens that Open reads.
const MaxTokenBytes = 4096

// A Session is the versions that one caller's session uses.
type Session struct {
	Organisation string            `json:"organisation"`
	ID           string            `json:"id"`
	Versions     map[string]string `json:"versions"` // by model
	// Named says that the caller chose the ID and may send nothing else.
	Named bool `json:"-"`
	// Unsure says that an earlier version may exist which can't be looked up
	// now. A roll-out then doesn't count the session among the new ones.
	Unsure bool `json:"-"`
}

// Clone returns a copy that shares nothing with s.
func (s *Session) Clone() *Session {
	c := *s
	c.Versions = maps.Clone(s.Versions)
	if c.Versions == nil {
		c.Versions = map[string]string{}
	}
	return &c
}

// An InvalidError reports a token that was not made with the key, or for
// another organisation.
type InvalidError struct{ Reason string }

func (e *InvalidError) Error() string {
	return "the session token is not valid (" + e.Reason + "): send the token as it was received, or leave it out to begin a new session"
}

// Seal returns the token of a session.
func Seal(key []byte, s *Session) (string, error) {
	payload, err := json.Marshal(s)
	if err != nil {
		return "", err
	}
	encode := base64.RawURLEncoding.EncodeToString
	return tokenPrefix + encode(payload) + "." + encode(sign(key, payload)), nil
}

// Open returns the session of a token that belongs to the organisation.
func Open(key []byte, token, organisation string) (*Session, error) {
	body, ok := strings.CutPrefix(token, tokenPrefix)
	if !ok || len(token) > MaxTokenBytes {
		return nil, &InvalidError{Reason: "unknown form"}
	}
	payload64, mac64, ok := strings.Cut(body, ".")
	if !ok {
		return nil, &InvalidError{Reason: "no signature"}
	}
	strict := base64.RawURLEncoding.Strict()
	payload, err := strict.DecodeString(payload64)
	if err != nil {
		return nil, &InvalidError{Reason: "damaged payload"}
	}
	mac, err := strict.DecodeString(mac64)
	if err != nil || !hmac.Equal(mac, sign(key, payload)) {
		return nil, &InvalidError{Reason: "wrong signature"}
	}
	var s Session
	if err := json.Unmarshal(payload, &s); err != nil {
		return nil, &InvalidError{Reason: "damaged payload"}
	}
	if s.Organisation != organisation {
		return nil, &InvalidError{Reason: "it belongs to another organisation"}
	}
	return &s, nil
}

func sign(key, payload []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(payload)
	return h.Sum(nil)
}

// percents is the number of buckets that Percentile spreads sessions over.
const percents = 100

// Percentile maps a session of a model to 0..99, evenly and the same at every
// instance. Sessions below a roll-out's share get its new version.
func Percentile(organisation, id, model string) int {
	h := fnv.New64a()
	for _, part := range []string{organisation, id, model} {
		_, _ = h.Write([]byte(part))
		_, _ = h.Write([]byte{0})
	}
	sum := h.Sum64()
	// FNV's low bits vary little for short inputs; fold the high half in.
	return int((sum ^ sum>>32) % percents)
}
