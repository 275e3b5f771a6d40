package exchange

// A UsageCounter counts requests of organisations that began to run at upstreams. Its
// methods must not block.
type UsageCounter interface{ Count(organisation string) }

// countUsage counts the request once the first token, or the answer, of an upstream has come.
func (e *execution) countUsage() {
	if e.usageCounted || e.router.Usage == nil || e.request.Organisation == "" {
		return
	}
	e.usageCounted = true
	e.router.Usage.Count(e.request.Organisation)
}
