package mesh

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"banyanyard/core/gossip"
	"banyanyard/core/member"
	"banyanyard/core/reach"
	"banyanyard/io/peer"
)

// memberPrefix begins the keys of entries about members.
const memberPrefix = "member/"

// syncTimeout bounds a comparison of rows with another instance.
const syncTimeout = 2 * time.Second

func memberEntry(s member.Status) gossip.Entry {
	data, err := json.Marshal(peer.NewStatus(s))
	if err != nil {
		panic(err) // cannot happen: a struct of strings and numbers
	}
	return gossip.Entry{Key: memberPrefix + s.ID, Version: s.Version(), Data: data}
}

// handleEntry processes one entry from another instance.
func (s *state) handleEntry(now time.Time, e gossip.Entry) {
	if strings.HasPrefix(e.Key, memberPrefix) {
		var status peer.Status
		if err := json.Unmarshal(e.Data, &status); err != nil {
			s.mesh.log.Line("news-rejected").Str("key", e.Key).Err(err).End()
			return
		}
		s.detector.Merge(now, status.Member())
		return
	}
	if s.putEntry(now, e) {
		s.mesh.events.HandleEntry(e)
	}
}

// maxIntroduced bounds the members of its own failure domain, and those of others,
// that an instance is told of when it starts. At 250 bytes each, a seed on a link
// of 10 Mbit/s answers 300 instances that start at once within 2 s.
const maxIntroduced = 12

// introductionEntries returns the members that an instance of a failure domain is
// told of when it starts: those that follow the store for that domain, and some
// others, and the entries of the EventHandler. Gossip does not repeat entries that have already reached all instances.
func (s *state) introductionEntries(domain string) []gossip.Entry {
	var own, others []member.Status
	for _, m := range s.detector.Members() {
		switch {
		case m.State >= member.Gone:
		case m.FailureDomain == domain:
			own = append(own, m)
		case len(others) < maxIntroduced:
			others = append(others, m)
		}
	}
	slices.SortFunc(own, func(a, b member.Status) int { return cmp.Compare(rank(b.Instance), rank(a.Instance)) })
	var entries []gossip.Entry
	for _, m := range append(own[:min(maxIntroduced, len(own))], others...) {
		entries = append(entries, memberEntry(m))
	}
	return append(entries, s.mesh.events.Introduction()...)
}

// applyRows stores rows from another instance, passes the newer ones on, and returns their
// number. A removed one may come back within the given time, as far as that instance knows.
func (s *state) applyRows(entries []gossip.Entry, mayReturnWithin time.Duration) (newer int) {
	for _, e := range entries {
		if s.replica.put(time.Now(), e) {
			s.mesh.events.HandleRow(e, mayReturnWithin)
			newer++
		}
	}
	if newer > 0 {
		s.skipRelayNumber()
	}
	return newer
}

// logRows logs that rows came from another instance: relayed by a root, or from the instance
// at an address with which they were compared.
func (s *state) logRows(event, from string, hops, newer int, age *time.Duration) {
	if newer == 0 {
		return
	}
	line := s.mesh.log.Line(event).Str("from", from).Int("rows", int64(newer)).Int("hops", int64(hops))
	if age != nil {
		line.Millis("age-ms", *age)
	}
	line.End()
}

// probe sends a message to a member, or asks others to probe it, and passes the
// outcome to the loop.
func (m *Mesh) probe(ctx context.Context, p member.Probe, e peer.Exchange) {
	if len(p.Via) > 0 {
		for _, via := range p.Via {
			go m.probeIndirectly(ctx, p, via)
		}
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, member.ProbeTimeout)
	defer cancel()
	answer, err := m.client.Exchange(callCtx, p.Address, e)
	m.enqueue(ctx, func(s *state) {
		now := time.Now()
		if err != nil {
			s.detector.ProbeFailed(now, p.ID)
			return
		}
		s.handleExchange(now, answer)
	})
}

func (m *Mesh) probeIndirectly(ctx context.Context, p member.Probe, via string) {
	callCtx, cancel := context.WithTimeout(ctx, member.ProbeTimeout)
	defer cancel()
	result, err := m.client.Probe(callCtx, via, peer.ProbeRequest{Address: p.Address, ID: p.ID})
	if err == nil && result.From != nil {
		m.enqueue(ctx, func(s *state) { s.detector.HeardFrom(time.Now(), result.From.Member()) })
	}
}

// A comparison compares the rows with those of the instance at an address, and transfers
// what either side lacks. It returns the age of that instance's rows, nil if it is not known.
type comparison func(ctx context.Context, address string) (age *time.Duration, err error)

// startSync starts a comparison. At its end, it calls done, which may be nil, with the age
// of the other instance's rows.
func (s *state) startSync(address string, compare comparison, timeout time.Duration, done func(s *state, age *time.Duration)) {
	s.comparing = true
	m, ctx := s.mesh, s.ctx
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		age, err := compare(callCtx, address)
		if err != nil && ctx.Err() == nil {
			m.log.Line("rows-not-compared").Str("address", address).Err(err).End()
		}
		m.enqueue(ctx, func(s *state) {
			s.comparing = false
			if done != nil {
				done(s, age)
			}
		})
	}()
}

