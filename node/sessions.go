package node

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"maps"

	"banyanyard/core/session"
	"banyanyard/io/platform"

	lru "github.com/hashicorp/golang-lru/v2"
)

// cachedSessions bounds the sessions that an instance remembers for callers
// that send only an identifier.
const cachedSessions = 20_000

// A sessionTable is what keeping sessions needs of the platform.
type sessionTable interface {
	Get(ctx context.Context, table, key string) (platform.Row, error)
	Insert(ctx context.Context, table, key string, value any) (string, error)
	Replace(ctx context.Context, table, key, version string, value any) (string, error)
}

// sessions keeps the sessions of callers that send only an identifier: one row
// of the platform's table each, written when the session gets a version.
type sessions struct {
	table sessionTable
	cache *lru.Cache[string, keptSession]
}

// A keptSession is a row of the table.
type keptSession struct {
	session *session.Session // never changed
	version string           // of the row
}

func newSessions(table sessionTable) *sessions {
	cache, err := lru.New[string, keptSession](cachedSessions)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &sessions{table: table, cache: cache}
}

func rowOf(organisation, id string) string { return organisation + "/" + id }

// OpenSession implements caller.Router. A caller that returns a token continues
// its session at any instance. A caller that sends only an identifier continues
// the session that the platform's table has under it.
func (n *Node) OpenSession(ctx context.Context, organisation, token, id string) (*session.Session, error) {
	if token != "" {
		return session.VerifyToken(n.sessionKey, token, organisation)
	}
	if id == "" {
		return &session.Session{Organisation: organisation, ID: rand.Text()}, nil
	}
	return n.sessions.open(ctx, organisation, id), nil
}

// SessionToken implements caller.Router.
func (n *Node) SessionToken(s *session.Session) (string, error) {
	return session.SignToken(n.sessionKey, s)
}

// open returns the session with an identifier. While the table can't be read,
// a session that this instance doesn't know has LookupFailed set.
func (s *sessions) open(ctx context.Context, organisation, id string) *session.Session {
	key := rowOf(organisation, id)
	if kept, ok := s.cache.Get(key); ok {
		return kept.session.Clone()
	}
	found := &session.Session{Organisation: organisation, ID: id, CallerChoseID: true}
	kept, err := s.read(ctx, key)
	switch {
	case err == nil:
		return kept.session.Clone()
	case !errors.Is(err, platform.ErrNotFound):
		found.LookupFailed = true
	}
	return found
}

func (s *sessions) read(ctx context.Context, key string) (keptSession, error) {
	row, err := s.table.Get(ctx, platform.TableSessions, key)
	if err != nil {
		return keptSession{}, err
	}
	var found session.Session
	if err := json.Unmarshal(row.Value, &found); err != nil {
		return keptSession{}, err
	}
	found.CallerChoseID = true
	kept := keptSession{session: &found, version: row.Version}
	s.cache.Add(key, kept)
	return kept, nil
}

// keep writes the versions that a named session has got. It returns the session
// as another instance has kept it when that one was first.
func (s *sessions) keep(ctx context.Context, before, after *session.Session) *session.Session {
	if !after.CallerChoseID || maps.Equal(before.Versions, after.Versions) {
		return nil
	}
	key := rowOf(after.Organisation, after.ID)
	kept, known := s.cache.Get(key)
	var version string
	var err error
	if known {
		version, err = s.table.Replace(ctx, platform.TableSessions, key, kept.version, after)
	} else {
		version, err = s.table.Insert(ctx, platform.TableSessions, key, after)
	}
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return s.reread(ctx, key, after)
	}
	if err == nil {
		s.cache.Add(key, keptSession{session: after.Clone(), version: version})
	}
	// Without the table the session goes on as this instance has decided. Its
	// caller may return the token, which needs no table.
	return nil
}

// reread returns the session in the table when it differs from this instance's.
func (s *sessions) reread(ctx context.Context, key string, own *session.Session) *session.Session {
	s.cache.Remove(key)
	kept, err := s.read(ctx, key)
	if err != nil || maps.Equal(kept.session.Versions, own.Versions) {
		return nil
	}
	return kept.session.Clone()
}
