package faker

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"primrosehook/lister"
)

// Announcer keeps an engine or service listed in the instance list.
type Announcer struct {
	list     lister.List
	clock    clockwork.Clock
	interval time.Duration
	instance func() lister.Instance
}

// NewAnnouncer returns an announcer that renews the entry at an interval. It
// calls instance for each announcement, so that changes of state are listed.
func NewAnnouncer(list lister.List, clock clockwork.Clock, every time.Duration, instance func() lister.Instance) *Announcer {
	return &Announcer{list: list, clock: clock, interval: every, instance: instance}
}

// Announce announces the instance once. Errors are ignored.
func (a *Announcer) Announce(ctx context.Context) {
	limit, cancel := context.WithTimeout(ctx, a.interval)
	defer cancel()
	// A failed announcement is repeated after the interval.
	_ = a.list.Announce(limit, a.instance())
}

// Run announces the instance until the context ends, then withdraws it.
func (a *Announcer) Run(ctx context.Context) {
	for {
		a.Announce(ctx)
		if sleep(ctx, a.clock, a.interval) != nil {
			break
		}
	}
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), a.interval)
	defer cancel()
	_ = a.list.Withdraw(last, a.instance().Name)
}
