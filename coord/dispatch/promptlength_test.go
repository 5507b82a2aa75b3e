package dispatch

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a capacity computed from prompts of another model, from requests
// counted once for each send, or from a mean that a single request dominates.
func TestMeanPromptIsOfFirstSendsOfAModel(t *testing.T) {
	s := newScenario(2)
	place := func(q Query) {
		q.Service, q.Model = "llm", "m"
		ticket, refusal := s.table.Pick(s.now, q)
		assert.Assert(t, refusal == nil)
		s.table.Done(s.now, ticket, Succeeded)
	}
	assert.Equal(t, s.table.MeanPromptTokens("llm", "m"), 0.0)
	place(Query{})
	assert.Equal(t, s.table.MeanPromptTokens("llm", "m"), 0.0, "a request without a stated length")
	place(Query{PromptTokens: 1000})
	place(Query{PromptTokens: 2000})
	assert.Equal(t, s.table.MeanPromptTokens("llm", "m"), 1500.0)
	place(Query{PromptTokens: 9000, Repeat: true})
	place(Query{PromptTokens: 9000, Begun: true})
	assert.Equal(t, s.table.MeanPromptTokens("llm", "m"), 1500.0)
	assert.Equal(t, s.table.MeanPromptTokens("llm", "other"), 0.0)
	for range 2000 {
		place(Query{PromptTokens: 400})
	}
	mean := s.table.MeanPromptTokens("llm", "m")
	assert.Assert(t, mean >= 400 && mean < 401, "%v", mean)
	place(Query{PromptTokens: 1680})
	assert.Assert(t, s.table.MeanPromptTokens("llm", "m") < 411)
}

// Guards against a map that grows with the model names that callers send.
func TestRefusedRequestsLeaveNoMeanPrompt(t *testing.T) {
	s := newScenario(1)
	_, refusal := s.table.Pick(s.now, Query{Service: "llm", Model: "invented", PromptTokens: 10})
	assert.Assert(t, refusal != nil)
	assert.Equal(t, len(s.table.promptLengths), 0)
}

// Guards against a single caller that states an impossible length: the mean, from which
// the capacity of groups follows, would be wrong for thousands of requests, and the
// work of its account would outweigh all others for minutes. Load: one request that
// states the largest number, at an engine with a known memory.
func TestPromptBeyondMemoryCountsAsFullMemory(t *testing.T) {
	s := newScenario(1)
	svc := s.table.catalog.Service("llm")
	svc.Engine.TokenCapacity, svc.Engine.MeanPrompt = 100_000, 1000
	ticket, refusal := s.table.Pick(s.now, Query{Service: "llm", Model: "m", PromptTokens: math.MaxInt})
	assert.Assert(t, refusal == nil)
	assert.Equal(t, s.table.MeanPromptTokens("llm", "m"), 100_000.0)
	assert.Equal(t, ticket.Work(), 1+promptWeight*100.0)
}
