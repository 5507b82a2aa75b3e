package dispatch

// promptLengthWeight is the weight of the newest request in the running mean of the
// length of prompts. Prompts differ more from each other than times to the first
// byte, so that the mean covers more of them.
const promptLengthWeight = 1.0 / 128

// MeanPromptTokens returns the running mean of the prompt tokens of the requests
// that this node has placed at the endpoints for a model, or 0 if it has placed
// none whose length was stated.
func (t *Table) MeanPromptTokens(service, model string) float64 {
	return t.promptLengths[poolKey{service, model}].mean
}

// promptLength is the running mean of the prompts of a pool.
type promptLength struct {
	mean float64
	n    int // number of requests, at most 1/promptLengthWeight
}

// recordPrompt updates the mean prompt of a pool with a request that has been
// placed there for the first time, whose prompt has the given bounded length.
func (t *Table) recordPrompt(q *Query, tokens int) {
	if q.PromptTokens <= 0 || q.Repeat || q.Resent || q.Begun {
		return
	}
	key := poolKey{q.Service, q.Model}
	l := t.promptLengths[key]
	l.n = min(l.n+1, 1/promptLengthWeight)
	l.mean += (float64(tokens) - l.mean) / float64(l.n)
	t.promptLengths[key] = l
}

// boundedPrompt returns the length of a request's prompt, at most what fits in the
// memory of an engine. Callers may state more.
func (t *Table) boundedPrompt(q *Query) int {
	if svc := t.catalog.Service(q.Service); svc != nil && svc.Engine != nil && svc.Engine.TokenCapacity > 0 {
		return min(q.PromptTokens, svc.Engine.TokenCapacity)
	}
	return q.PromptTokens
}
