package engine

import (
	"encoding/json"
	"strings"
)

// Text is decoded from a JSON string, or from an array of strings or text parts,
// which are concatenated. Callers may send any of these.
type Text string

type textPart struct {
	Text string `json:"text"`
}

// UnmarshalJSON implements json.Unmarshaler.
func (t *Text) UnmarshalJSON(data []byte) error {
	var text string
	if json.Unmarshal(data, &text) == nil {
		*t = Text(text)
		return nil
	}
	var texts []string
	if json.Unmarshal(data, &texts) == nil {
		*t = Text(strings.Join(texts, ""))
		return nil
	}
	var parts []textPart
	if err := json.Unmarshal(data, &parts); err != nil {
		return err
	}
	for _, p := range parts {
		*t += Text(p.Text)
	}
	return nil
}

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content Text   `json:"content"`
}

// Request is a chat completion or completion request, limited to the fields that
// the stand-in reads.
type Request struct {
	Model               string    `json:"model"`
	Messages            []Message `json:"messages,omitempty"`
	Prompt              Text      `json:"prompt,omitempty"`
	MaxTokens           int       `json:"max_tokens,omitempty"`
	MaxCompletionTokens int       `json:"max_completion_tokens,omitempty"`
	Stream              bool      `json:"stream,omitempty"`
}

// prompt returns the prompt from which the answer is derived.
func (r *Request) prompt() string {
	if len(r.Messages) > 0 {
		return ChatPrompt(r.Messages)
	}
	return string(r.Prompt)
}

func (r *Request) tokens() []string {
	return expectedTokens(r.prompt(), max(r.MaxTokens, r.MaxCompletionTokens))
}

// Usage counts tokens.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Choice is one answer, or the part of it in one event. Message is set in whole
// chat answers, Delta in streamed chat answers, Text in completions.
type Choice struct {
	Index        int      `json:"index"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Delta   `json:"delta,omitempty"`
	Text         string   `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Delta is the part of a message that an event carries.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// Answer is a whole answer or the data of one event.
type Answer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// apiError is an error response in the format of the OpenAI API.
type apiError struct {
	Error apiErrorBody `json:"error"`
}

type apiErrorBody struct {
	Message string `json:"message"`
	Type    string `json:"type"`
}
