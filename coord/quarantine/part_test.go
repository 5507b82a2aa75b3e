package quarantine

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestRequestsThatDifferHaveDifferentParts(t *testing.T) {
	requests := []Request{
		{Account: "a", Method: "POST", Host: "h", Target: "/x", Body: []byte("b")},
		{Account: "b", Method: "POST", Host: "h", Target: "/x", Body: []byte("b")},
		{Account: "a", Method: "GET", Host: "h", Target: "/x", Body: []byte("b")},
		{Account: "a", Method: "POST", Host: "i", Target: "/x", Body: []byte("b")},
		{Account: "a", Method: "POST", Host: "h", Target: "/x?y", Body: []byte("b")},
		{Account: "a", Method: "POST", Host: "h", Target: "/x", Body: []byte("c")},
		{Account: "a", Method: "POST", Host: "h", Target: "/xb"},
		{Account: "aPOST", Host: "h", Target: "/x", Body: []byte("b")},
	}
	seen := make(map[Part]int)
	for i, r := range requests {
		p := r.Part()
		assert.Assert(t, p.IsRequest())
		assert.Equal(t, p, r.Part())
		assert.Equal(t, ParsePart(p.String()), p)
		assert.Assert(t, ParsePromptPart(p.String()) != p, "a caller can name it as a part of a prompt")
		before, taken := seen[p]
		assert.Assert(t, !taken, "requests %d and %d", before, i)
		seen[p] = i
	}
}
