package node

import "encoding/json"

type chunkChoice struct {
	Index        int             `json:"index"`
	Delta        json.RawMessage `json:"delta"`
	FinishReason json.RawMessage `json:"finish_reason"`
}

type completionChunk struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices []chunkChoice   `json:"choices"`
	Usage   json.RawMessage `json:"usage,omitempty"`
}

// chunksOf converts a complete answer to the chunks of a stream, the last one
// with the token usage if usage is set. It returns nil if body is malformed.
func chunksOf(body []byte, usage bool) [][]byte {
	var w chatCompletion
	if json.Unmarshal(body, &w) != nil {
		return nil
	}
	p := completionChunk{ID: w.ID, Object: "chat.completion.chunk", Created: w.Created, Model: w.Model, Choices: []chunkChoice{}}
	text := p
	for _, c := range w.Choices {
		text.Choices = append(text.Choices, chunkChoice{Index: c.Index, Delta: c.Message, FinishReason: c.FinishReason})
	}
	all := [][]byte{mustMarshal(text)}
	if usage {
		p.Usage = w.Usage
		all = append(all, mustMarshal(p))
	}
	return all
}

// mustMarshal encodes v as JSON. It panics if v holds a json.RawMessage that is
// not valid JSON.
func mustMarshal(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
