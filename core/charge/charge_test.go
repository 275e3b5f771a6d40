package charge

import (
	"fmt"
	"testing"

	_ "banyanyard/core/seeded"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestReserveFailsWhenFull(t *testing.T) {
	is := is.New(t)
	o := NewOutbox(2)
	is.True(o.Reserve())
	is.True(o.Reserve())
	is.True(!o.Reserve())
	o.Unreserve()
	is.True(o.Reserve())
}

// TestNoChargeIsLost runs random schedules of an owner that may die and an
// instance that holds replicas of its charges, and checks that each charge is in
// the table or in one of the outboxes.
func TestNoChargeIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := map[string]int{}
		write := func(batch []Entry) {
			for _, n := range batch {
				table[n.Charge.Request]++
			}
		}
		owner, holder := NewOutbox(1000), NewOutbox(1000)
		var replicas Replicas
		made := 0
		t.Repeat(map[string]func(*rapid.T){
			"charge": func(*rapid.T) {
				owner.Reserve()
				n := owner.Add(Charge{Request: fmt.Sprintf("r%d", made)})
				replicas.Hold("owner", []Entry{n})
				made++
			},
			"write": func(*rapid.T) {
				write(owner.Batch())
				replicas.Release("owner", owner.MarkWritten())
			},
			"write with lost reply": func(*rapid.T) { write(owner.Batch()) },
			"failed write":          func(*rapid.T) { owner.Batch() },
			"owner dies": func(*rapid.T) {
				holder.AddTakenOver(replicas.TakeOver("owner"))
				owner = NewOutbox(1000)
			},
			"": func(t *rapid.T) {
				pending := map[string]bool{}
				for _, n := range append(owner.All(), holder.All()...) {
					pending[n.Charge.Request] = true
				}
				for i := range made {
					id := fmt.Sprintf("r%d", i)
					if table[id] == 0 && !pending[id] {
						t.Fatalf("charge %s is lost", id)
					}
				}
			},
		})
	})
}
