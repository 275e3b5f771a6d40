package node

import (
	"fmt"
	"strings"
	"testing"
	"time"

	enginefake "banyanyard/fake/engine"
	"banyanyard/io/caller"
	"banyanyard/io/platform"
)

// applyRollout applies rules with a second version of the small model and a
// roll-out to it.
func (d *deployment) applyRollout(manual bool) {
	text := strings.ReplaceAll(d.rules, `serves = ["small@v1"]`, `serves = ["small@v1", "small@v2"]`)
	text += "version = { model = \"small\", id = \"v2\", state = \"serving\", input-cost = 1, output-cost = 4 } # T: test\n"
	text += fmt.Sprintf("rollout = { model = \"small\", from = \"v1\", to = \"v2\", shares-percent = [20, 60, 100], manual = %t } # T: test\n", manual)
	d.applyRules(text)
	time.Sleep(2 * settleTime)
}

// runsOfVersion returns the number of runs of a target, such as "small@v2".
func (d *deployment) runsOfVersion(target string) int {
	n := 0
	for _, e := range d.engines {
		n += e.Stats().RunsByModel[target]
	}
	return n
}

func TestBadVersionStopsRolloutWithoutFailedRequests(t *testing.T) {
	scenario(t, func(d *deployment) {
		d.applyRollout(false)
		d.setFaults("small", enginefake.Faults{FailModel: "small@v2"})
		for i := range 300 {
			r := d.send(request{node: i % 3, body: completionBody("small", "hello", i%2 == 0)})
			d.is.Equal(r.status, 200)
			d.is.Equal(r.header.Get(caller.HeaderVersion), "v1")
		}
		reached := d.runsOfVersion("small@v2")
		d.is.True(reached > 0)
		d.is.True(reached <= 20)
		time.Sleep(5 * time.Second)
		for i := range 60 {
			d.send(request{node: i % 3})
		}
		d.is.Equal(d.runsOfVersion("small@v2"), reached)
		row, err := d.platform.Get(d.t.Context(), platform.TableRollouts, rolloutRow("small/v1/v2/0"))
		d.is.NoErr(err)
		d.is.True(strings.Contains(string(row.Value), "errors: "))
	})
}

func TestStoppedRolloutMovesSessionOnce(t *testing.T) {
	scenario(t, func(d *deployment) {
		d.applyRollout(true)
		var token string
		for range 200 {
			r := d.send(request{})
			if r.header.Get(caller.HeaderVersion) == "v2" {
				token = r.header.Get(caller.HeaderSession)
			}
		}
		d.is.True(token != "")
		d.setFaults("small", enginefake.Faults{FailModel: "small@v2"})
		for i := range 200 {
			d.send(request{node: i % 3})
		}
		time.Sleep(5 * time.Second)
		moved := d.send(request{header: map[string]string{caller.HeaderSession: token}})
		d.is.Equal(moved.header.Get(caller.HeaderVersion), "v1")
		d.is.Equal(moved.header.Get(caller.HeaderSessionMoved), "small@v2")
		again := d.send(request{header: map[string]string{caller.HeaderSession: moved.header.Get(caller.HeaderSession)}})
		d.is.Equal(again.header.Get(caller.HeaderSessionMoved), "")
	})
}

func TestRolloutContinuesAfterInstanceReplacement(t *testing.T) {
	scenario(t, func(d *deployment) {
		d.applyRollout(false)
		load := func(n int) {
			for i := range n {
				d.send(request{node: i % len(d.nodes)})
			}
		}
		load(900)
		time.Sleep(3 * time.Minute)
		before := d.runsOfVersion("small@v2")
		d.is.True(before > 0)
		for i := range 3 { // including the one that advances the roll-out
			d.kill(d.nodes[i])
			d.replace(i)
			time.Sleep(30 * time.Second)
		}
		load(900)
		time.Sleep(3 * time.Minute)
		load(300)
		share := float64(d.runsOfVersion("small@v2")-before) / 1200
		d.is.True(share > 0.4) // beyond the first step
	})
}

