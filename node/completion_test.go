package node

import (
	"fmt"
	"strings"
	"testing"
	"time"

	enginefake "banyanyard/fake/engine"
	"banyanyard/io/caller"
)

func TestAnswerIsWholeAndChargedOnce(t *testing.T) {
	tests := []struct {
		name   string
		model  string
		stream bool
	}{
		{name: "plain answer", model: "small"},
		{name: "stream", model: "small", stream: true},
		{name: "exact version", model: "large@v1", stream: true},
		{name: "cascade that suffices at once", model: "question"},
		{name: "stream of a cascade", model: "question", stream: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			scenario(t, func(d *deployment) {
				r := d.send(request{body: completionBody(tt.model, "which beds are free", tt.stream)})
				d.is.NoErr(r.err)
				d.is.Equal(r.status, 200)
				text := r.body
				if tt.stream {
					var whole bool
					text, whole = streamText(r.body)
					d.is.True(whole) // the stream ended with the done event
				}
				d.is.True(strings.Contains(text, "which beds are free"))
				d.is.Equal(r.header.Get(caller.HeaderVersion), "v1")
				d.is.Equal(r.header.Get(caller.HeaderRevision), "1")
				time.Sleep(2 * chargeInterval)
				d.is.Equal(len(d.charges()), 1)
			})
		})
	}
}

func TestRefusals(t *testing.T) {
	tests := []struct {
		name    string
		request request
		status  int
		kind    string
	}{
		{name: "unknown key", request: request{key: "nobody"}, status: 401, kind: "unknown-key"},
		{name: "model of another organisation", request: request{key: "key-of-strangers", body: completionBody("large", "x", false)}, status: 403, kind: "model-not-allowed"},
		{name: "unknown model", request: request{body: completionBody("huge", "x", false)}, status: 403, kind: "model-not-allowed"},
		{name: "class of another organisation", request: request{key: "key-of-strangers", body: completionBody("question", "x", false)}, status: 403, kind: "model-not-allowed"},
		{name: "malformed JSON", request: request{body: `{"model":`}, status: 400, kind: "bad-request"},
		{name: "no messages", request: request{body: `{"model":"small"}`}, status: 400, kind: "bad-request"},
		{name: "oversized body", request: request{body: completionBody("small", strings.Repeat("x", 5<<20), false)}, status: 413, kind: "body-too-large"},
		{name: "more tokens than the model holds", request: request{body: `{"model":"small","max_tokens":9000,"messages":[{"role":"user"}]}`}, status: 400, kind: "context-too-long"},
		{name: "forged session", request: request{header: map[string]string{caller.HeaderSession: "by1.e30.AAAA"}}, status: 400, kind: "session-invalid"},
		{name: "bad timeout", request: request{header: map[string]string{caller.HeaderTimeout: "soon"}}, status: 400, kind: "bad-request"},
		{name: "service of another organisation", request: request{key: "key-of-strangers", path: "/services/booking/holds", body: "bed"}, status: 404, kind: "service-not-found"},
		{name: "bed hold without a key", request: request{path: "/services/booking/holds", body: "bed"}, status: 400, kind: "idempotency-key-missing"},
		{name: "unknown path", request: request{path: "/v2", body: "x"}, status: 404, kind: "service-not-found"},
	}
	scenario(t, func(d *deployment) {
		for _, tt := range tests {
			r := d.send(tt.request)
			if r.status != tt.status || !strings.HasSuffix(r.problem.Type, ":"+tt.kind) {
				t.Errorf("%s: got status %d and %s", tt.name, r.status, r.body)
			}
			if r.problem.Run != "not-run" || r.problem.Remedy == "" {
				t.Errorf("%s: run %q, remedy %q", tt.name, r.problem.Run, r.problem.Remedy)
			}
		}
		for id, e := range d.engines {
			if n := e.Stats().Runs; n > 0 {
				t.Errorf("engine %s ran %d refused requests", id, n)
			}
		}
		d.is.Equal(d.booking.HoldCount("bed"), 0)
	})
}

