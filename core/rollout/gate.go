package rollout

const (
	// unproven is the number of requests for the new version whose outcome an
	// instance doesn't know yet, while nothing is known about the version.
	unproven = 2
	// pilots is the number of instances that send requests to a version about
	// which nothing is known.
	pilots = 7
	// proof is the number of good answers, of all instances, after which every
	// instance takes part without a limit.
	proof = 40
)

// A Gate limits the requests that one instance sends to a new version before
// there is evidence about it. The zero Gate is closed to instances that are not
// pilots. It is guarded by its owner's mutex.
type Gate struct {
	running int // requests whose outcome isn't known
	failed  int // failures in a row
}

// Pilot reports whether the instance with a rank, counted from 0, is among the
// first to send requests.
func Pilot(rank int) bool { return rank < pilots }

// Enter reports whether another request may go to the new version, given the
// good answers that all instances have counted.
func (g *Gate) Enter(pilot bool, good int) bool {
	if good < proof {
		if !pilot || g.running >= unproven || g.failed >= unproven {
			return false
		}
	}
	g.running++
	return true
}

// Leave records the end of a request that has entered.
func (g *Gate) Leave(answered bool) {
	g.running--
	if answered {
		g.failed = 0
	} else {
		g.failed++
	}
}
