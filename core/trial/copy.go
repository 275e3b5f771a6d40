package trial

import "slices"

// CopyFor returns a copy that chooses a version for a request of the session as this trial
// would. It shares the evidence with this trial: it must not be given any, nor be used
// while this trial changes.
func (t *Trial) CopyFor(session string) *Trial {
	c := *t
	c.ownArrivals.samples = slices.Clone(t.ownArrivals.samples)
	c.sessions = map[string]*sessionState{}
	if s := t.sessions[session]; s != nil {
		state := *s
		c.sessions[session] = &state
	}
	return &c
}
