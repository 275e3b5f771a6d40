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

// outcomes records the reported outcome of each applied line.
type outcomes struct {
	mu       sync.Mutex
	accepted map[string]bool // guarded by mu
	refused  map[string]bool // guarded by mu
	unknown  map[string]bool // guarded by mu
}

func (o *outcomes) record(line string, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var unknown *platform.ApplyUnknownError
	switch {
	case err == nil:
		o.accepted[line] = true
	case errors.As(err, &unknown):
		o.unknown[line] = true
	default:
		o.refused[line] = true
	}
}

// randomFaults returns a function that picks a fault for one call in three on
// average, determined by seed.
func randomFaults(seed uint64) func(platformfake.Call) platformfake.Fault {
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

// addLine reads the rules in force, appends line and applies the result.
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

// TestConcurrentApplyWithFaults runs three operators that add lines concurrently
// while one platform call in three fails on average. No line reported as accepted
// may be missing and no line reported as refused may be in force.
func TestConcurrentApplyWithFaults(t *testing.T) {
	for seed := uint64(1); seed <= 200; seed++ {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			p := &platformfake.Platform{}
			p.SetFaults(randomFaults(seed))
			recorded := &outcomes{accepted: map[string]bool{}, refused: map[string]bool{}, unknown: map[string]bool{}}
			var operators sync.WaitGroup
			for operator := range 3 {
				operators.Go(func() {
					for i := range 4 {
						line := fmt.Sprintf("service = { id = \"s%d-%d\" } # T%d\n", operator, i, operator)
						recorded.record(line, addLine(p, line))
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
			for line := range recorded.accepted {
				if !strings.Contains(text, line) {
					t.Fatalf("seed %d: %q was accepted but is not in force", seed, line)
				}
			}
			for line := range recorded.refused {
				if strings.Contains(text, line) {
					t.Fatalf("seed %d: %q was refused but is in force", seed, line)
				}
			}
			is.Equal(int(head.Number), strings.Count(text, "\n")) // one revision per line, none lost
		})
	}
}

func TestHeadContainsPatch(t *testing.T) {
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
	is.True(!ok) // the hash of the result does not match
}

func TestOlderHeadIsRejected(t *testing.T) {
	is := is.New(t)
	var c revision.Current
	is.NoErr(c.Advance(revision.Head{Number: 3}))
	var stale *revision.StaleError
	is.True(errors.As(c.Advance(revision.Head{Number: 2}), &stale))
	is.True(c.Advance(revision.Head{Number: 3}) != nil)
	is.Equal(c.Head().Number, int64(3))
}
