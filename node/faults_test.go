package node

import (
	"context"
	"encoding/json"
	"io"
	"net/url"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	enginefake "banyanyard/fake/engine"
	platformfake "banyanyard/fake/platform"
	servicefake "banyanyard/fake/service"
	"banyanyard/io/caller"
	"banyanyard/io/platform"
)

func TestEngineIsCancelledWhenCallerDisconnects(t *testing.T) {
	scenario(t, func(d *deployment) {
		ctx, leave := context.WithCancel(context.Background())
		response, err := d.open(ctx, request{body: completionBody("small", "hello", true)})
		d.is.NoErr(err)
		leave()
		_ = response.Body.Close()
		time.Sleep(time.Second)
		cancelled := 0
		for _, e := range d.engines {
			cancelled += e.Stats().Cancelled
			d.is.Equal(e.Stats().Running, 0)
		}
		d.is.Equal(cancelled, 1)
		d.is.Equal(len(d.charges()), 0)
	})
}

func TestGracefulStopCompletesRunningStreams(t *testing.T) {
	scenario(t, func(d *deployment) {
		var callers sync.WaitGroup
		for range 10 {
			callers.Go(func() {
				r := d.send(request{body: completionBody("small", "a long answer for a nurse", true)})
				text, whole := streamText(r.body)
				d.is.True(whole)
				d.is.Equal(text, "small@v1: a long answer for a nurse")
			})
		}
		time.Sleep(70 * time.Millisecond)
		d.nodes[0].stop()
		callers.Wait()
		d.is.NoErr(<-d.nodes[0].stopped)
		d.is.Equal(len(d.charges()), 10) // the charges were written before the instance ended
		d.nodes[0].stopped <- nil
	})
}

func TestLateAnswerToAnAbandonedAttemptIsNotDelivered(t *testing.T) {
	scenario(t, func(d *deployment) {
		for _, e := range d.engines {
			e.FirstTokenDelay = 3 * time.Second
		}
		first := d.send(request{body: completionBody("small", "first", false), header: map[string]string{caller.HeaderTimeout: "1000"}})
		d.is.Equal(first.status, 504)
		d.is.Equal(first.problem.Run, "may-have-run")
		second := d.send(request{body: completionBody("small", "second", false)})
		d.is.Equal(second.status, 200)
		d.is.True(strings.Contains(second.body, "second") && !strings.Contains(second.body, "first"))
	})
}

func TestIncompleteBodyIsRefused(t *testing.T) {
	scenario(t, func(d *deployment) {
		conn, err := d.network.DialerAt("client").DialContext(context.Background(), "tcp", d.nodes[0].address)
		d.is.NoErr(err)
		_, err = io.WriteString(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+testKey+"\r\nContent-Length: 100\r\n\r\n{\"model\":")
		d.is.NoErr(err)
		answer, err := io.ReadAll(conn)
		d.is.NoErr(err)
		d.is.True(strings.Contains(string(answer), "body-incomplete"))
		d.is.Equal(d.ran("small"), 0)
	})
}

// bedHold returns a non-idempotent call of the booking service.
func bedHold(node int, key, bed string) request {
	return request{node: node, path: "/services/booking/holds", body: bed, header: map[string]string{caller.HeaderIdempotencyKey: key}}
}

func TestHoldSentToEveryInstanceRunsOnce(t *testing.T) {
	tests := []struct {
		name  string
		setUp func(d *deployment)
	}{
		{name: "no fault", setUp: func(*deployment) {}},
		{name: "answers of the table are lost", setUp: func(d *deployment) { d.platform.SetFaults(everyOther(platformfake.DropResponse)) }},
		{name: "calls of the table are lost", setUp: func(d *deployment) { d.platform.SetFaults(everyOther(platformfake.DropRequest)) }},
		{name: "the table refuses now and then", setUp: func(d *deployment) { d.platform.SetFaults(everyOther(platformfake.Refuse)) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			scenario(t, func(d *deployment) {
				tt.setUp(d)
				d.booking.Delay = 300 * time.Millisecond
				replies := make([]reply, len(d.nodes))
				var callers sync.WaitGroup
				for i := range d.nodes {
					callers.Go(func() { replies[i] = d.send(bedHold(i, "key-1", "bed 12")) })
				}
				callers.Wait()
				for _, r := range replies {
					d.is.Equal(r.status, 201)
					d.is.Equal(r.body, replies[0].body)
				}
				d.is.Equal(d.booking.HoldCount("bed 12"), 1)
			})
		})
	}
}

// everyOther injects a fault into every second operation on the table of call
// records.
func everyOther(f platformfake.Fault) func(platformfake.Call) platformfake.Fault {
	var mu sync.Mutex
	n := 0
	return func(c platformfake.Call) platformfake.Fault {
		if c.Table != platform.TableCalls {
			return platformfake.None
		}
		mu.Lock()
		defer mu.Unlock()
		n++
		if n%2 == 1 {
			return f
		}
		return platformfake.None
	}
}

