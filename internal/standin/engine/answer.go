package engine

import (
	"hash/fnv"
	"math/rand/v2"
	"strings"
)

// Range of an answer's length, in tokens, when the request doesn't set one.
const (
	minTokens    = 12
	tokensSpread = 20
	// maxAnswerTokens is the maximum number of tokens that a request gets.
	maxAnswerTokens = 32768
)

var vocabulary = []string{
	"cotton", "nitrile", "glove", "archive", "reading", "room", "condition", "report", "skříň", "rukavice",
	"perch", "seed", "장갑", "앵무새", "box", "order", "size", "medium", "shelf", "parchment", "humidity", "page",
}

// ExpectedText returns the text with which every engine answers a prompt. If
// maxTokens is 0, the length is derived from the prompt.
func ExpectedText(prompt string, maxTokens int) string {
	return strings.Join(expectedTokens(prompt, maxTokens), "")
}

// ExpectedChatText returns the text with which every engine answers a chat.
func ExpectedChatText(messages []Message, maxTokens int) string {
	return ExpectedText(ChatPrompt(messages), maxTokens)
}

// ChatPrompt joins the messages of a chat into one prompt.
func ChatPrompt(messages []Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(string(m.Content))
		b.WriteByte('\n')
	}
	return b.String()
}

// expectedTokens derives the answer's tokens from a hash of the prompt.
func expectedTokens(prompt string, maxTokens int) []string {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(prompt))
	random := rand.New(rand.NewPCG(hash.Sum64(), 0))
	n := min(maxTokens, maxAnswerTokens)
	if n <= 0 {
		n = minTokens + random.IntN(tokensSpread)
	}
	tokens := make([]string, n)
	for i := range tokens {
		tokens[i] = vocabulary[random.IntN(len(vocabulary))]
		if i > 0 {
			tokens[i] = " " + tokens[i]
		}
	}
	return tokens
}
