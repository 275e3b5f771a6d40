package node

import "encoding/json"

type pieceChoice struct {
	Index        int             `json:"index"`
	Delta        json.RawMessage `json:"delta"`
	FinishReason json.RawMessage `json:"finish_reason"`
}

type piece struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices []pieceChoice   `json:"choices"`
	Usage   json.RawMessage `json:"usage,omitempty"`
}

// pieces returns a whole answer as the pieces of a stream.
func pieces(body []byte, usage bool) [][]byte {
	var w wholeAnswer
	if json.Unmarshal(body, &w) != nil {
		return nil
	}
	p := piece{ID: w.ID, Object: "chat.completion.chunk", Created: w.Created, Model: w.Model, Choices: []pieceChoice{}}
	text := p
	for _, c := range w.Choices {
		text.Choices = append(text.Choices, pieceChoice{Index: c.Index, Delta: c.Message, FinishReason: c.FinishReason})
	}
	all := [][]byte{mustMarshal(text)}
	if usage {
		p.Usage = w.Usage
		all = append(all, mustMarshal(p))
	}
	return all
}

// mustMarshal encodes a value whose raw parts were decoded from JSON before.
func mustMarshal(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
