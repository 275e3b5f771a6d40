package trial

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// oldSessionsDelay is the time from the order until new sessions go to the new
// version. By then the instances have learned which sessions use the old one.
const oldSessionsDelay = 1500 * time.Millisecond

// A SessionHash identifies a session in reports.
type SessionHash uint64

func hashSession(session string) SessionHash { return SessionHash(xxhash.Sum64String(session)) }

// OldSessions lists sessions that have used the old version, with the time since
// their last request.
type OldSessions map[SessionHash]time.Duration

// oldCanarySessions returns the recent sessions on the old version that would go
// to the new one if they were unknown. They are few, since the share is small.
func (t *Trial) oldCanarySessions(now time.Time) OldSessions {
	if now.Sub(t.startTime) >= t.earliestMove() {
		return nil
	}
	share := t.canaryShare()
	old := OldSessions{}
	for session, s := range t.sessions {
		if age := now.Sub(s.lastSeen); !s.onNew && age <= t.bounds.SessionTimeout && t.keyInShare(session, share) {
			old[hashSession(session)] = age
		}
	}
	return old
}

// knownOldSessions returns the sessions of oldCanarySessions at all instances that
// have reported to this one.
func (t *Trial) knownOldSessions(now time.Time) OldSessions {
	old := t.oldCanarySessions(now)
	for h, at := range t.foreignSessions {
		age := now.Sub(at)
		if age > t.bounds.SessionTimeout {
			delete(t.foreignSessions, h)
			continue
		}
		if known, ok := old[h]; old != nil && (!ok || age < known) {
			old[h] = age
		}
	}
	return old
}

// learnOldSessions records sessions that use the old version at other instances.
func (t *Trial) learnOldSessions(now time.Time, old OldSessions) {
	for h, age := range old {
		if at := now.Add(-age); at.After(t.foreignSessions[h]) {
			t.foreignSessions[h] = at
		}
	}
}

// usesOldElsewhere reports whether another instance has had the session on the old
// version recently, or may have and this instance would not know yet.
func (t *Trial) usesOldElsewhere(now time.Time, session string) bool {
	elapsed := now.Sub(t.startTime)
	if session == "" || elapsed >= t.earliestMove() {
		return false
	}
	at, known := t.foreignSessions[hashSession(session)]
	return elapsed < oldSessionsDelay || known && now.Sub(at) <= t.bounds.SessionTimeout
}
