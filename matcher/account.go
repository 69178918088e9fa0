package matcher

import "crypto/sha256"

// Account is a client account: its clients send one of its keys with each request.
type Account struct {
	Name string
	// Priority takes precedence over that of the route; valid if HasPriority.
	Priority    int
	HasPriority bool
	// RatePerSecond and Burst are the usage cap over all instances together. A rate of
	// zero means that there is none.
	RatePerSecond, Burst float64
	// Tokens means that the cap is in tokens, not in requests. PlainTokens is then the
	// usage of a request that states none.
	Tokens      bool
	PlainTokens float64
}

// Usage returns how much of the cap a request of a number of tokens uses; zero stands
// for a request that states none.
func (a *Account) Usage(tokens int) float64 {
	switch {
	case !a.Tokens:
		return 1
	case tokens > 0:
		return float64(tokens)
	default:
		return a.PlainTokens
	}
}

// KeyDigest is the digest by which a key is stored and found. Looking up digests takes
// no time that depends on how much of a wrong key is right.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// TableOption sets an option of a Table.
type TableOption func(*Table)

// WithAccounts has all routes that are not public require the key of an account.
func WithAccounts(accounts map[KeyDigest]*Account) TableOption {
	return func(t *Table) {
		t.accounts = accounts
		if accounts == nil {
			t.accounts = map[KeyDigest]*Account{}
		}
	}
}

// HasAccounts reports whether requests are accounted to client accounts.
func (t *Table) HasAccounts() bool { return t.accounts != nil }

// Account returns the account that a key belongs to.
func (t *Table) Account(key string) (*Account, bool) {
	if key == "" {
		return nil, false
	}
	a, ok := t.accounts[DigestKey(key)]
	return a, ok
}