// pullFrom is the comparison of an instance whose rows are old. Often nothing has changed,
// so that it compares checksums first: the versions of all rows are long.
func (m *Mesh) pullFrom(ctx context.Context, address string) (age *time.Duration, err error) {
	theirs, err := m.client.Sync(ctx, address, peer.SyncRequest{})
	if err != nil {
		return nil, err
	}
	equal, err := runInLoop(ctx, m, func(s *state) bool {
		return theirs.Checksum == s.replica.rare.rows.Checksum() && theirs.FrequentChecksum == s.replica.frequent.rows.Checksum()
	})
	if err != nil || equal {
		return theirs.Age, err
	}
	return m.compareAllRows(ctx, address)
}

// compareAllRows is the comparison of all rows.
func (m *Mesh) compareAllRows(ctx context.Context, address string) (age *time.Duration, err error) {
	return m.compareRows(ctx, address, true)
}

// compareRareRows is the comparison of the rows that change rarely.
func (m *Mesh) compareRareRows(ctx context.Context, address string) (age *time.Duration, err error) {
	return m.compareRows(ctx, address, false)
}

func (m *Mesh) compareRows(ctx context.Context, address string, all bool) (age *time.Duration, err error) {
	digest, err := runInLoop(ctx, m, func(s *state) map[string]uint64 { return s.replica.digest(all) })
	if err != nil {
		return nil, err
	}
	if len(digest) == 0 {
		digest[""] = 0 // an empty digest would be omitted and ask for no comparison
	}
	theirs, err := m.client.Sync(ctx, address, peer.SyncRequest{Digest: digest, RareOnly: !all})
	if err != nil {
		return nil, err
	}
	wanted, err := runInLoop(ctx, m, func(s *state) []gossip.Entry {
		s.logRows("rows-compared", address, 0, s.applyRows(theirs.Entries, 0), theirs.Age)
		return s.rowsByKey(theirs.Wanted)
	})
	if err != nil || len(wanted) == 0 {
		return theirs.Age, err
	}
	_, err = m.client.Sync(ctx, address, peer.SyncRequest{Entries: wanted})
	return theirs.Age, err
}

func (s *state) rowsByKey(keys []string) []gossip.Entry {
	var entries []gossip.Entry
	for _, key := range keys {
		if e, ok := s.replica.get(key); ok {
			entries = append(entries, e)
		}
	}
	return entries
}

// A handler implements peer.RowHandler.
type handler struct{ *Mesh }

// Exchange implements peer.GossipHandler.
func (h handler) Exchange(ctx context.Context, e peer.Exchange) (peer.Exchange, error) {
	return runInLoop(ctx, h.Mesh, func(s *state) peer.Exchange {
		// The message is built first, so that it still carries a suspicion of the
		// sender, which the probe itself may clear.
		answer := s.newExchange(e.From.ID)
		if _, known := s.detector.Get(e.From.ID); !known {
			answer.Entries = append(answer.Entries, s.introductionEntries(e.From.FailureDomain)...)
		}
		s.handleExchange(time.Now(), e)
		answer.From = peer.NewStatus(s.detector.Self())
		return answer
	})
}

// Probe implements peer.GossipHandler.
func (h handler) Probe(ctx context.Context, p peer.ProbeRequest) (peer.ProbeResult, error) {
	message, err := runInLoop(ctx, h.Mesh, func(s *state) peer.Exchange { return s.newExchange(p.ID) })
	if err != nil {
		return peer.ProbeResult{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, member.ProbeTimeout)
	defer cancel()
	answer, err := h.client.Exchange(ctx, p.Address, message)
	if err != nil {
		// The missing answer is the result of this call, not an error.
		return peer.ProbeResult{}, nil
	}
	return peer.ProbeResult{From: &answer.From}, nil
}

// Sync implements peer.GossipHandler. It compares rows.
func (h handler) Sync(ctx context.Context, q peer.SyncRequest) (peer.SyncResult, error) {
	return runInLoop(ctx, h.Mesh, func(s *state) peer.SyncResult {
		s.applyRows(q.Entries, 0)
		result := peer.SyncResult{Checksum: s.replica.rare.rows.Checksum(), FrequentChecksum: s.replica.frequent.rows.Checksum(), Age: ageOf(time.Now(), s.mesh.AsOf())}
		if q.Digest != nil {
			result.Entries, result.Wanted = s.replica.compare(q.Digest, !q.RareOnly)
		}
		return result
	})
}

// Reach implements peer.RowHandler.
func (h handler) Reach(_ context.Context, q reach.Question) (reach.Answer, error) {
	return h.events.Reach(q), nil
}

// Report implements peer.RowHandler.
func (h handler) Report(ctx context.Context, e gossip.Entry) (gossip.Entry, error) {
	if e.Key == demandKey {
		return gossip.Entry{}, h.learnDemand(ctx, e)
	}
	return h.events.HandleReport(e), nil
}
