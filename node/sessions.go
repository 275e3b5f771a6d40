package node

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"

	"banyanyard/core/session"
	"banyanyard/io/platform"
)

// OpenSession implements caller.Router. A caller that returns a token continues
// its session at any instance. A caller that sends only an identifier continues
// the session that the platform's table has under it.
func (n *Node) OpenSession(ctx context.Context, organisation, token, id string) (*session.Session, error) {
	if token != "" {
		s, err := session.Open(n.sessionKey, token, organisation)
		if err != nil {
			return nil, err
		}
		if s.Versions == nil {
			s.Versions = map[string]string{}
		}
		return s, nil
	}
	s := &session.Session{Organisation: organisation, ID: id, Versions: map[string]string{}}
	if id == "" {
		s.ID = rand.Text()
		return s, nil
	}
	row, err := n.store.Get(ctx, platform.TableSessions, sessionKey(organisation, id))
	if errors.Is(err, platform.ErrNotFound) {
		return s, nil
	}
	if err != nil {
		return nil, err
	}
	return s, json.Unmarshal(row.Value, s)
}

// SealSession implements caller.Router.
func (n *Node) SealSession(s *session.Session) (string, error) {
	return session.Seal(n.sessionKey, s)
}

func sessionKey(organisation, id string) string { return organisation + "/" + id }