func TestHoldIsNotRunWhileTableIsUnavailable(t *testing.T) {
	scenario(t, func(d *deployment) {
		for _, f := range []platformfake.Fault{platformfake.Refuse, platformfake.DropRequest} {
			d.platform.SetFaults(func(c platformfake.Call) platformfake.Fault {
				if c.Table == platform.TableCalls {
					return f
				}
				return platformfake.None
			})
			r := d.send(bedHold(0, "key-1", "bed 12"))
			d.is.Equal(r.status, 503)
			d.is.Equal(r.problem.Run, "not-run")
			d.is.Equal(d.booking.HoldCount("bed 12"), 0)
			d.platformUp()
			time.Sleep(5 * time.Second)
		}
		// The record of the abandoned attempt does not block a new one.
		d.is.Equal(d.send(bedHold(1, "key-1", "bed 12")).status, 201)
		d.is.Equal(d.booking.HoldCount("bed 12"), 1)
	})
}

func TestHoldWhoseAnswerIsLostStaysUnknown(t *testing.T) {
	scenario(t, func(d *deployment) {
		d.booking.SetFaults(servicefake.Faults{DropResponse: true})
		first := d.send(bedHold(0, "key-1", "bed 12"))
		d.is.Equal(first.problem.Run, "may-have-run")
		d.is.Equal(d.booking.HoldCount("bed 12"), 1)
		d.booking.SetFaults(servicefake.Faults{})
		again := d.send(bedHold(1, "key-1", "bed 12"))
		d.is.Equal(again.status, 409)
		d.is.Equal(again.problem.Run, "may-have-run")
		d.is.Equal(d.booking.HoldCount("bed 12"), 1)
		lookup := d.send(request{node: 2, method: "GET", path: "/services/booking/calls/key-1"})
		d.is.True(strings.Contains(lookup.body, `"running"`))
	})
}

func TestHoldRefusedByTheServiceCanBeSentAgain(t *testing.T) {
	scenario(t, func(d *deployment) {
		d.booking.SetFaults(servicefake.Faults{RefuseAll: true})
		r := d.send(bedHold(0, "key-1", "bed 12"))
		d.is.Equal(r.problem.Run, "not-run")
		d.booking.SetFaults(servicefake.Faults{})
		time.Sleep(10 * time.Second)
		d.is.Equal(d.send(bedHold(1, "key-1", "bed 12")).status, 201)
	})
}

func TestIdempotencyKeyOfAnotherCallIsRefused(t *testing.T) {
	scenario(t, func(d *deployment) {
		d.is.Equal(d.send(bedHold(0, "key-1", "bed 12")).status, 201)
		r := d.send(bedHold(0, "key-1", "bed 13"))
		d.is.Equal(r.status, 422)
		d.is.Equal(d.booking.HoldCount("bed 13"), 0)
	})
}

func TestNoRequestsAfterWithdrawal(t *testing.T) {
	tests := []struct {
		name     string
		from, to string
		idle     string // prefix of the engines that must get no requests
	}{
		{name: "version withdrawn", from: `id = "v1", state = "serving", input-cost = 1,`, to: `id = "v1", state = "withdrawn", input-cost = 1,`, idle: "small"},
		{name: "failure domain out", from: `id = "milano-a", state = "in"`, to: `id = "milano-a", state = "out"`, idle: "small-milano-a"},
		{name: "upstream out", from: `id = "small-torino-b",`, to: `id = "small-torino-b", state = "out",`, idle: "small-torino-b"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			scenario(t, func(d *deployment) {
				rules := d.rules
				if tt.idle == "small" {
					// A class can't contain a model that no upstream serves.
					rules = strings.Replace(rules, `models = ["small", "large"]`, `models = ["large"]`, 1)
				}
				d.applyRules(strings.Replace(rules, tt.from, tt.to, 1))
				time.Sleep(3 * time.Second)
				before := d.ranAt(tt.idle)
				for i := range 30 {
					d.send(request{node: i % len(d.nodes)})
				}
				d.is.Equal(d.ranAt(tt.idle), before)
			})
		})
	}
}

// ranAt returns the number of runs at engines whose identifier has the prefix.
func (d *deployment) ranAt(prefix string) int {
	n := 0
	for id, e := range d.engines {
		if strings.HasPrefix(id, prefix) {
			n += e.Stats().Runs
		}
	}
	return n
}

func TestOtherUpstreamsServeWhenOneRefuses(t *testing.T) {
	scenario(t, func(d *deployment) {
		d.engines["small-milano-a"].SetFaults(enginefake.Faults{RefuseAll: true})
		for range 20 {
			d.is.Equal(d.send(request{}).status, 200)
		}
	})
}

