package daemon

import (
	"context"
	"errors"
	"net/http"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/internal/standin/engine"
)

// TestOpenAIClient calls an entry VM with an unmodified client of the OpenAI
// API.
func TestOpenAIClient(t *testing.T) {
	t.Parallel()
	c := newTwoDataCentreCluster(t)
	ctx := context.Background()
	client := openai.NewClient(option.WithBaseURL("http://"+c.nodes["praha-e0"].callers+"/v1"), option.WithAPIKey(testKey))
	messages := []openai.ChatCompletionMessageParamUnion{openai.UserMessage("which gloves for vellum?")}
	params := openai.ChatCompletionNewParams{Model: testModel, Messages: messages, MaxTokens: openai.Int(6)}
	want := engine.ExpectedChatText([]engine.Message{{Role: "user", Content: "which gloves for vellum?"}}, 6)

	models, err := client.Models.List(ctx)
	assert.NilError(t, err)
	assert.Equal(t, models.Data[0].ID, testModel)

	whole, err := client.Chat.Completions.New(ctx, params)
	assert.NilError(t, err)
	assert.Equal(t, whole.Choices[0].Message.Content, want)

	stream := client.Chat.Completions.NewStreaming(ctx, params)
	var streamed openai.ChatCompletionAccumulator
	for stream.Next() {
		assert.Assert(t, streamed.AddChunk(stream.Current()))
	}
	assert.NilError(t, stream.Err())
	assert.Equal(t, streamed.Choices[0].Message.Content, want)

	params.Model = "unknown"
	_, err = client.Chat.Completions.New(ctx, params)
	var apiErr *openai.Error
	assert.Assert(t, errors.As(err, &apiErr), "%v", err)
	assert.Equal(t, apiErr.StatusCode, http.StatusNotFound)
	assert.Equal(t, apiErr.Code, "unknown-model")
}

// TestOpenAIClientSeesBrokenStream checks that the client gets an error, not a
// truncated answer, when the streams of all engines break off.
func TestOpenAIClientSeesBrokenStream(t *testing.T) {
	t.Parallel()
	c := newTwoDataCentreCluster(t)
	for _, e := range c.engines {
		e.SetFaults(engine.Faults{CutAfterEvents: 1})
	}
	client := openai.NewClient(option.WithBaseURL("http://"+c.nodes["praha-e0"].callers+"/v1"), option.WithAPIKey(testKey))
	stream := client.Chat.Completions.NewStreaming(context.Background(), openai.ChatCompletionNewParams{
		Model: testModel, MaxTokens: openai.Int(30),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("a long answer")},
	})
	for stream.Next() {
		_ = stream.Current()
	}
	assert.Assert(t, stream.Err() != nil, "a truncated answer was accepted as complete")
}
