package platform_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"banyanyard/core/revision"
	platformfake "banyanyard/fake/platform"
	"banyanyard/io/platform"

	"github.com/matryer/is"
)

// A history is what operators were told about their lines.
type history struct {
	mu       sync.Mutex
	accepted map[string]bool // guarded by mu
	refused  map[string]bool // guarded by mu
	unknown  map[string]bool // guarded by mu
}

func (h *history) note(line string, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var unknown *platform.ApplyUnknownError
	switch {
	case err == nil:
		h.accepted[line] = true
	case errors.As(err, &unknown):
		h.unknown[line] = true
	default:
		h.refused[line] = true
	}
}

// faulty chooses a fault for each call, by a seed.
func faulty(seed uint64) func(platformfake.Call) platformfake.Fault {
	var mu sync.Mutex
	r := rand.New(rand.NewPCG(seed, seed))
	return func(platformfake.Call) platformfake.Fault {
		mu.Lock()
		defer mu.Unlock()
		if r.IntN(3) > 0 {
			return platformfake.None
		}
		return []platformfake.Fault{platformfake.Refuse, platformfake.DropResponse, platformfake.DropRequest}[r.IntN(3)]
	}
}

// addLine reads the rules in force and applies them with one line more.
func addLine(p *platformfake.Platform, line string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	head, _, err := platform.ReadHead(ctx, p)
	if err != nil {
		return err
	}
	text := ""
	if head.Number > 0 {
		if text, err = platform.ReadRules(ctx, p, head); err != nil {
			return err
		}
	}
	_, err = platform.ApplyRules(ctx, p, head.Number, text+line, "T")
	return err
}

// TestRacingOperatorsUnderFaults has operators race each other while the
// platform fails at every third call. What they were told has to be true, and
// no accepted line may be lost.
func TestRacingOperatorsUnderFaults(t *testing.T) {
	for seed := uint64(1); seed <= 200; seed++ {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			p := &platformfake.Platform{}
			p.SetFaults(faulty(seed))
			h := &history{accepted: map[string]bool{}, refused: map[string]bool{}, unknown: map[string]bool{}}
			var operators sync.WaitGroup
			for operator := range 3 {
				operators.Go(func() {
					for i := range 4 {
						line := fmt.Sprintf("service = { id = \"s%d-%d\" } # T%d\n", operator, i, operator)
						h.note(line, addLine(p, line))
						time.Sleep(time.Duration(operator+1) * 70 * time.Millisecond)
					}
				})
			}
			operators.Wait()
			p.SetFaults(nil)
			head, _, err := platform.ReadHead(context.Background(), p)
			is.NoErr(err)
			text := ""
			if head.Number > 0 {
				text, err = platform.ReadRules(context.Background(), p, head)
				is.NoErr(err)
			}
			for line := range h.accepted {
				if !strings.Contains(text, line) {
					t.Fatalf("seed %d: %q was accepted and is not in force", seed, line)
				}
			}
			for line := range h.refused {
				if strings.Contains(text, line) {
					t.Fatalf("seed %d: %q was refused and is in force", seed, line)
				}
			}
			is.Equal(int(head.Number), strings.Count(text, "\n")) // one revision a line, none lost
		})
	}
}

func TestHeadCarriesItsPatch(t *testing.T) {
	is := is.New(t)
	p := &platformfake.Platform{}
	is.NoErr(addLine(p, "service = { id = \"a\" } # T\n"))
	before, _, err := platform.ReadHead(t.Context(), p)
	is.NoErr(err)
	old, err := platform.ReadRules(t.Context(), p, before)
	is.NoErr(err)
	is.NoErr(addLine(p, "service = { id = \"b\" } # T\n"))
	head, _, err := platform.ReadHead(t.Context(), p)
	is.NoErr(err)
	text, ok := head.PatchedText(old)
	is.True(ok)
	is.True(strings.Contains(text, `"b"`))
	_, ok = head.PatchedText("another text")
	is.True(!ok) // its hash would differ
}

func TestOldHeadIsNotTaken(t *testing.T) {
	is := is.New(t)
	var c revision.Current
	is.NoErr(c.Advance(revision.Head{Number: 3}))
	var stale *revision.StaleError
	is.True(errors.As(c.Advance(revision.Head{Number: 2}), &stale))
	is.True(c.Advance(revision.Head{Number: 3}) != nil)
	is.Equal(c.Head().Number, int64(3))
}
