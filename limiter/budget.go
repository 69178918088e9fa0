package limiter

// RetryBudget is a token bucket that limits retries to a ratio of fresh requests, so
// that retries cannot amplify an overload. Over any sequence of calls,
// retries <= ratio * fresh + burst.
type RetryBudget struct {
	ratio  float64
	burst  float64
	tokens float64
}

// NewRetryBudget returns a budget whose bucket is full.
func NewRetryBudget(ratio float64, burst int) *RetryBudget {
	return &RetryBudget{ratio: ratio, burst: float64(burst), tokens: float64(burst)}
}

// Fresh records a request that is not a retry.
func (b *RetryBudget) Fresh() { b.tokens = min(b.tokens+b.ratio, b.burst) }

// Retry reports whether another retry is allowed, and counts it if so.
func (b *RetryBudget) Retry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
