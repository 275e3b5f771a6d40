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

// maxCachedSessions is the size of an instance's cache of sessions whose callers
// send only an identifier.
const maxCachedSessions = 20_000

// A sessionTable is the part of the platform that stores sessions.
type sessionTable interface {
	Get(ctx context.Context, table, key string) (platform.Row, error)
	Insert(ctx context.Context, table, key string, value any) (string, error)
	Replace(ctx context.Context, table, key, version string, value any) (string, error)
}

// A sessionStore stores the sessions of callers that send only an identifier: one
// row of the platform's table each, written when the session is assigned a
// version. It is safe for concurrent use.
type sessionStore struct {
	table sessionTable
	cache *lru.Cache[string, storedSession]
}

// A storedSession is a row of the table.
type storedSession struct {
	session *session.Session // immutable
	version string           // of the row
}

func newSessionStore(table sessionTable) *sessionStore {
	cache, err := lru.New[string, storedSession](maxCachedSessions)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &sessionStore{table: table, cache: cache}
}

// sessionRowKey returns the key of a session in the platform's table.
func sessionRowKey(organisation, id string) string { return organisation + "/" + id }

// OpenSession implements caller.Router. A session token is valid at any instance.
// The session of a bare identifier is read from the platform's table. Without
// either, the session is new.
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

// open returns the session with the given identifier, or a new one if the table
// has none. If the session is not cached and the table can't be read, the new
// session has LookupFailed set.
func (s *sessionStore) open(ctx context.Context, organisation, id string) *session.Session {
	key := sessionRowKey(organisation, id)
	if stored, ok := s.cache.Get(key); ok {
		return stored.session.Clone()
	}
	found := &session.Session{Organisation: organisation, ID: id, CallerChoseID: true}
	stored, err := s.read(ctx, key)
	switch {
	case err == nil:
		return stored.session.Clone()
	case !errors.Is(err, platform.ErrNotFound):
		found.LookupFailed = true
	}
	return found
}

func (s *sessionStore) read(ctx context.Context, key string) (storedSession, error) {
	row, err := s.table.Get(ctx, platform.TableSessions, key)
	if err != nil {
		return storedSession{}, err
	}
	var found session.Session
	if err := json.Unmarshal(row.Value, &found); err != nil {
		return storedSession{}, err
	}
	found.CallerChoseID = true
	stored := storedSession{session: &found, version: row.Version}
	s.cache.Add(key, stored)
	return stored, nil
}

// save writes the versions of a session whose identifier the caller chose, if
// they have changed. It returns the stored session if another instance has stored
// different versions first, and nil otherwise.
func (s *sessionStore) save(ctx context.Context, before, after *session.Session) *session.Session {
	if !after.CallerChoseID || maps.Equal(before.Versions, after.Versions) {
		return nil
	}
	key := sessionRowKey(after.Organisation, after.ID)
	stored, known := s.cache.Get(key)
	var version string
	var err error
	if known {
		version, err = s.table.Replace(ctx, platform.TableSessions, key, stored.version, after)
	} else {
		version, err = s.table.Insert(ctx, platform.TableSessions, key, after)
	}
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return s.reread(ctx, key, after)
	}
	if err == nil {
		s.cache.Add(key, storedSession{session: after.Clone(), version: version})
	}
	// If the table is unavailable, the session continues with the versions chosen
	// here. Its caller may send the token, which needs no table.
	return nil
}

// reread returns the session in the table if its versions differ from own's, and
// nil otherwise.
func (s *sessionStore) reread(ctx context.Context, key string, own *session.Session) *session.Session {
	s.cache.Remove(key)
	stored, err := s.read(ctx, key)
	if err != nil || maps.Equal(stored.session.Versions, own.Versions) {
		return nil
	}
	return stored.session.Clone()
}