func TestModelListShowsOnlyAllowedModels(t *testing.T) {
	scenario(t, func(d *deployment) {
		r := d.send(request{method: "GET", path: "/v1/models", key: "key-of-strangers"})
		d.is.True(strings.Contains(r.body, `"small@v1"`))
		d.is.True(!strings.Contains(r.body, `large`))
		d.is.True(!strings.Contains(r.body, `question`))
	})
}

// setFaults sets the faults of all engines of a model.
func (d *deployment) setFaults(model string, f enginefake.Faults) {
	for id, e := range d.engines {
		if strings.HasPrefix(id, model+"-") {
			e.SetFaults(f)
		}
	}
}

// ran returns the number of runs at all engines of a model.
func (d *deployment) ran(model string) int {
	n := 0
	for id, e := range d.engines {
		if strings.HasPrefix(id, model+"-") {
			n += e.Stats().Runs
		}
	}
	return n
}

func TestEveryUpstreamRefuses(t *testing.T) {
	scenario(t, func(d *deployment) {
		d.setFaults("small", enginefake.Faults{RefuseAll: true})
		r := d.send(request{})
		d.is.Equal(r.status, 503)
		d.is.Equal(r.problem.Run, "not-run")
		d.is.True(r.header.Get("Retry-After") != "")
		d.is.Equal(d.ran("small"), 0)
	})
}

func TestEngineDiesMidStream(t *testing.T) {
	scenario(t, func(d *deployment) {
		d.setFaults("small", enginefake.Faults{AbortAtChunk: 4})
		r := d.send(request{body: completionBody("small", "hello", true)})
		_, whole := streamText(r.body)
		d.is.True(!whole) // a broken stream must not look complete
		d.is.True(strings.Contains(r.body, "may-have-run"))
		time.Sleep(2 * chargeInterval)
		d.is.Equal(len(d.charges()), 0)
	})
}

func TestAnswerOfAnotherAttemptIsNotDelivered(t *testing.T) {
	for _, stream := range []bool{false, true} {
		t.Run(fmt.Sprintf("stream %t", stream), func(t *testing.T) {
			scenario(t, func(d *deployment) {
				d.setFaults("small", enginefake.Faults{WrongID: true})
				r := d.send(request{body: completionBody("small", "secret", stream)})
				d.is.True(!strings.Contains(r.body, "secret"))
				d.is.Equal(r.problem.Run, "may-have-run")
			})
		})
	}
}

func TestSilentEngineTimesOut(t *testing.T) {
	scenario(t, func(d *deployment) {
		d.setFaults("small", enginefake.Faults{StallAtChunk: 3})
		begin := time.Now()
		r := d.send(request{body: completionBody("small", "hello", true)})
		_, whole := streamText(r.body)
		d.is.True(!whole)
		d.is.True(time.Since(begin) < 30*time.Second)
	})
}

func TestBrokenStreamIsResumedAtTheEngine(t *testing.T) {
	scenario(t, func(d *deployment) {
		d.setFaults("small", enginefake.Faults{AbortAtChunk: 4, AbortOnlyFirst: true})
		r := d.send(request{body: completionBody("small", "a question with several words", true)})
		text, whole := streamText(r.body)
		d.is.True(whole)
		d.is.Equal(text, "small@v1: a question with several words")
		d.is.Equal(d.ran("small"), 1)
		time.Sleep(2 * chargeInterval)
		d.is.Equal(len(d.charges()), 1)
	})
}

func TestEscalationGivesOneAnswerAndOneCharge(t *testing.T) {
	scenario(t, func(d *deployment) {
		d.platform.RateAnswer = rateSmallInsufficient
		r := d.send(request{body: completionBody("question", "why", true)})
		text, whole := streamText(r.body)
		d.is.True(whole)
		d.is.Equal(text, "large@v1: why")
		time.Sleep(2 * chargeInterval)
		d.is.Equal(len(d.charges()), 1)
		d.is.Equal(d.ran("small"), 1)
		d.is.Equal(d.ran("large"), 1)
	})
}
