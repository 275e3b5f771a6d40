package node

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"banyanyard/core/member"
	"banyanyard/io/caller"
	"banyanyard/io/operator"
	"banyanyard/io/platform"
)

// shares returns the sum of the running instances' shares of an upstream, in
// requests.
func (d *deployment) shares(upstream string) int {
	sum := 0
	for _, n := range d.nodes {
		for _, v := range n.Status().Upstreams {
			if v.ID == upstream {
				sum += v.Share
			}
		}
	}
	return sum
}

func TestSharesSumToLimitAcrossMembershipChanges(t *testing.T) {
	scenario(t, func(d *deployment) {
		d.is.Equal(d.shares("small-milano-a"), 24)
		n := d.startNode("milano-a")
		d.listInstances()
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			d.is.True(d.shares("small-milano-a") <= 24)
		}
		d.is.Equal(d.shares("small-milano-a"), 24)
		d.is.True(n.hasShares.Load())
		d.kill(n)
		d.nodes = d.nodes[:3]
		d.listInstances()
		time.Sleep(15 * time.Second)
		d.is.Equal(d.shares("small-milano-a"), 24)
	})
}

func TestLargeRequestBorrowsTokens(t *testing.T) {
	scenario(t, func(d *deployment) {
		d.applyRules(strings.ReplaceAll(d.rules, "max-requests = 24,", "max-requests = 24, max-tokens = 6000,"))
		time.Sleep(10 * time.Second)
		// The share of each instance is a third of 6,000 tokens, less than
		// requested.
		r := d.send(request{body: `{"model":"small","max_tokens":5000,"messages":[{"role":"user","content":"x"}]}`})
		d.is.Equal(r.status, 200)
	})
}

func TestInstanceWithoutSharesHandsOverRequests(t *testing.T) {
	scenario(t, func(d *deployment) {
		d.peerSeeds = []string{d.nodes[0].identity.Address}
		d.platformDown()
		n := d.startNode("torino-b")
		time.Sleep(settleTime)
		d.is.True(!n.hasShares.Load())
		d.is.True(n.Ready()) // with rules from another instance
		r := d.send(request{node: 3, body: completionBody("small", "hello", true)})
		_, whole := streamText(r.body)
		d.is.True(whole)
		d.platformUp()
		d.listInstances()
		time.Sleep(2 * settleTime)
		d.is.True(n.hasShares.Load())
	})
}

func TestInstanceWithoutRulesIsNotReady(t *testing.T) {
	scenario(t, func(d *deployment) {
		d.platformDown()
		n := d.startNode("torino-b")
		time.Sleep(settleTime)
		d.is.True(!n.Ready())
		r := d.send(request{node: 3})
		d.is.Equal(r.status, 503)
		d.is.Equal(r.problem.Run, "not-run")
	})
}

// TestPlatformOutageOfOneHour replaces half of the instances while the platform
// is down, one after a crash and one after a planned stop. All completions must
// be answered and every charge written once afterwards.
func TestPlatformOutageOfOneHour(t *testing.T) {
	scenario(t, func(d *deployment) {
		d.startNode("milano-a")
		d.listInstances()
		time.Sleep(2 * settleTime)
		for _, n := range d.nodes {
			d.peerSeeds = append(d.peerSeeds, n.identity.Address)
		}
		d.platformDown()
		answered := 0
		for minute := range 60 {
			for i := range d.nodes {
				r := d.send(request{node: i})
				if r.status != 200 {
					t.Fatalf("minute %d, instance %d: status %d, body %s", minute, i, r.status, r.body)
				}
				answered++
			}
			switch minute {
			case 20:
				d.kill(d.nodes[1])
				d.replace(1)
				time.Sleep(10 * time.Second)
			case 40:
				d.nodes[2].stop()
				d.is.NoErr(<-d.nodes[2].stopped)
				d.replace(2)
				time.Sleep(10 * time.Second)
			}
			time.Sleep(time.Minute)
		}
		refused := d.send(bedHold(0, "k", "bed"))
		d.is.Equal(refused.problem.Run, "not-run")
		d.platformUp()
		time.Sleep(time.Minute)
		d.is.Equal(len(d.charges()), answered) // every charge once, although two instances that made some have ended
		d.is.Equal(d.send(bedHold(0, "k", "bed")).status, 201)
	})
}

