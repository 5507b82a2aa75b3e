package admit

const (
	// DefaultRetryRatio is the part of first tries that may be retried.
	DefaultRetryRatio = 0.1
	// DefaultRetryReserve is the number of retries that may precede any
	// first try.
	DefaultRetryReserve = 3
	// maxRetryTokens bounds the retries that a quiet time can save up.
	maxRetryTokens = 100
)

// RetryBudget bounds retries: over any time since the start, there are no
// more than Ratio times the first tries, plus Reserve.
type RetryBudget struct {
	ratio  float64
	tokens float64
	off    bool
}

// NewRetryBudget returns a budget with the ratio and reserve.
func NewRetryBudget(ratio float64, reserve int) *RetryBudget {
	return &RetryBudget{ratio: ratio, tokens: float64(reserve)}
}

// UnlimitedRetries returns a budget that allows every retry; it exists for
// comparison.
func UnlimitedRetries() *RetryBudget { return &RetryBudget{off: true} }

// First notes a first try.
func (b *RetryBudget) First() {
	if b.tokens < maxRetryTokens {
		b.tokens = min(b.tokens+b.ratio, maxRetryTokens)
	}
}

// Retry reports whether a retry may be sent, and counts it if so.
func (b *RetryBudget) Retry() bool {
	if b.off {
		return true
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
