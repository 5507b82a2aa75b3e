package admit

const (
	// DefaultRetryRatio is the number of retries allowed per first attempt.
	DefaultRetryRatio = 0.1
	// DefaultRetryReserve is the number of retries allowed in addition, even
	// before any first attempt.
	DefaultRetryReserve = 3
	// maxRetryTokens limits the retries that can accumulate while few requests
	// are retried.
	maxRetryTokens = 100
)

// RetryBudget limits retries: at any time, the number of retries since the start
// is at most the ratio times the number of first attempts, plus the reserve.
type RetryBudget struct {
	ratio     float64
	tokens    float64
	unlimited bool
}

// NewRetryBudget returns a budget with the given ratio and reserve.
func NewRetryBudget(ratio float64, reserve int) *RetryBudget {
	return &RetryBudget{ratio: ratio, tokens: float64(reserve)}
}

// UnlimitedRetries returns a budget that allows every retry, for comparison.
func UnlimitedRetries() *RetryBudget { return &RetryBudget{unlimited: true} }

// First records a first attempt.
func (b *RetryBudget) First() {
	if b.tokens < maxRetryTokens {
		b.tokens = min(b.tokens+b.ratio, maxRetryTokens)
	}
}

// Retry reports whether a retry may be sent, and counts it if so.
func (b *RetryBudget) Retry() bool {
	if b.unlimited {
		return true
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
