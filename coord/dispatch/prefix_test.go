package dispatch

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/quarantine"
)

// prefixOf returns the beginning of a prompt with the given parts and tokens.
func prefixOf(promptTokens int, parts ...int) *Prefix {
	p := NewPrefix(promptTokens)
	for i := 0; i < len(parts); i += 2 {
		p.Add(quarantine.Part(parts[i]), parts[i+1])
	}
	return p
}

// Guards against a caller who makes the node keep as much memory for each request
// as fits in a header.
func TestPrefixOfAThousandPartsIsBounded(t *testing.T) {
	p := NewPrefix(1 << 20)
	added := 0
	for i := range 1000 {
		added++
		if !p.Add(quarantine.Part(i), 10) {
			break
		}
	}
	assert.Equal(t, added, maxPrefixParts)
	for i := range 1000 {
		assert.Assert(t, !p.Add(quarantine.Part(5000+i), 10))
	}
	assert.Equal(t, len(p.parts), maxPrefixParts)
	assert.Assert(t, cap(p.parts) <= 2*maxPrefixParts)
	assert.Equal(t, p.tokens, 10*maxPrefixParts)
}

// Guards against savings beyond the time to read the prompt, from tokens that no
// prompt has or from a part that is listed more than once.
func TestTokensOfAPrefixAreThoseOfThePromptAtMost(t *testing.T) {
	for name, c := range map[string]struct {
		p    *Prefix
		want int
	}{
		"sound":               {prefixOf(1000, 1, 300, 2, 200), 500},
		"beyond the prompt":   {prefixOf(1000, 1, 300, 2, math.MaxInt, 3, math.MaxInt), 1000},
		"negative":            {prefixOf(1000, 1, -300, 2, math.MinInt, 3, 7), 7},
		"same part twice":     {prefixOf(1000, 1, 300, 1, 300, 2, 50, 1, 300), 350},
		"length unknown":      {prefixOf(0, 1, 300), 0},
		"length out of range": {prefixOf(-5, 1, 300), 0},
	} {
		assert.Check(t, c.p.tokens == c.want, "%s: %d", name, c.p.tokens)
		assert.Check(t, c.p.sharedTokens(c.p) == c.want, name)
	}
}

// Guards against savings for parts that are not at the beginning of both prompts:
// what follows a difference has to be read again.
func TestSharedTokensAreThoseOfLeadingParts(t *testing.T) {
	p := prefixOf(1000, 1, 300, 2, 200, 3, 100)
	for name, c := range map[string]struct {
		other *Prefix
		want  int
	}{
		"the same":             {prefixOf(1000, 1, 300, 2, 200, 3, 100), 600},
		"shorter":              {prefixOf(400, 1, 300), 300},
		"longer":               {prefixOf(2000, 1, 300, 2, 200, 3, 100, 4, 900), 600},
		"another in between":   {prefixOf(1000, 1, 300, 9, 200, 3, 100), 300},
		"another first":        {prefixOf(1000, 9, 300, 2, 200, 3, 100), 0},
		"another order":        {prefixOf(1000, 2, 200, 1, 300), 0},
		"none":                 {prefixOf(1000), 0},
		"different statements": {prefixOf(1000, 1, 100, 2, 900), 300},
	} {
		assert.Check(t, p.sharedTokens(c.other) == c.want, name)
		assert.Check(t, c.other.sharedTokens(p) == c.want, name)
	}
}
