// Package revision orders the accepted configurations.
//
// The newest configuration is recorded as a Head in one row of the platform's
// table. Only a compare-and-set on that row raises its number. An instance
// receives heads from the table and from other instances in any order, and a
// Current keeps the newest.
//
// Invariant: the revision number in force at an instance never decreases.
package revision

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"time"

	"banyanyard/core/rules"
)

// A Head describes one accepted configuration.
type Head struct {
	Number         int64     `json:"number"` // incremented with each accepted configuration
	ObjectKey      string    `json:"object"` // key of the rules text in the object store
	ApplyID        string    `json:"apply"`  // unique identifier of the apply operation that created the head
	AppliedBy      string    `json:"by"`     // operator who applied it
	AppliedAt      time.Time `json:"applied"`
	RecentApplyIDs []string  `json:"recent"` // ApplyID of the preceding heads, newest first
	// Patch turns the preceding configuration's text into this one's. It is
	// nil if it would exceed maxPatchBytes.
	Patch *rules.Patch `json:"patch,omitempty"`
}

// maxPatchBytes bounds the patch that is sent with a head.
const maxPatchBytes = 1500

// ObjectKey returns the object store key of a rules text, derived from its hash.
func ObjectKey(text string) string {
	sum := sha256.Sum256([]byte(text))
	return "rules-" + hex.EncodeToString(sum[:])
}

// SetPatch sets the patch from the preceding text to text, if it is small enough.
func (h *Head) SetPatch(before, text string) {
	if p := rules.NewPatch(before, text); p.ApproxSize() <= maxPatchBytes {
		h.Patch = &p
	}
}

// PatchedText applies the patch of the head to the preceding head's text and
// returns the result. It returns false if there is no patch or the result is not
// the head's text; the caller must then fetch the whole text.
func (h *Head) PatchedText(before string) (string, bool) {
	if h.Patch == nil {
		return "", false
	}
	text, err := h.Patch.Apply(before)
	return text, err == nil && ObjectKey(text) == h.ObjectKey
}

// maxRecentApplyIDs bounds Head.RecentApplyIDs.
const maxRecentApplyIDs = 32

// Successor returns next with the number and the recent apply IDs of the head
// that follows h.
func (h Head) Successor(next Head) Head {
	next.Number = h.Number + 1
	if h.ApplyID != "" {
		next.RecentApplyIDs = append([]string{h.ApplyID}, h.RecentApplyIDs...)
	}
	next.RecentApplyIDs = next.RecentApplyIDs[:min(len(next.RecentApplyIDs), maxRecentApplyIDs)]
	return next
}

// IncludesApply reports whether the apply operation created this head or one of
// the preceding heads in RecentApplyIDs.
func (h Head) IncludesApply(apply string) bool {
	return h.ApplyID == apply || slices.Contains(h.RecentApplyIDs, apply)
}

// A Current tracks the configuration in force. The zero Current has none.
type Current struct{ head Head }

// Head returns the head in force, or the zero Head.
func (c *Current) Head() Head { return c.head }

// IsNewer reports whether h is newer than the head in force.
func (c *Current) IsNewer(h Head) bool { return h.Number > c.head.Number }

// Advance puts h in force. It returns a *StaleError and changes nothing if h is
// not newer than the head in force.
func (c *Current) Advance(h Head) error {
	if !c.IsNewer(h) {
		return &StaleError{Have: c.head.Number, Offered: h.Number}
	}
	c.head = h
	return nil
}

// A StaleError reports a revision that is not newer than the one in force.
type StaleError struct{ Have, Offered int64 }

func (e *StaleError) Error() string {
	return fmt.Sprintf("revision %d is in force and revision %d is not newer: fetch the current rules and apply the change again", e.Have, e.Offered)
}
