package mesh

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"banyanyard/core/gossip"
	"banyanyard/core/load"
	"banyanyard/core/member"
	"banyanyard/io/jsonlog"
	"banyanyard/io/peer"

	"github.com/matryer/is"
)

// rowEvents is an EventHandler that records the rows from other instances.
type rowEvents struct {
	EventHandler
	versions map[string]uint64 // by key
	dials    int               // tries to connect to others
}

func (e *rowEvents) HandleMembers([]member.Status) {}
func (e *rowEvents) HandleLoad(load.Sum)           {}
func (e *rowEvents) HandleRow(entry gossip.Entry, _ time.Duration) {
	e.versions[entry.Key] = entry.Version
}
func (e *rowEvents) Demand() map[string]load.Demand  { return nil }
func (e *rowEvents) RunningAttempts() map[string]int { return nil }

// A clockFollower is a StoreFollower that knows the store's clock exactly.
type clockFollower struct {
	fakeFollower
	zero time.Time // when the store's clock showed 0
}

func (c clockFollower) StoreTime(at time.Time) (time.Duration, bool) { return at.Sub(c.zero), true }
func (c clockFollower) LocalTime(_ time.Time, told, _ time.Duration) (time.Time, bool) {
	return c.zero.Add(told), true
}

// relayTo runs f in a bubble with an instance that follows nothing but what update sends it.
func relayTo(t *testing.T, f func(is *is.I, m *Mesh, known *rowEvents, update func(peer.RowUpdate))) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		events := &rowEvents{versions: map[string]uint64{}}
		dial := func(context.Context, string, string) (net.Conn, error) {
			events.dials++
			return nil, syscall.ECONNREFUSED
		}
		log := jsonlog.New(io.Discard)
		defer log.Close()
		m := New(member.Identity{ID: "i1-1", Instance: "i1", Address: "10.9.0.1:1", FailureDomain: "a"}, events, clockFollower{zero: time.Now()}, log, dial)
		go m.runLoop(t.Context(), nil)
		f(is, m, events, func(u peer.RowUpdate) {
			u.From, u.Root, u.Stream = "10.9.0.2:1", "i2", "i2-1"
			_, err := handler{m}.UpdateRows(t.Context(), u)
			is.NoErr(err)
		})
	})
}

// bundleOf returns a bundle of rows.
func bundleOf(is *is.I, rows ...gossip.Entry) peer.Bundle {
	b, err := peer.NewBundle(rows)
	is.NoErr(err)
	return b
}

// TestRowsOfOvertakenRelayAreKnown guards against rows that are lost when a later relay arrives first.
func TestRowsOfOvertakenRelayAreKnown(t *testing.T) {
	relayTo(t, func(is *is.I, _ *Mesh, known *rowEvents, update func(peer.RowUpdate)) {
		update(peer.RowUpdate{Number: 1})
		update(peer.RowUpdate{Number: 3})
		update(peer.RowUpdate{Number: 2, Entries: bundleOf(is, entry("servers/u", 7))})
		is.Equal(known.versions["servers/u"], uint64(7))
	})
}

// TestRelayDoesNotVouchForMissedOnes guards against old rows that count as recent because a later relay has arrived.
func TestRelayDoesNotVouchForMissedOnes(t *testing.T) {
	row := entry("servers/u", 7)
	var rows gossip.Store
	rows.PutWithoutSending(row)
	recent := 10 * time.Millisecond
	tests := []struct {
		name     string
		arrives  bool   // the relay with the row
		previous uint64 // that the last relay names
		legacy   bool   // the root is of a release whose relays name none
		want     bool   // the last relay vouches for the rows
	}{
		{name: "with rows, missed", previous: 2},
		{name: "with rows, arrived", arrives: true, previous: 2, want: true},
		{name: "with rows, missed, earlier release", legacy: true},
		{name: "with rows, arrived, earlier release", arrives: true, legacy: true, want: true},
		{name: "without rows, missed", previous: 0, want: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			relayTo(t, func(is *is.I, m *Mesh, _ *rowEvents, update func(peer.RowUpdate)) {
				update(peer.RowUpdate{Number: 1, Previous: new(uint64), Age: &recent})
				time.Sleep(5 * time.Second)
				if tt.arrives {
					update(peer.RowUpdate{Number: 2, Previous: new(uint64), Age: &recent, FrequentChecksum: rows.Checksum(), Entries: bundleOf(is, row)})
				}
				time.Sleep(5 * time.Second)
				last := peer.RowUpdate{Number: 3, Previous: &tt.previous, Age: &recent, FrequentChecksum: rows.Checksum()}
				if tt.legacy {
					last.Previous = nil
				}
				update(last)
				is.Equal(time.Since(m.AsOf()) < time.Second, tt.want)
			})
		})
	}
}

// TestAgeOfRelayIncludesItsWay guards against old rows that count as recent because their relay took long to arrive.
func TestAgeOfRelayIncludesItsWay(t *testing.T) {
	tests := []struct {
		name string
		told bool // the root tells the store's time
		way  time.Duration
		want time.Duration // age of the rows as they arrive
	}{
		{name: "at once", told: true, want: 300 * time.Millisecond},
		{name: "slow", told: true, way: 4 * time.Second, want: 4300 * time.Millisecond},
		{name: "slow, earlier release", way: 4 * time.Second, want: 300 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			relayTo(t, func(is *is.I, m *Mesh, _ *rowEvents, update func(peer.RowUpdate)) {
				time.Sleep(10 * time.Second)
				age, asOf := 300*time.Millisecond, 9700*time.Millisecond
				u := peer.RowUpdate{Number: 1, Age: &age}
				if tt.told {
					u.AsOf = &asOf
				}
				time.Sleep(tt.way)
				update(u)
				is.Equal(time.Since(m.AsOf()), tt.want)
			})
		})
	}
}

// TestDroppedRowsAreNotVouchedFor guards against old rows that count as recent at those to whom a new root relays.
func TestDroppedRowsAreNotVouchedFor(t *testing.T) {
	is := is.New(t)
	s := newTestState()
	s.relayNumber = 4
	s.unsentRows = []gossip.Entry{entry("servers/u", 7)}
	s.flushRows()
	is.Equal(len(s.unsentRows), 0)
	is.Equal(s.rowsNumber, uint64(5)) // which nobody receives
	is.Equal(s.relayNumber, s.rowsNumber)
}

// TestRowsAreNotFetchedWhileTheyAreReread guards against a large row that all instances of a failure domain fetch from its root.
func TestRowsAreNotFetchedWhileTheyAreReread(t *testing.T) {
	relayTo(t, func(is *is.I, _ *Mesh, known *rowEvents, update func(peer.RowUpdate)) {
		recent, previous := 10*time.Millisecond, uint64(1)
		update(peer.RowUpdate{Number: 1, Previous: new(uint64), Age: &recent, RareChecksum: 7, Reread: true})
		update(peer.RowUpdate{Number: 2, Previous: &previous, Age: &recent, RareChecksum: 7})
		synctest.Wait()
		is.Equal(known.dials, 0)
		time.Sleep(settleTime)
		update(peer.RowUpdate{Number: 3, Previous: &previous, Age: &recent, RareChecksum: 7})
		synctest.Wait()
		is.True(known.dials > 0)
	})
}