func TestChargesSurviveInstanceCrash(t *testing.T) {
	scenario(t, func(d *deployment) {
		d.platform.SetFaults(failTable(platform.TableCharges))
		for range 5 {
			d.is.Equal(d.send(request{node: 1}).status, 200)
		}
		d.kill(d.nodes[1])
		d.platformUp()
		time.Sleep(20 * time.Second)
		d.is.Equal(len(d.charges()), 5)
	})
}

func TestRulesReachInstanceCutFromPlatform(t *testing.T) {
	scenario(t, func(d *deployment) {
		d.nodes[2].store.disconnected.Store(true)
		d.changeRules(`id = "pavia-c", state = "in"`, `id = "pavia-c", state = "out"`)
		time.Sleep(5 * time.Second)
		for _, n := range d.nodes {
			_, revision := n.Node.Rules()
			d.is.Equal(revision, int64(2))
		}
	})
}

func TestRulesRevisionNeverDecreases(t *testing.T) {
	scenario(t, func(d *deployment) {
		newest := make([]int64, len(d.nodes))
		for i := range 10 {
			d.network.Heal()
			d.network.Partition(testDomains[i%3], testDomains[(i+1)%3])
			d.applyRules(d.rules + fmt.Sprintf("service = { id = \"s%d\" } # T: test\n", i))
			for range 20 {
				time.Sleep(100 * time.Millisecond)
				for k, n := range d.nodes {
					_, revision := n.Node.Rules()
					d.is.True(revision >= newest[k])
					newest[k] = revision
				}
			}
		}
		d.network.Heal()
		time.Sleep(5 * time.Second)
		for _, n := range d.nodes {
			_, revision := n.Node.Rules()
			d.is.Equal(revision, int64(11))
		}
	})
}

// TestPartitionedDomainKeepsServing cuts one failure domain off from the others
// and from the platform. It must keep serving with its own upstreams, and all
// members must recover afterwards.
func TestPartitionedDomainKeepsServing(t *testing.T) {
	scenario(t, func(d *deployment) {
		for range 2 { // the second time before everything has recovered
			d.network.Partition("milano-a", "torino-b")
			d.network.Partition("milano-a", "pavia-c")
			d.nodes[0].store.disconnected.Store(true)
			time.Sleep(10 * time.Second)
			for range 10 {
				d.is.Equal(d.send(request{node: 0}).status, 200)
				d.is.Equal(d.send(request{node: 1}).status, 200)
			}
			d.is.True(d.shares("small-milano-a") <= 24)
			d.is.Equal(d.send(bedHold(0, "cut", "bed")).problem.Run, "not-run")
			d.network.Heal()
			d.nodes[0].store.disconnected.Store(false)
			time.Sleep(3 * time.Second)
		}
		time.Sleep(20 * time.Second)
		for _, n := range d.nodes {
			for _, m := range n.members.Load().live {
				d.is.Equal(m.State, member.Live)
			}
			d.is.Equal(len(n.members.Load().live), 2)
		}
		for _, e := range d.engines {
			d.is.True(e.Stats().MaxRunning <= 24)
		}
	})
}

// TestDomainTakenOutUnderLoad takes a failure domain out of service under load
// and returns it. Every stream must be complete.
func TestDomainTakenOutUnderLoad(t *testing.T) {
	scenario(t, func(d *deployment) {
		var callers sync.WaitGroup
		ctx, stop := context.WithCancel(context.Background())
		for i := range 24 {
			callers.Go(func() {
				for ctx.Err() == nil {
					r := d.send(request{node: i % 3, body: completionBody("small", "peak", true)})
					if _, whole := streamText(r.body); !whole {
						t.Errorf("incomplete stream: status %d, body %s", r.status, r.body)
					}
				}
			})
		}
		time.Sleep(3 * time.Second)
		d.changeRules(`id = "milano-a", state = "in"`, `id = "milano-a", state = "out"`)
		time.Sleep(3 * time.Second)
		before := d.ranAt("small-milano-a")
		time.Sleep(10 * time.Second)
		d.is.Equal(d.ranAt("small-milano-a"), before)
		d.changeRules(`id = "milano-a", state = "out"`, `id = "milano-a", state = "in"`)
		time.Sleep(10 * time.Second)
		d.is.True(d.ranAt("small-milano-a") > before)
		stop()
		callers.Wait()
	})
}

