package entryassembler

import (
	"context"
	"time"

	"primrosehook/allotter"
	"primrosehook/matcher"
	"primrosehook/relayer"
)

// accounts adapts an Allotter to relayer.Accounts.
type accounts struct{ allotter *allotter.Allotter }

// Acquire implements relayer.Accounts.
func (a accounts) Acquire(ctx context.Context, account *matcher.Account, version int64, amount float64) (relayer.Credit, time.Duration, bool) {
	c, wait, ok := a.allotter.Acquire(ctx, account, version, amount)
	if !ok {
		return nil, wait, false
	}
	return c, 0, true
}
