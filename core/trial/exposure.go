package trial

import (
	"fmt"
	"slices"
	"strings"

	"banyanyard/core/rollout"
	"banyanyard/core/tally"
)

// An Exposure counts the attempts sent to a service since the order.
type Exposure struct {
	All int `json:"all"`
	New int `json:"new"` // those of All that went to the new version
}

// Plus returns the sum of two exposures.
func (e Exposure) Plus(o Exposure) Exposure { return Exposure{All: e.All + o.All, New: e.New + o.New} }

// TotalExposure returns the exposure of all instances, as far as known here.
func (t *Trial) TotalExposure() Exposure {
	total := t.exposure
	for _, r := range t.reports {
		total = total.Plus(r.Exposure)
	}
	return total
}

// EvidenceText describes the evidence of all instances for logs: by kind of request and
// criterion, the bad and all outcomes of the new and of the old version.
func (t *Trial) EvidenceText() string {
	kinds := make([]string, 0, len(t.ownEvidence))
	for kind := range t.evidenceKinds() {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	var parts []string
	for _, kind := range kinds {
		e := t.totalEvidence(kind)
		for _, c := range criteria(e) {
			if c.new.N() > 0 {
				parts = append(parts, fmt.Sprintf("%s %s %d/%d old %d/%d", kind, c.name, c.new.Bad, c.new.N(), c.old.Bad, c.old.N()))
			}
		}
	}
	return strings.Join(parts, "; ")
}

// A criterion is one pair of counts in the evidence.
type criterion struct {
	name     string
	new, old tally.Counts
}

func criteria(e rollout.Evidence) []criterion {
	return []criterion{
		{name: "errors", new: e.New.Errors, old: e.Old.Errors},
		{name: "late", new: e.New.Latency, old: e.Old.Latency},
		{name: "gaps", new: e.New.EventGaps, old: e.Old.EventGaps},
		{name: "over-median", new: e.New.GapsOverMedian, old: e.Old.GapsOverMedian},
	}
}
