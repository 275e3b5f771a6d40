package rollout

const (
	// pilotLimit is the number of requests in flight to an unproven version,
	// and the number of consecutive failures, at which an instance admits no
	// further request.
	pilotLimit = 2
	// pilotInstances is the number of instances that send requests to an
	// unproven version.
	pilotInstances = 7
	// provenAnswers is the number of good answers, over all instances, after
	// which the version is proven and every instance admits requests without
	// limit.
	provenAnswers = 40
)

// A Gate limits the requests that one instance sends to a new version until
// there is evidence about the version. The zero Gate is ready to use; until
// the version is proven, it admits requests from pilots only. A Gate is not safe
// for concurrent use; its owner's mutex guards it.
type Gate struct {
	inFlight            int // admitted requests whose outcome is not known
	consecutiveFailures int
}

// IsPilot reports whether the instance with the given rank, counted from 0, may
// send requests to an unproven version.
func IsPilot(rank int) bool { return rank < pilotInstances }

// Admit reports whether another request may go to the new version, given the
// number of its good answers over all instances. Each admitted request must be
// followed by a call of Finish.
func (g *Gate) Admit(pilot bool, good int) bool {
	if good < provenAnswers {
		if !pilot || g.inFlight >= pilotLimit || g.consecutiveFailures >= pilotLimit {
			return false
		}
	}
	g.inFlight++
	return true
}

// Finish records the end of an admitted request.
func (g *Gate) Finish(answered bool) {
	g.inFlight--
	if answered {
		g.consecutiveFailures = 0
	} else {
		g.consecutiveFailures++
	}
}
