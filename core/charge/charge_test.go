package charge

import (
	"fmt"
	"testing"

	_ "banyanyard/core/seeded"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestFullOutboxRefusesBeforeTheRun(t *testing.T) {
	is := is.New(t)
	o := New(2)
	is.True(o.Reserve())
	is.True(o.Reserve())
	is.True(!o.Reserve())
	o.Unreserve()
	is.True(o.Reserve())
}

// TestNoChargeIsLost runs random schedules of an owner that may die and a
// custodian, and checks that each charge ends in the table once.
func TestNoChargeIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := map[string]int{}
		write := func(batch []Numbered) {
			for _, n := range batch {
				table[n.Charge.Request]++
			}
		}
		owner, custodian := New(1000), New(1000)
		var custody Custody
		made := 0
		t.Repeat(map[string]func(*rapid.T){
			"charge": func(*rapid.T) {
				owner.Reserve()
				n := owner.Add(Charge{Request: fmt.Sprintf("r%d", made)})
				custody.Hold("owner", []Numbered{n})
				made++
			},
			"write": func(*rapid.T) {
				write(owner.Batch())
				custody.Release("owner", owner.Written())
			},
			"write with lost answer": func(*rapid.T) { write(owner.Batch()) },
			"failed write":           func(*rapid.T) { owner.Batch() },
			"owner dies": func(*rapid.T) {
				custodian.AddAll(custody.Take("owner"))
				owner = New(1000)
			},
			"": func(t *rapid.T) {
				pending := map[string]bool{}
				for _, n := range append(owner.All(), custodian.All()...) {
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
