package allotter

import (
	"strings"
	"sync"
)

// Names of the metrics. Those that end in an underscore are prefixes; the account follows.
const (
	MetricAdmitted   = "account_admitted_"
	MetricRefused    = "account_refused_for_cap_"
	MetricUnanswered = "allot_calls_unanswered"
	// MetricCause is followed by the name of a Cause.
	MetricCause = "allot_refused_"
)

// maxLabels bounds the accounts with metrics of their own.
const maxLabels = 64

// otherLabel is the label of the accounts beyond maxLabels.
const otherLabel = "other"

// labels are the accounts with metrics of their own. It is safe for concurrent use.
type labels struct {
	mu    sync.Mutex
	known map[string]bool
}

// label returns the label of an account. Characters that would break the text of the metrics are
// replaced.
func (l *labels) label(account string) string {
	account = strings.Map(func(r rune) rune {
		if strings.ContainsRune(" \"{}", r) {
			return '_'
		}
		return r
	}, account)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.known[account] {
		return account
	}
	if len(l.known) >= maxLabels {
		return otherLabel
	}
	if l.known == nil {
		l.known = map[string]bool{}
	}
	l.known[account] = true
	return account
}
