package relayer

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"primrosehook/judge"
	"primrosehook/matcher"
)

// maxCreditAge is how long before a request is sent its credit may have been taken. Requests
// that wait longer take it again: sent together after a wait, they would exceed the cap of the
// time in which they are sent. Half a second is a sixteenth of what the window of 8 s allows, which
// fits in the tolerance of the caps.
const maxCreditAge = 500 * time.Millisecond

// uncapped is an Accounts for accounts without caps.
type uncapped struct{}

func (uncapped) Acquire(context.Context, *matcher.Account, int64, float64) (Credit, CapDenial, bool) {
	return nil, CapDenial{}, true
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
	credit, denial, ok := x.accounts.Acquire(ctx, x.account, x.tableVersion, x.usage())
	if !ok {
		x.refuseOverCap(denial, "arrived")
		return false
	}
	x.credit, x.creditAt = credit, x.clock.Now()
	return true
}

// usage returns what the request counts of its account's cap each time that it runs.
func (x *exchange) usage() float64 {
	return x.account.Usage(x.meta.PromptTokens + x.meta.MaxOutputTokens)
}

// creditToSend takes credit for the next attempt: again if the former one was long ago, and once more
// if the request may have run with it. It reports false if the cap does not allow to send the
// request now; the credit is gone then.
func (x *exchange) creditToSend() (denial CapDenial, ok bool) {
	switch {
	case x.credit == nil:
		return CapDenial{}, true
	case x.creditUsed:
		denial, ok = x.credit.Repeat(x.context)
	case x.clock.Since(x.creditAt) <= maxCreditAge:
		return CapDenial{}, true
	default:
		denial, ok = x.credit.Renew(x.context)
	}
	if !ok {
		x.credit = nil
		return denial, false
	}
	x.creditAt, x.creditUsed = x.clock.Now(), false
	return CapDenial{}, true
}

// refuseToSend ends a request whose cap does not allow the next attempt, or whose client left or key was
// revoked while it waited for credit.
func (x *exchange) refuseToSend(denial CapDenial) {
	if x.clientGone() {
		x.giveUp("client left while the request waited for credit")
		return
	}
	if !x.mayHaveRun && !x.headerSent {
		x.refuseOverCap(denial, "waited")
		return
	}
	x.meter.Add(MetricRepeatOverCap, 1)
	x.giveUp("account is over its cap", zap.String("cause", denial.Cause), zap.Duration("wait", denial.Wait))
}

// recordRun records that the request may have run.
func (x *exchange) recordRun() { x.mayHaveRun, x.creditUsed = true, true }

// errOverCap ends an attempt at another server that the account's cap does not allow.
var errOverCap error = &judge.Refusal{Verdict: judge.NotRun, Status: http.StatusTooManyRequests, Code: "account-cap", Reason: "the account is over its cap"}

// takeCredit takes credit of its own for an attempt that is made while the request may run at
// another server. It reports false if the cap does not allow it.
func (t *attempt) takeCredit() bool {
	if t.account == nil || t.account.RatePerSecond <= 0 {
		return true
	}
	credit, _, ok := t.accounts.Acquire(t.attemptContext, t.account, t.tableVersion, t.usage())
	if !ok {
		t.meter.Add(MetricRepeatOverCap, 1)
		t.err = errOverCap
		return false
	}
	t.ownCredit = credit
	return true
}

// settleCredit refunds the credit of an attempt that has certainly not run.
func (t *attempt) settleCredit() {
	if t.ownCredit != nil && !t.ran {
		t.ownCredit.Refund()
	}
}

// settleCredit refunds the credit of a request that has certainly not run since it was taken.
func (x *exchange) settleCredit() {
	if x.credit != nil && !x.creditUsed {
		x.credit.Refund()
	}
}

// refuseOverCap answers 429: the request did not run, and would be over the cap again before the
// time in Retry-After.
func (x *exchange) refuseOverCap(denial CapDenial, when string) {
	x.meter.Add(MetricOverCap, 1)
	x.log.Info("relay: account is over its cap", zap.String("account", x.account.Name), zap.String("cause", denial.Cause), zap.String("when", when), zap.Float64("usage", x.usage()), zap.Duration("wait", denial.Wait), zap.Int64("config", x.tableVersion))
	setRetryAfter(x.writer, denial.Wait, 1)
	writeStatus(x.writer, http.StatusTooManyRequests)
}