func TestSlowReaderHoldsNoSlotAndLittleMemory(t *testing.T) {
	scenario(t, func(d *deployment) {
		for _, e := range d.engines {
			e.Chunks = 200
			e.ChunkInterval = time.Millisecond
			e.CompletionText = func(string, string) string { return strings.Repeat("0123456789", 20_000) }
		}
		response, err := d.open(context.Background(), request{body: completionBody("small", "hello", true)})
		d.is.NoErr(err)
		time.Sleep(20 * time.Second)
		d.is.True(d.nodes[0].handler.HeldBytes() <= 32<<10)
		for _, e := range d.engines {
			d.is.Equal(e.Stats().Running, 0)
		}
		body, err := io.ReadAll(response.Body)
		d.is.NoErr(err)
		text, whole := streamText(string(body))
		d.is.True(whole)
		d.is.Equal(len(text), 200_000)
		d.is.Equal(d.ran("small"), 1)
	})
}

// failTable makes every platform operation on one of the tables fail.
func failTable(tables ...string) func(platformfake.Call) platformfake.Fault {
	return func(c platformfake.Call) platformfake.Fault {
		if slices.Contains(tables, c.Table) {
			return platformfake.Refuse
		}
		return platformfake.None
	}
}

// failOp makes every platform call of one operation fail.
func failOp(op string) func(platformfake.Call) platformfake.Fault {
	return func(c platformfake.Call) platformfake.Fault {
		if c.Op == op {
			return platformfake.Refuse
		}
		return platformfake.None
	}
}

// TestRetriesInTotalOutageAddAtMostATenth sends requests while every engine
// refuses all of them. Retries without a budget would multiply the load.
func TestRetriesInTotalOutageAddAtMostATenth(t *testing.T) {
	scenario(t, func(d *deployment) {
		d.setFaults("small", enginefake.Faults{RefuseAll: true})
		const requests = 1000
		for i := range requests {
			r := d.send(request{node: i % 3})
			d.is.Equal(r.problem.Run, "not-run")
			time.Sleep(50 * time.Millisecond)
		}
		refused := 0
		for _, e := range d.engines {
			refused += e.Stats().Refused
		}
		d.is.True(refused <= requests*11/10)
	})
}

func TestRemainingTimeIsSentToEngine(t *testing.T) {
	scenario(t, func(d *deployment) {
		d.send(request{header: map[string]string{caller.HeaderTimeout: "4000"}})
		longest := 0
		for _, e := range d.engines {
			longest = max(longest, e.Stats().TimeoutMs)
		}
		d.is.True(longest > 3000 && longest <= 4000)
	})
}

// TestStreamIsResumedForSlowReader reads a long answer a little at a time, so
// that the stream is stopped and resumed more often than maxResumes.
func TestStreamIsResumedForSlowReader(t *testing.T) {
	scenario(t, func(d *deployment) {
		const answerBytes = 200_000
		for _, e := range d.engines {
			e.Chunks, e.ChunkInterval = 200, time.Millisecond
			e.CompletionText = func(string, string) string { return strings.Repeat("0123456789", answerBytes/10) }
		}
		response, err := d.open(context.Background(), request{body: completionBody("small", "hello", true)})
		d.is.NoErr(err)
		var body strings.Builder
		for err == nil {
			time.Sleep(3 * time.Second)
			_, err = io.CopyN(&body, response.Body, 8<<10)
		}
		text, whole := streamText(body.String())
		d.is.True(whole)
		d.is.Equal(len(text), answerBytes)
		d.is.Equal(d.ran("small"), 1)
		resumed := 0
		for _, e := range d.engines {
			resumed += e.Stats().Resumed
		}
		d.is.True(resumed > maxResumes)
		time.Sleep(2 * chargeInterval)
		d.is.Equal(len(d.charges()), 1)
	})
}

// TestEscapedPathsReachServiceUnchanged uses paths and keys with characters that
// must be escaped in a URL.
func TestEscapedPathsReachServiceUnchanged(t *testing.T) {
	scenario(t, func(d *deployment) {
		for _, bed := range []string{"12", "a b", "a?b", "a/b", "a%b"} {
			r := d.send(request{method: "GET", path: "/services/booking/beds/" + url.PathEscape(bed)})
			d.is.Equal(r.status, 200)
			var got struct {
				Bed string `json:"bed"`
			}
			d.is.NoErr(json.Unmarshal([]byte(r.body), &got))
			d.is.Equal(got.Bed, bed)
		}
		d.is.Equal(d.send(bedHold(0, "a/b c", "bed 1")).status, 201)
		lookup := d.send(request{method: "GET", path: "/services/booking/calls/" + url.PathEscape("a/b c")})
		d.is.True(strings.Contains(lookup.body, `"done"`))
		// An escaped spelling of the path must not make a call idempotent.
		escaped := bedHold(0, "", "bed 2")
		escaped.path = "/services/booking/hol%64s"
		d.is.Equal(d.send(escaped).status, 400)
	})
}
