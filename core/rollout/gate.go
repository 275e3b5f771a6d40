package rollout

const (
	// pilotLimit is the number of requests for the new version whose outcome an
	// instance doesn't know yet, while nothing is known about the version.
	pilotLimit = 2
	// pilotInstances is the number of instances that send requests to a version about
	// which nothing is known.
	pilotInstances = 7
	// provenAnswers is the number of good answers, of all instances, after which every
	// instance takes part without a limit.
	provenAnswers = 40
)

// A Gate limits the requests that one instance sends to a new version before
// there is evidence about it. The zero Gate is closed to instances that are not
// pilots. It is guarded by its owner's mutex.
type Gate struct {
	inFlight            int // requests whose outcome isn't known
	consecutiveFailures int // failures in a row
}

// IsPilot reports whether the instance with a rank, counted from 0, is among the
// first to send requests.
func IsPilot(rank int) bool { return rank < pilotInstances }

// Admit reports whether another request may go to the new version, given the
// good answers that all instances have counted.
func (g *Gate) Admit(pilot bool, good int) bool {
	if good < provenAnswers {
		if !pilot || g.inFlight >= pilotLimit || g.consecutiveFailures >= pilotLimit {
			return false
		}
	}
	g.inFlight++
	return true
}

// Finish records the end of a request that has entered.
func (g *Gate) Finish(answered bool) {
	g.inFlight--
	if answered {
		g.consecutiveFailures = 0
	} else {
		g.consecutiveFailures++
	}
}