func TestRolloutHoldsStepWhilePlatformIsDown(t *testing.T) {
	scenario(t, func(d *deployment) {
		d.applyRollout(false)
		d.platformDown()
		for i := range 900 {
			d.send(request{node: i % 3})
		}
		time.Sleep(10 * time.Minute)
		before := d.runsOfVersion("small@v2")
		for i := range 300 {
			d.send(request{node: i % 3})
		}
		d.is.True(d.runsOfVersion("small@v2")-before < 110) // still the first step's 20%
	})
}

func TestCascadeLearnsToUseCheapModel(t *testing.T) {
	scenario(t, func(d *deployment) {
		for i := range 400 {
			r := d.send(request{node: i % 3, body: completionBody("question", "tag this listing", false)})
			d.is.Equal(r.status, 200)
			time.Sleep(time.Second)
		}
		rated := d.platform.CallCount("rate", "")
		for i := range 60 {
			d.send(request{node: i % 3, body: completionBody("question", "tag this listing", true)})
			time.Sleep(time.Second)
		}
		d.is.Equal(d.platform.CallCount("rate", ""), rated) // streams use the cheap model without a rating
		d.is.Equal(d.ran("large"), 0)
	})
}

func TestRatingOutageFallsBackToTheLargeModel(t *testing.T) {
	scenario(t, func(d *deployment) {
		d.platform.RateAnswer = rateSmallInsufficient
		d.send(request{body: completionBody("question", "why", false)})
		d.platform.SetFaults(failOp("rate"))
		before := d.ran("small")
		for range 10 {
			r := d.send(request{body: completionBody("question", "why", false)})
			d.is.Equal(r.header.Get(caller.HeaderModel), "large")
		}
		d.is.Equal(d.ran("small")-before, 1) // only the first, which found the rating unavailable
	})
}

// TestLearnerStateSurvivesInstanceReplacement kills the one instance that has
// learnt a class and starts it again. Gossip must have kept what it learnt.
func TestLearnerStateSurvivesInstanceReplacement(t *testing.T) {
	scenario(t, func(d *deployment) {
		ask := func(node int) {
			d.send(request{node: node, body: completionBody("question", "tag this listing", false)})
			time.Sleep(time.Second)
		}
		for range 120 {
			ask(0)
		}
		time.Sleep(learnerGossipInterval + 10*time.Second)
		d.kill(d.nodes[0])
		d.replace(0)
		time.Sleep(30 * time.Second)
		rated := d.platform.CallCount("rate", "")
		for i := range 20 {
			ask(i % 3)
		}
		d.is.True(d.platform.CallCount("rate", "")-rated <= 8) // a sample only; it would be 20 if the class were learnt again
	})
}

// TestRefusedRequestFreesRolloutGate sends requests that are refused after they
// have entered the roll-out's gate. They must not use up the requests that it
// admits.
func TestRefusedRequestFreesRolloutGate(t *testing.T) {
	scenario(t, func(d *deployment) {
		d.applyRollout(true)
		for range 100 {
			d.is.Equal(d.send(request{body: `{"model":"small","max_tokens":9000,"messages":[{"role":"user"}]}`}).status, 400)
		}
		for range 60 {
			d.send(request{})
		}
		d.is.True(d.runsOfVersion("small@v2") > 0)
	})
}

// TestRolloutStopSpreadsByGossipAlone starts an instance that can read neither
// the rules nor the states of roll-outs from the platform's tables, and
// receives a stop by gossip before it has the rules.
func TestRolloutStopSpreadsByGossipAlone(t *testing.T) {
	scenario(t, func(d *deployment) {
		d.applyRollout(false)
		d.setFaults("small", enginefake.Faults{FailModel: "small@v2"})
		for i := range 200 {
			d.send(request{node: i % 3})
		}
		time.Sleep(5 * time.Second)
		d.platform.SetFaults(failTable(platform.TableRollouts, platform.TableRules))
		d.kill(d.nodes[0])
		d.replace(0)
		time.Sleep(30 * time.Second)
		before := d.runsOfVersion("small@v2")
		for range 200 {
			d.is.Equal(d.send(request{}).status, 200)
		}
		d.is.Equal(d.runsOfVersion("small@v2"), before)
	})
}
