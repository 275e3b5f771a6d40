package node

import (
	"context"
	"sync/atomic"

	platformfake "banyanyard/fake/platform"
	"banyanyard/io/platform"
)

// A nodeStore is one instance's connection to the platform.
type nodeStore struct {
	*platformfake.Platform
	disconnected atomic.Bool // every operation fails
}

// unavailable returns an error while the instance is disconnected.
func (s *nodeStore) unavailable() error {
	if s.disconnected.Load() {
		return &platform.UnavailableError{Op: "any", Cause: context.DeadlineExceeded}
	}
	return nil
}

func (s *nodeStore) Get(ctx context.Context, table, key string) (platform.Row, error) {
	if err := s.unavailable(); err != nil {
		return platform.Row{}, err
	}
	return s.Platform.Get(ctx, table, key)
}

func (s *nodeStore) Insert(ctx context.Context, table, key string, v any) (string, error) {
	if err := s.unavailable(); err != nil {
		return "", err
	}
	return s.Platform.Insert(ctx, table, key, v)
}

func (s *nodeStore) Replace(ctx context.Context, table, key, version string, v any) (string, error) {
	if err := s.unavailable(); err != nil {
		return "", err
	}
	return s.Platform.Replace(ctx, table, key, version, v)
}

func (s *nodeStore) InsertAll(ctx context.Context, table string, rows []platform.Row) error {
	if err := s.unavailable(); err != nil {
		return err
	}
	return s.Platform.InsertAll(ctx, table, rows)
}

func (s *nodeStore) GetObject(ctx context.Context, key string) ([]byte, error) {
	if err := s.unavailable(); err != nil {
		return nil, err
	}
	return s.Platform.GetObject(ctx, key)
}

func (s *nodeStore) Instances(ctx context.Context) ([]platform.Instance, error) {
	if err := s.unavailable(); err != nil {
		return nil, err
	}
	return s.Platform.Instances(ctx)
}
