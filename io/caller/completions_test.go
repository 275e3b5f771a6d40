package caller

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestParseCompletionKeepsEveryField(t *testing.T) {
	is := is.New(t)
	body := `{"model":"small\u0040v1","stream":true,"max_tokens":7,"stop":"a\"b","tools":[{"x":{"y":"]"}}],"temperature":0.5,"n":null,"messages":[{"role":"user","content":"häuser"}],"stream_options":{"include_usage":true}}`
	c, refused := parseCompletion([]byte(body))
	is.True(refused == nil)
	is.Equal(c.ModelName, "small@v1")
	is.True(c.Stream && c.IncludeUsage)
	is.Equal(c.MaxTokens, 7)
	is.True(c.PromptTokens > 0)
	var want map[string]json.RawMessage
	is.NoErr(json.Unmarshal([]byte(body), &want))
	is.Equal(len(c.Fields), len(want))
	for name, value := range want {
		is.Equal(string(c.Fields[name]), string(value))
	}
}

func TestParseCompletionRefusesWrongTypes(t *testing.T) {
	tests := []struct {
		body string
		want string
	}{
		{body: `[]`, want: "not an object"},
		{body: `{"model":4,"messages":[{}]}`, want: "model must be a string"},
		{body: `{"model":"m","messages":{}}`, want: "messages must be an array"},
		{body: `{"model":"m","messages":[]}`, want: "no messages"},
		{body: `{"model":"m","messages":[{}],"stream":"yes"}`, want: "stream must be"},
		{body: `{"model":"m","messages":[{}],"max_tokens":-1}`, want: "max_tokens must be"},
		{body: `{"model":"m","messages":[{}]} x`, want: "not valid JSON"},
	}
	for _, tt := range tests {
		c, refused := parseCompletion([]byte(tt.body))
		if refused == nil || !strings.Contains(refused.Detail, tt.want) {
			t.Errorf("%s: got %+v, %v", tt.body, c, refused)
		}
	}
}

func FuzzParseCompletion(f *testing.F) {
	f.Add(`{"model":"m","messages":[{"role":"user","content":"x"}],"stop":["a"]}`)
	f.Add(`{"model":"\"","messages":[[]],"a\"b":"\\"}`)
	f.Fuzz(func(t *testing.T, body string) {
		c, refused := parseCompletion([]byte(body))
		if refused != nil {
			return
		}
		for name, value := range c.Fields {
			if !json.Valid(value) {
				t.Fatalf("field %q was parsed as invalid JSON %q", name, value)
			}
		}
	})
}
