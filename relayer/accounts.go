package relayer

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"primrosehook/matcher"
)

// maxCreditAge is how long before a request is sent its credit may have been taken. Requests
// that wait longer take it again: sent together after a wait, they would exceed the cap of the
// time in which they are sent.
const maxCreditAge = time.Second

// uncapped is an Accounts for accounts without caps.
type uncapped struct{}

func (uncapped) Acquire(context.Context, *matcher.Account, int64, float64) (Credit, time.Duration, bool) {
	return nil, 0, true
}

// WithAccounts keeps the usage caps of client accounts; without it none are kept.
func WithAccounts(a Accounts) Option { return func(r *Relayer) { r.accounts = a } }

// authenticate returns the account of a client, nil if it needs none. It reports false if the
// client's key is missing or unknown.
func (r *Relayer) authenticate(table *matcher.Table, route *matcher.Route, meta Meta) (*matcher.Account, bool) {
	if !table.HasAccounts() {
		return nil, true
	}
	a, ok := table.Account(meta.Key)
	return a, ok || route.Public
}

func accountName(a *matcher.Account) string {
	if a == nil {
		return ""
	}
	return a.Name
}

func priorityOf(a *matcher.Account, route *matcher.Route) int {
	if a != nil && a.HasPriority {
		return a.Priority
	}
	return route.Priority
}

// takeCredit takes what the request uses of its account's cap. It reports false if the cap does
// not allow the request; the client is answered then.
func (x *exchange) takeCredit(ctx context.Context) bool {
	if x.account == nil || x.account.RatePerSecond <= 0 {
		return true
	}
	usage := x.account.Usage(x.meta.PromptTokens + x.meta.MaxOutputTokens)
	credit, wait, ok := x.accounts.Acquire(ctx, x.account, x.tableVersion, usage)
	if !ok {
		x.refuseOverCap(wait, usage)
		return false
	}
	x.credit, x.creditAt = credit, x.clock.Now()
	return true
}

// renewCredit takes credit again if the request has waited for long. It reports false if the cap
// does not allow to send the request now; the credit is gone then.
func (x *exchange) renewCredit() (wait time.Duration, ok bool) {
	if x.credit == nil || x.sends > 0 || x.clock.Since(x.creditAt) <= maxCreditAge {
		return 0, true
	}
	wait, ok = x.credit.Renew(x.context)
	if !ok {
		x.credit = nil
		return wait, false
	}
	x.creditAt = x.clock.Now()
	return 0, true
}

// settleCredit refunds the credit of a request that has certainly not run.
func (x *exchange) settleCredit() {
	if x.credit != nil && !x.mayHaveRun && !x.headerSent {
		x.credit.Refund()
	}
}

// refuseOverCap answers 429: the request did not run, and would be over the cap again before the
// time in Retry-After.
func (x *exchange) refuseOverCap(wait time.Duration, usage float64) {
	x.meter.Add(MetricOverCap, 1)
	x.log.Info("relay: account is over its cap", zap.String("account", x.account.Name), zap.Float64("usage", usage), zap.Duration("wait", wait), zap.Int64("config", x.tableVersion))
	setRetryAfter(x.writer, wait, 1)
	writeStatus(x.writer, http.StatusTooManyRequests)
}
