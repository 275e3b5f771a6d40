package suspect

import (
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	servicePrefix      = "service="
	organisationPrefix = "organisation="
	routePrefix        = "route="
	requestPrefix      = "request="
	// PartPrefix starts the traits that name parts of a prompt.
	PartPrefix = "part="

	// maxTraitBytes is the length above which a name is replaced by its hash.
	maxTraitBytes = 48
	// maxParts bounds the parts of a prompt that are traits.
	maxParts = 64
)

// Traits are what a request may share with others, sorted and without duplicates.
type Traits []string

// A Description holds the properties of a request that are its traits.
type Description struct {
	Service      string
	Organisation string // empty if the request has none
	Route        string
	Parts        []string // IDs of the parts of its prompt, in order
	// Fingerprint identifies the request's content, so that repeats have the same one.
	// If it is empty, the last part, which belongs to the request or its session, is
	// left out too.
	Fingerprint string
}

// Traits returns the traits of the request.
func (d *Description) Traits() Traits {
	parts := d.Parts
	if d.Fingerprint == "" && len(parts) > 0 {
		parts = parts[:len(parts)-1]
	}
	t := make(Traits, 0, len(parts)+4)
	t = t.with(servicePrefix, d.Service)
	t = t.with(organisationPrefix, d.Organisation)
	t = t.with(routePrefix, d.Route)
	t = t.with(requestPrefix, d.Fingerprint)
	for _, part := range parts[:min(len(parts), maxParts)] {
		t = t.with(PartPrefix, part)
	}
	slices.Sort(t)
	return slices.Compact(t)
}

func (t Traits) with(prefix, name string) Traits {
	if name == "" {
		return t
	}
	if len(name) > maxTraitBytes {
		name = "#" + strconv.FormatUint(xxhash.Sum64String(name), 36)
	}
	return append(t, prefix+name)
}

// Key identifies the set of traits.
func (t Traits) Key() string { return strconv.FormatUint(xxhash.Sum64String(t.String()), 36) }

// String returns the traits separated by spaces.
func (t Traits) String() string { return strings.Join(t, " ") }

// HasAll reports whether t contains all traits of the set.
func (t Traits) HasAll(set Traits) bool {
	i := 0
	for _, trait := range set {
		for i < len(t) && t[i] < trait {
			i++
		}
		if i == len(t) || t[i] != trait {
			return false
		}
		i++
	}
	return true
}

// intersect returns the traits that both sets contain.
func (t Traits) intersect(set Traits) Traits {
	var both Traits
	i, j := 0, 0
	for i < len(t) && j < len(set) {
		switch c := strings.Compare(t[i], set[j]); {
		case c < 0:
			i++
		case c > 0:
			j++
		default:
			both = append(both, t[i])
			i++
			j++
		}
	}
	return both
}

// accuses reports whether the set names a part of a prompt or a request.
func (t Traits) accuses() bool {
	return slices.ContainsFunc(t, func(trait string) bool {
		return strings.HasPrefix(trait, PartPrefix) || strings.HasPrefix(trait, requestPrefix)
	})
}

// without returns the traits that do not start with the prefix.
func (t Traits) without(prefix string) Traits {
	return slices.DeleteFunc(slices.Clone(t), func(trait string) bool { return strings.HasPrefix(trait, prefix) })
}

// value returns the name with the prefix, or "".
func (t Traits) value(prefix string) string {
	for _, trait := range t {
		if name, ok := strings.CutPrefix(trait, prefix); ok {
			return name
		}
	}
	return ""
}
