// Package session keeps the requests of a caller's session on the same model
// versions.
//
// A Session is carried by a token that callers return. The token is signed, not
// encrypted, with a key that all instances for callers share, so that any of them
// continues the session without a lookup. For callers that send only an identifier, the
// session is stored in the platform's table.
//
// Invariant: VerifyToken returns only sessions that SignToken signed with the
// same key.
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

// MinKeyBytes is the minimum length of the signing key.
const MinKeyBytes = 32

// MaxTokenBytes is the maximum length of a token that VerifyToken accepts.
const MaxTokenBytes = 4096

// A Session holds the model versions that one caller's session uses.
type Session struct {
	Organisation string            `json:"organisation"`
	ID           string            `json:"id"`
	Versions     map[string]string `json:"versions"` // by model
	// CallerChoseID says that the caller chose the ID and may send only that,
	// without a token.
	CallerChoseID bool `json:"-"`
	// LookupFailed says that the session may have versions which can't be looked
	// up now. A roll-out then doesn't treat it as a new session.
	LookupFailed bool `json:"-"`
}

// Clone returns a deep copy whose Versions isn't nil.
func (s *Session) Clone() *Session {
	c := *s
	c.Versions = maps.Clone(s.Versions)
	if c.Versions == nil {
		c.Versions = map[string]string{}
	}
	return &c
}

// An InvalidError reports a token that is malformed, wrongly signed, or issued to
// another organisation.
type InvalidError struct{ Reason string }

func (e *InvalidError) Error() string {
	return "the session token is not valid (" + e.Reason + "): send the token as it was received, or leave it out to begin a new session"
}

// SignToken returns the signed token that carries a session.
func SignToken(key []byte, s *Session) (string, error) {
	payload, err := json.Marshal(s)
	if err != nil {
		return "", err
	}
	encode := base64.RawURLEncoding.EncodeToString
	return tokenPrefix + encode(payload) + "." + encode(computeMAC(key, payload)), nil
}

// VerifyToken returns the session that a token carries. It returns an InvalidError
// unless the token is signed with the key and belongs to the organisation.
func VerifyToken(key []byte, token, organisation string) (*Session, error) {
	body, ok := strings.CutPrefix(token, tokenPrefix)
	if !ok || len(token) > MaxTokenBytes {
		return nil, &InvalidError{Reason: "unknown format"}
	}
	payload64, mac64, ok := strings.Cut(body, ".")
	if !ok {
		return nil, &InvalidError{Reason: "the signature is missing"}
	}
	strict := base64.RawURLEncoding.Strict()
	payload, err := strict.DecodeString(payload64)
	if err != nil {
		return nil, &InvalidError{Reason: "the payload is not base64url"}
	}
	mac, err := strict.DecodeString(mac64)
	if err != nil || !hmac.Equal(mac, computeMAC(key, payload)) {
		return nil, &InvalidError{Reason: "the signature does not match"}
	}
	var s Session
	if err := json.Unmarshal(payload, &s); err != nil {
		return nil, &InvalidError{Reason: "the payload does not hold a session"}
	}
	if s.Organisation != organisation {
		return nil, &InvalidError{Reason: "it belongs to another organisation"}
	}
	return &s, nil
}

func computeMAC(key, payload []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(payload)
	return h.Sum(nil)
}

// percentileCount is the number of values of Percentile.
const percentileCount = 100

// Percentile hashes a session and a model to 0..99, evenly distributed and the
// same at every instance. Sessions below a roll-out's share get its new version.
func Percentile(organisation, id, model string) int {
	h := fnv.New64a()
	for _, part := range []string{organisation, id, model} {
		_, _ = h.Write([]byte(part))
		_, _ = h.Write([]byte{0})
	}
	sum := h.Sum64()
	// FNV's low bits vary little for short inputs, so the high half is XORed in.
	return int((sum ^ sum>>32) % percentileCount)
}
