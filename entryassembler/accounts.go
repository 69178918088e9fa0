package entryassembler

import (
	"context"

	"primrosehook/allotter"
	"primrosehook/matcher"
	"primrosehook/relayer"
)

// accounts adapts an Allotter to relayer.Accounts.
type accounts struct{ allotter *allotter.Allotter }

// credit adapts an allotter.Credit to relayer.Credit.
type credit struct{ *allotter.Credit }

func capDenial(d allotter.Denial) relayer.CapDenial {
	return relayer.CapDenial{Wait: d.Wait, Cause: d.Cause.String()}
}

// Acquire implements relayer.Accounts.
func (a accounts) Acquire(ctx context.Context, account *matcher.Account, version int64, amount float64) (relayer.Credit, relayer.CapDenial, bool) {
	c, denial, ok := a.allotter.Acquire(ctx, account, version, amount)
	if !ok {
		return nil, capDenial(denial), false
	}
	return credit{c}, relayer.CapDenial{}, true
}

// Renew implements relayer.Credit.
func (c credit) Renew(ctx context.Context) (relayer.CapDenial, bool) {
	denial, ok := c.Credit.Renew(ctx)
	return capDenial(denial), ok
}

// Repeat implements relayer.Credit.
func (c credit) Repeat(ctx context.Context) (relayer.CapDenial, bool) {
	denial, ok := c.Credit.Repeat(ctx)
	return capDenial(denial), ok
}
