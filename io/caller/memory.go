package caller

import (
	"fmt"
	"sync"
	"sync/atomic"
)

// A SlowReaderError reports a caller whose buffer stayed full for
// Limits.StallTimeout.
type SlowReaderError struct{ HeldBytes int }

func (e *SlowReaderError) Error() string {
	return fmt.Sprintf("the caller reads too slowly (%d bytes are buffered for it): read faster, or ask for a shorter answer", e.HeldBytes)
}

// A memoryBudget bounds the bytes that are buffered for callers, for each
// organisation and for the instance.
type memoryBudget struct {
	organisationLimit int64
	instanceLimit     int64
	total             atomic.Int64

	mu            sync.Mutex
	organisations map[string]*atomic.Int64 // guarded by mu
}

func newMemoryBudget(l Limits) *memoryBudget {
	return &memoryBudget{
		organisationLimit: l.OrganisationBytes,
		instanceLimit:     l.InstanceBytes,
		organisations:     map[string]*atomic.Int64{},
	}
}

func (m *memoryBudget) held() int64 { return m.total.Load() }

// account returns the counter of an organisation's reserved bytes.
func (m *memoryBudget) account(organisation string) *atomic.Int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.organisations[organisation]
	if a == nil {
		a = new(atomic.Int64)
		m.organisations[organisation] = a
	}
	return a
}

// tryReserve reserves n bytes, or returns false when a limit would be exceeded.
func (m *memoryBudget) tryReserve(account *atomic.Int64, n int64) bool {
	if account.Add(n) > m.organisationLimit {
		account.Add(-n)
		return false
	}
	if m.total.Add(n) > m.instanceLimit {
		m.release(account, n)
		return false
	}
	return true
}

// reserveAlways reserves n bytes even beyond the limits. It is for bytes without
// which an answer can't make progress.
func (m *memoryBudget) reserveAlways(account *atomic.Int64, n int64) {
	account.Add(n)
	m.total.Add(n)
}

// release frees n reserved bytes.
func (m *memoryBudget) release(account *atomic.Int64, n int64) {
	account.Add(-n)
	m.total.Add(-n)
}
