package node

import (
	"fmt"
	"strconv"
	"sync"
	"testing"
	"time"

	enginefake "banyanyard/fake/engine"
)

// TestCrashingRequestIsRefusedByEveryInstance sends a request that crashes every
// engine that runs it, alongside harmless requests. A harmless request that ran
// on a crashed engine may be suspected and refused for a short time.
func TestCrashingRequestIsRefusedByEveryInstance(t *testing.T) {
	scenario(t, func(d *deployment) {
		d.setFaults("small", enginefake.Faults{CrashOnPrompt: "poison"})
		var callers sync.WaitGroup
		for i := range 9 {
			callers.Go(func() {
				for turn := range 5 {
					d.sendUntilAnswered(request{node: (i + turn) % 3, body: completionBody("small", fmt.Sprintf("innocent %d", i), false)})
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
		d.send(request{node: 0, body: completionBody("small", "poison", false)})
		callers.Wait()
		time.Sleep(3 * time.Second)
		before := d.ran("small")
		for i := range 3 {
			r := d.send(request{node: i, body: completionBody("small", "poison", false)})
			d.is.Equal(r.status, 422)
			d.is.Equal(r.problem.Run, "not-run")
		}
		d.is.Equal(d.ran("small"), before)
	})
}

// TestCrashOnReusedConnectionsIsCounted sends the request through an instance that
// has idle connections to all engines. A crash then looks like an engine that has
// closed an idle connection.
func TestCrashOnReusedConnectionsIsCounted(t *testing.T) {
	scenario(t, func(d *deployment) {
		var callers sync.WaitGroup
		for i := range 30 {
			callers.Go(func() {
				d.sendUntilAnswered(request{node: 0, body: completionBody("small", fmt.Sprintf("innocent %d", i), false)})
			})
		}
		callers.Wait()
		d.setFaults("small", enginefake.Faults{CrashOnPrompt: "poison"})
		d.send(request{node: 0, body: completionBody("small", "poison", false)})
		time.Sleep(3 * time.Second)
		before := d.ran("small")
		for i := range 3 {
			r := d.send(request{node: i, body: completionBody("small", "poison", false)})
			d.is.Equal(r.status, 422)
			d.is.Equal(r.problem.Run, "not-run")
		}
		d.is.Equal(d.ran("small"), before)
	})
}

// sendUntilAnswered sends a request, and repeats it after the time in Retry-After
// while it is refused. It reports a test error after 30 s.
func (d *deployment) sendUntilAnswered(r request) {
	begin := time.Now()
	for {
		got := d.send(r)
		if got.status == 200 {
			return
		}
		if time.Since(begin) > 30*time.Second {
			d.t.Errorf("a request got %d %s", got.status, got.body)
			return
		}
		seconds, _ := strconv.Atoi(got.header.Get("Retry-After"))
		time.Sleep(time.Duration(max(1, seconds)) * time.Second)
	}
}

// TestCrashWhileFailureDomainReturnsCold returns a failure domain with cold
// engines to service while a request crashes them. The engines must not get more
// requests than they can take.
func TestCrashWhileFailureDomainReturnsCold(t *testing.T) {
	scenario(t, func(d *deployment) {
		d.changeRules(`id = "milano-a", state = "in"`, `id = "milano-a", state = "out"`)
		time.Sleep(settleTime)
		d.engines["small-milano-a"].RestartCold(6)
		d.setFaults("small", enginefake.Faults{CrashOnPrompt: "poison"})
		d.changeRules(`id = "milano-a", state = "out"`, `id = "milano-a", state = "in"`)
		var callers sync.WaitGroup
		for i := range 30 {
			callers.Go(func() {
				time.Sleep(time.Duration(i) * 100 * time.Millisecond)
				prompt := "innocent"
				if i == 10 || i == 20 {
					prompt = "poison"
				}
				r := request{node: i % 3, body: completionBody("small", prompt, false)}
				if prompt == "poison" {
					d.send(r)
					return
				}
				d.sendUntilAnswered(r)
			})
		}
		callers.Wait()
		d.is.Equal(d.engines["small-milano-a"].Stats().Overloaded, 0)
		d.is.Equal(d.send(request{body: completionBody("small", "poison", false)}).status, 422)
	})
}
