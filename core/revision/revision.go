// Package revision orders the accepted configurations.
//
// The head of the configuration is one row of the platform's table, and only a
// compare-and-set raises its number. A Current takes heads from the table and
// from other instances in any order.
//
// Invariant: the number in force at an instance never falls.
package revision

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"time"

	"banyanyard/core/rules"
)

// A Head names one accepted configuration.
type Head struct {
	Number  int64     `json:"number"` // rises by one with each accepted configuration
	Object  string    `json:"object"` // key of the rules' text in the object store
	Apply   string    `json:"apply"`  // unique identifier of the apply that made it
	By      string    `json:"by"`     // who applied it
	Applied time.Time `json:"applied"`
	Recent  []string  `json:"recent"` // Apply of the newest heads before this one, newest first
	// Patch leads from the configuration before this one; nil where it would
	// be large.
	Patch *rules.Patch `json:"patch,omitempty"`
}

// maxPatchBytes bounds the patch that travels with a head.
const maxPatchBytes = 1500

// ObjectKey names the object that holds a text.
func ObjectKey(text string) string {
	sum := sha256.Sum256([]byte(text))
	return "rules-" + hex.EncodeToString(sum[:])
}

// SetPatch adds the patch from the text before, where it is small.
func (h *Head) SetPatch(before, text string) {
	if p := rules.NewPatch(before, text); p.Size() <= maxPatchBytes {
		h.Patch = &p
	}
}

// Text returns the text of the head by its patch, given the text of the head
// before it. It returns false when the whole text has to be read.
func (h *Head) Text(before string) (string, bool) {
	if h.Patch == nil {
		return "", false
	}
	text, err := h.Patch.Apply(before)
	return text, err == nil && ObjectKey(text) == h.Object
}

// maxRecent bounds Head.Recent.
const maxRecent = 32

// Follow returns next as the head after h.
func (h Head) Follow(next Head) Head {
	next.Number = h.Number + 1
	if h.Apply != "" {
		next.Recent = append([]string{h.Apply}, h.Recent...)
	}
	next.Recent = next.Recent[:min(len(next.Recent), maxRecent)]
	return next
}

// Includes reports whether the apply made this head or one of the heads before
// it that Recent still names.
func (h Head) Includes(apply string) bool {
	return h.Apply == apply || slices.Contains(h.Recent, apply)
}

// A Current is the configuration in force. The zero Current has none.
type Current struct{ head Head }

// Head returns the configuration in force.
func (c *Current) Head() Head { return c.head }

// Newer reports whether a head would replace the one in force.
func (c *Current) Newer(h Head) bool { return h.Number > c.head.Number }

// Take puts a newer head in force. It returns an error and changes nothing when
// the head is not newer.
func (c *Current) Take(h Head) error {
	if !c.Newer(h) {
		return &StaleError{Have: c.head.Number, Offered: h.Number}
	}
	c.head = h
	return nil
}

// A StaleError reports a configuration that is not newer than the one in force.
type StaleError struct{ Have, Offered int64 }

func (e *StaleError) Error() string {
	return fmt.Sprintf("revision %d is in force, %d is not newer: fetch the rules and apply your change again", e.Have, e.Offered)
}
