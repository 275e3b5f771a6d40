package place

import "time"

const (
	// domainFailures is the number of different upstreams of a failure domain
	// that must be unreachable, one after another, for the domain to count as
	// cut off: one alone may just have ended.
	domainFailures = 2
	// firstCut and longestCut bound how long a domain that was found cut off is
	// left alone before one request tries it again.
	firstCut   = 500 * time.Millisecond
	longestCut = 2 * time.Second
)

// A path is the way to the upstreams of a failure domain.
type path struct {
	failed    string // upstream that failed last
	failures  int    // of different upstreams in a row, without an answer
	cuts      int    // times that it was found cut off, without an answer
	trying    string // upstream that is tried since; empty when none is
	downUntil time.Time
}

// unreachable notes that nothing came back from an upstream of the domain.
func (p *path) unreachable(now time.Time, upstream string) {
	if p.failed != upstream {
		p.failed = upstream
		p.failures++
	}
	if p.failures < domainFailures || now.Before(p.downUntil) && p.trying != upstream {
		return
	}
	p.trying = ""
	p.downUntil = now.Add(min(firstCut<<min(p.cuts, 8), longestCut))
	p.cuts++
}

// answered notes a sign of life from the domain.
func (p *path) answered() { *p = path{} }

// try lets one request through after a cut and keeps the others back until its
// outcome is known.
func (p *path) try(now time.Time, upstream string) {
	if p.cuts > 0 {
		p.trying = upstream
		p.downUntil = now.Add(firstCut)
	}
}

func (f *Fleet) path(domain string) *path {
	p := f.paths[domain]
	if p == nil {
		p = &path{}
		f.paths[domain] = p
	}
	return p
}