// TestInstancesReplacedUnderLoad replaces two of three instances one after
// another under load. As behind a load balancer, callers use only instances
// that are ready.
func TestInstancesReplacedUnderLoad(t *testing.T) {
	scenario(t, func(d *deployment) {
		var callers sync.WaitGroup
		var mu sync.Mutex // guards d.nodes
		ctx, stop := context.WithCancel(context.Background())
		for i := range 12 {
			callers.Go(func() {
				for turn := i; ctx.Err() == nil; turn++ {
					mu.Lock()
					n := d.nodes[turn%3]
					mu.Unlock()
					if !n.Ready() {
						time.Sleep(10 * time.Millisecond)
						continue
					}
					r := d.send(request{node: turn % 3, body: completionBody("small", "steady", true)})
					if _, whole := streamText(r.body); !whole {
						t.Errorf("incomplete stream: status %d, error %v, body %s", r.status, r.err, r.body)
					}
				}
			})
		}
		for i := range 2 {
			time.Sleep(3 * time.Second)
			d.nodes[i].stop()
			d.is.NoErr(<-d.nodes[i].stopped)
			mu.Lock()
			d.replace(i)
			mu.Unlock()
			time.Sleep(8 * time.Second)
		}
		stop()
		callers.Wait()
		d.is.Equal(d.shares("small-milano-a"), 24)
	})
}

// TestSilentConnectionsAreReplaced silences open connections to engines and
// other instances. New requests must be answered over new connections, and all
// members must be live afterwards.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	scenario(t, func(d *deployment) {
		for i := range 6 {
			d.is.Equal(d.send(request{node: i % 3}).status, 200)
		}
		for i := range 3 {
			d.network.BlackholeConns(fmt.Sprintf("10.%d.1.0:8000", i))
			d.network.BlackholeConns(d.nodes[i].identity.Address)
		}
		begin := time.Now()
		for i := range 6 {
			r := d.send(request{node: i % 3, body: completionBody("small", "after", true)})
			_, whole := streamText(r.body)
			d.is.True(whole)
		}
		d.is.True(time.Since(begin) < 60*time.Second)
		time.Sleep(15 * time.Second)
		for _, n := range d.nodes {
			d.is.Equal(len(n.members.Load().live), 2)
		}
	})
}

// TestUnannouncedColdStartLimitsLoadOnAllInstances restarts an engine cold
// without notice. Each instance must reduce its load after a few overload
// answers.
func TestUnannouncedColdStartLimitsLoadOnAllInstances(t *testing.T) {
	scenario(t, func(d *deployment) {
		for range 60 {
			for i := range 3 {
				d.is.Equal(d.send(request{node: i}).status, 200)
			}
		}
		time.Sleep(3 * time.Second)
		e := d.engines["small-milano-a"]
		e.RestartCold(6)
		var callers sync.WaitGroup
		for i := range 60 {
			callers.Go(func() {
				time.Sleep(time.Duration(i) * 5 * time.Millisecond)
				d.is.Equal(d.send(request{node: i % 3}).status, 200)
			})
		}
		callers.Wait()
		d.is.True(e.Stats().Overloaded <= 3*3) // each instance learns from a few requests that the engine is cold
	})
}

