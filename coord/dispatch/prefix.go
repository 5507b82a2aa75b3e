package dispatch

import "github.com/pimentoshore/pimentoshore/coord/quarantine"

// maxPrefixParts is the largest number of parts that are kept of a prompt's
// beginning. The memory of a request must not depend on the number of parts that a
// caller lists.
const maxPrefixParts = 16

// Prefix is the beginning of a prompt that other requests may share, as a list of
// parts. It doesn't change once it is part of a Query.
type Prefix struct {
	parts  []prefixPart
	tokens int // of all parts
	limit  int // tokens of the prompt
}

type prefixPart struct {
	id     quarantine.Part
	tokens int
}

// NewPrefix returns the empty beginning of a prompt of the given length. A length
// of 0 means that it is unknown; no tokens are counted then.
func NewPrefix(promptTokens int) *Prefix { return &Prefix{limit: max(0, promptTokens)} }

// Add appends a part and reports whether another one may be added. A part that is
// in the list already is left out, and so are its tokens. Tokens beyond the prompt
// are not counted.
func (p *Prefix) Add(id quarantine.Part, tokens int) (more bool) {
	if len(p.parts) >= maxPrefixParts {
		return false
	}
	for i := range p.parts {
		if p.parts[i].id == id {
			return true
		}
	}
	tokens = min(max(0, tokens), p.limit-p.tokens)
	p.parts = append(p.parts, prefixPart{id, tokens})
	p.tokens += tokens
	return len(p.parts) < maxPrefixParts
}

// Tokens returns the number of tokens that the parts hold together.
func (p *Prefix) Tokens() int { return p.tokens }

// Parts returns the number of parts.
func (p *Prefix) Parts() int { return len(p.parts) }

// sharedTokens returns the number of tokens in the parts with which both prompts
// begin. If they state different lengths of a part, the shorter one counts.
func (p *Prefix) sharedTokens(other *Prefix) int {
	tokens := 0
	for i := range min(len(p.parts), len(other.parts)) {
		a, b := p.parts[i], other.parts[i]
		if a.id != b.id {
			break
		}
		tokens += min(a.tokens, b.tokens)
	}
	return tokens
}

// first returns the first part, and false if there is none.
func (p *Prefix) first() (quarantine.Part, bool) {
	if p == nil || len(p.parts) == 0 {
		return 0, false
	}
	return p.parts[0].id, true
}
