package caller

import (
	"fmt"
	"sync"
	"sync/atomic"
)

// A SlowReaderError reports a caller that has not read for a while.
type SlowReaderError struct{ HeldBytes int }

func (e *SlowReaderError) Error() string {
	return fmt.Sprintf("the caller does not read (%d bytes are waiting for it): read faster, or ask for a shorter answer", e.HeldBytes)
}

// A memory bounds the bytes that are held for callers, for each organisation
// and for the instance.
type memory struct {
	organisationLimit int64
	instanceLimit     int64
	total             atomic.Int64

	mu            sync.Mutex
	organisations map[string]*atomic.Int64 // guarded by mu
}

func newMemory(l Limits) *memory {
	return &memory{
		organisationLimit: l.OrganisationBytes,
		instanceLimit:     l.InstanceBytes,
		organisations:     map[string]*atomic.Int64{},
	}
}

func (m *memory) held() int64 { return m.total.Load() }

// account returns the counter of an organisation.
func (m *memory) account(organisation string) *atomic.Int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.organisations[organisation]
	if a == nil {
		a = new(atomic.Int64)
		m.organisations[organisation] = a
	}
	return a
}

// take reserves n bytes, or nothing when a limit would be exceeded.
func (m *memory) take(account *atomic.Int64, n int64) bool {
	if account.Add(n) > m.organisationLimit {
		account.Add(-n)
		return false
	}
	if m.total.Add(n) > m.instanceLimit {
		m.give(account, n)
		return false
	}
	return true
}

// force reserves n bytes that are needed for an answer to make progress.
func (m *memory) force(account *atomic.Int64, n int64) {
	account.Add(n)
	m.total.Add(n)
}

// give returns n bytes.
func (m *memory) give(account *atomic.Int64, n int64) {
	account.Add(-n)
	m.total.Add(-n)
}