func TestSessionKeepsVersionDuringRollout(t *testing.T) {
	scenario(t, func(d *deployment) {
		d.applyRules(strings.ReplaceAll(d.rules, `serves = ["small@v1"]`, `serves = ["small@v1", "small@v2"]`) +
			"version = { model = \"small\", id = \"v2\", state = \"serving\" } # T: test\n" +
			"rollout = { model = \"small\", from = \"v1\", to = \"v2\", shares-percent = [0, 50, 100], step = 0, manual = true } # T: test\n")
		time.Sleep(settleTime)
		token := d.send(request{}).header.Get(caller.HeaderSession)
		byID := func(node int) string {
			return d.send(request{node: node, header: map[string]string{caller.HeaderSessionID: "joiner-7"}}).header.Get(caller.HeaderVersion)
		}
		d.is.Equal(byID(0), "v1")
		for _, step := range []string{"step = 1", "step = 2"} {
			d.changeRules("step = "+fmt.Sprint(int(step[7]-'1')), step)
			d.kill(d.nodes[0])
			d.replace(0)
			time.Sleep(2 * settleTime)
			for i := range 3 {
				r := d.send(request{node: i, header: map[string]string{caller.HeaderSession: token}})
				d.is.Equal(r.header.Get(caller.HeaderVersion), "v1")
				d.is.Equal(byID(i), "v1")
			}
		}
		for i := range 3 { // also at instances that were not replaced
			d.is.Equal(d.send(request{node: i}).header.Get(caller.HeaderVersion), "v2") // a new session
		}
		newer := d.send(request{}).header.Get(caller.HeaderSession)
		d.changeRules("step = 2", "step = 0") // and back
		time.Sleep(settleTime)
		d.is.Equal(d.send(request{}).header.Get(caller.HeaderVersion), "v1")
		d.is.Equal(d.send(request{node: 2, header: map[string]string{caller.HeaderSession: newer}}).header.Get(caller.HeaderVersion), "v2")
		d.platform.SetFaults(failTable(platform.TableSessions))
		d.is.Equal(byID(1), "v1") // the instance has the session in memory
		d.platformUp()
		before, _, _ := strings.Cut(d.rules, "rollout =")
		d.applyRules(strings.Replace(before, `model = "small", id = "v1", state = "serving"`, `model = "small", id = "v1", state = "withdrawn"`, 1))
		time.Sleep(settleTime)
		moved := d.send(request{header: map[string]string{caller.HeaderSession: token}})
		d.is.Equal(moved.header.Get(caller.HeaderVersion), "v2")
		d.is.Equal(moved.header.Get(caller.HeaderSessionMoved), "small@v1")
	})
}

// TestSlowReadersDoNotDelayOthers opens long streams that nobody reads. They
// must not delay another caller's stream.
func TestSlowReadersDoNotDelayOthers(t *testing.T) {
	scenario(t, func(d *deployment) {
		for _, e := range d.engines {
			e.Chunks = 100
			e.CompletionText = func(string, string) string { return strings.Repeat("0123456789", 20_000) }
			e.ChunkInterval = time.Millisecond
		}
		for range 40 {
			response, err := d.open(context.Background(), request{body: completionBody("small", "slow", true)})
			d.is.NoErr(err)
			defer func() { _ = response.Body.Close() }()
			time.Sleep(200 * time.Millisecond)
		}
		begin := time.Now()
		response, err := d.open(context.Background(), request{body: completionBody("small", "fast", true)})
		d.is.NoErr(err)
		_, err = io.ReadAll(response.Body)
		d.is.NoErr(err)
		d.is.True(time.Since(begin) < 10*time.Second)
	})
}

// TestDomainTakenOutWhileThePlatformIsDown gives a take-out order during a
// platform outage. It must spread to all instances and end with the next
// configuration.
func TestDomainTakenOutWhileThePlatformIsDown(t *testing.T) {
	scenario(t, func(d *deployment) {
		d.platformDown()
		err := d.nodes[1].TakeOut(d.t.Context(), operator.TakeOut{FailureDomain: "milano-b", By: "T"})
		d.is.True(err != nil) // an unknown name
		d.is.NoErr(d.nodes[1].TakeOut(d.t.Context(), operator.TakeOut{FailureDomain: "milano-a", By: "T"}))
		time.Sleep(3 * time.Second)
		before := d.ranAt("small-milano-a")
		for i := range 30 {
			d.is.Equal(d.send(request{node: i % 3}).status, 200)
		}
		d.is.Equal(d.ranAt("small-milano-a"), before)
		d.platformUp()
		d.applyRules(d.rules + "# the next configuration\n")
		time.Sleep(settleTime)
		for i := range 30 {
			d.send(request{node: i % 3})
		}
		d.is.True(d.ranAt("small-milano-a") > before)
	})
}
