package limiter

// Budget bounds retries to a share of fresh requests, so that retries cannot
// become the load. Over any run, retries <= share * fresh + burst.
type Budget struct {
	share  float64
	burst  float64
	tokens float64
}

// NewBudget returns a budget that starts full.
func NewBudget(share float64, burst int) *Budget {
	return &Budget{share: share, burst: float64(burst), tokens: float64(burst)}
}

// Fresh counts a request that is not a retry.
func (b *Budget) Fresh() { b.tokens = min(b.tokens+b.share, b.burst) }

// Retry reports whether one more retry is allowed, and counts it.
func (b *Budget) Retry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
