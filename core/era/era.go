// Package era orders what a store has written, where the store may come back from a copy
// that is some seconds old and give out its version numbers again. It begins a new era
// then.
//
// Invariant: of two versions, the one of the later era is larger; within an era, the one
// with the larger number is.
package era

import "strconv"

// numberBits is the size of the number in a Version; the era takes the other bits.
const numberBits = 48

const (
	// MaxNumber is the largest number of a Version.
	MaxNumber = 1<<numberBits - 1
	// Max is the largest era of a Version.
	Max = 1<<(64-numberBits) - 1
)

// A Version is a version of a store, or of a row in it. Versions are ordered as integers.
// The zero Version stands for what was never written.
type Version uint64

// New returns the version with a number in an era. Values that are too large are reduced
// to Max and MaxNumber.
func New(era, number uint64) Version {
	return Version(min(era, Max)<<numberBits | min(number, MaxNumber))
}

// Era returns how often the store had come back from a copy.
func (v Version) Era() uint64 { return uint64(v) >> numberBits }

// Number returns the store's own version number.
func (v Version) Number() uint64 { return uint64(v) & MaxNumber }

// String returns the era and the number, such as "2.417".
func (v Version) String() string {
	return strconv.FormatUint(v.Era(), 10) + "." + strconv.FormatUint(v.Number(), 10)
}

// MayBeCopied reports whether a row of version v may have been in the copy from which the
// store came back, where known is a version of the row from before. If not, it was written
// since.
func (v Version) MayBeCopied(known Version) bool {
	return v.Era() > known.Era() && v.Number() <= known.Number()
}
