package node

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
)

// client returns a client of the public OpenAI library that differs from the
// default only in address, key, retries and transport.
func (d *deployment) client(key string) openai.Client {
	return openai.NewClient(
		option.WithBaseURL("http://"+d.nodes[0].address+"/v1"),
		option.WithAPIKey(key),
		option.WithMaxRetries(0),
		option.WithHTTPClient(&http.Client{Transport: &http.Transport{DialContext: d.network.DialerAt("client").DialContext, DisableKeepAlives: true}}),
	)
}

func questionParams(model string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:    model,
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("which beds are free")},
	}
}

func TestOpenAIClientLibrary(t *testing.T) {
	scenario(t, func(d *deployment) {
		ctx := d.t.Context()
		c := d.client(testKey)

		whole, err := c.Chat.Completions.New(ctx, questionParams("small"))
		d.is.NoErr(err)
		d.is.Equal(whole.Choices[0].Message.Content, "small@v1: which beds are free")
		d.is.True(whole.Usage.CompletionTokens > 0)

		stream := c.Chat.Completions.NewStreaming(ctx, questionParams("large"))
		text := ""
		for stream.Next() {
			if chunk := stream.Current(); len(chunk.Choices) > 0 {
				text += chunk.Choices[0].Delta.Content
			}
		}
		d.is.NoErr(stream.Err())
		d.is.Equal(text, "large@v1: which beds are free")

		models, err := c.Models.List(ctx)
		d.is.NoErr(err)
		d.is.True(len(models.Data) > 0)

		stranger := d.client("key-of-strangers")
		_, err = stranger.Chat.Completions.New(ctx, questionParams("large"))
		var refused *openai.Error
		d.is.True(errors.As(err, &refused))
		d.is.Equal(refused.StatusCode, http.StatusForbidden)
		d.is.Equal(refused.Code, "model-not-allowed")
	})
}

// TestUnreachableUpstreamsAreReportedAsNotRun gives the model only upstreams at
// addresses where nothing listens.
func TestUnreachableUpstreamsAreReportedAsNotRun(t *testing.T) {
	scenario(t, func(d *deployment) {
		for i := range testDomains {
			d.changeRules(engineAddress(i), engineAddress(i+7))
		}
		time.Sleep(settleTime)
		r := d.send(request{})
		d.is.Equal(r.status, 503)
		d.is.Equal(r.problem.Run, "not-run")
		d.is.True(r.header.Get("Retry-After") != "")
	})
}
