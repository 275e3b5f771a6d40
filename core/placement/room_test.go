package placement

import (
	"fmt"
	"testing"
	"time"

	"banyanyard/core/load"

	"github.com/matryer/is"
)

func TestRoom(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	var names []string
	for i := range minSharedInstances {
		names = append(names, fmt.Sprint("i", i))
	}
	_, known := f.Room(start, "s", false)
	is.True(!known) // without news
	f.SetInstances(names)
	f.SetLoad(start, load.Sum{Instances: minSharedInstances, Unread: map[string]int{"u0": 100, "u1": 100, "u2": 100}})
	room, known := f.Room(start.Add(time.Second), "s", false)
	is.True(known)
	is.Equal(room.Shortest, time.Duration(0)) // at u3
	is.True(room.Wait > 50*time.Millisecond && room.Wait < 10_000*room.PerToken)
	is.Equal(room.Age, time.Second)
	f.Pick(start, Criteria{Service: "s", PromptWork: 3_000, Kind: "k"})
	more, _ := f.Room(start.Add(time.Second), "s", false)
	is.True(more.Wait > room.Wait) // own starts count
	_, known = f.Room(start.Add(sharedLoadTimeout), "s", false)
	is.True(!known) // the news is old
}

// BenchmarkRoom measures it among 90 upstreams.
func BenchmarkRoom(b *testing.B) {
	f := newFleet(90)
	names := make([]string, minSharedInstances)
	for i := range names {
		names[i] = fmt.Sprint("i", i)
	}
	f.SetInstances(names)
	f.SetLoad(start, load.Sum{Instances: len(names)})
	for b.Loop() {
		f.Room(start, "s", false)
	}
}
