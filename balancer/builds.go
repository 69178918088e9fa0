package balancer

import (
	"context"
	"slices"
	"time"
)

const (
	// maxRegistryAge is the age of the last read of the registry beyond which it is not
	// waited for the next one.
	maxRegistryAge = 2500 * time.Millisecond
	// maxProofTime bounds the wait for reads of the registry: two of the lease holder's, and
	// their way from it.
	maxProofTime = 1500 * time.Millisecond
	// buildLifetime is how long a build that is not registered any more may have streams
	// that clients take up again.
	buildLifetime = 90 * time.Second
)

// departedServer is a server that is not registered any more, and when it last was.
type departedServer struct {
	build        string
	registeredAt time.Time
}

// recordDepartures records the servers that were registered before and are not any more.
func (c *Core) recordDepartures(now time.Time, before map[string]*server) {
	for id, s := range before {
		if next, ok := c.servers[id]; ok && next.Incarnation == s.Incarnation {
			continue
		}
		c.departed[Hash(s.Incarnation)] = departedServer{build: s.Build, registeredAt: c.registeredAt}
		if !s.Draining {
			c.recordLoss(now, s.Incarnation)
		}
	}
	for incarnation, d := range c.departed {
		if c.registeredAt.Sub(d.registeredAt) > buildLifetime {
			delete(c.departed, incarnation)
		}
	}
}

// fits reports whether a server may run a request, by the build that the request needs.
func (s *server) fits(q Request) bool { return q.Build == "" || s.Build == q.Build }

// recordBuilds records which builds are registered.
func (c *Core) recordBuilds(now time.Time) {
	if len(c.sorted) > 0 && c.observedSince.IsZero() {
		c.observedSince = now
	}
	for _, s := range c.sorted {
		c.builds[s.Build] = now
	}
	for build, at := range c.builds {
		if now.Sub(at) > buildLifetime {
			delete(c.builds, build)
		}
	}
}

// OnlyBuild returns the build of all servers that were registered within buildLifetime. It
// reports false if there were several, or none. observed is for how long servers have been
// registered.
func (c *Core) OnlyBuild(now time.Time) (build string, observed time.Duration, ok bool) {
	c.recordBuilds(now)
	if len(c.builds) != 1 {
		return "", 0, false
	}
	for b := range c.builds {
		build = b
	}
	return build, now.Sub(c.observedSince), true
}

// OnlyBuild returns the build of all servers of a service that were registered of late. It
// reports false if there were several, or if the registry was not read lately. observed is
// for how long servers have been registered.
func (f *Fleet) OnlyBuild(service string) (build string, observed time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c, known := f.cores[service]
	if !known || f.registryIsOld() {
		return "", 0, false
	}
	return c.OnlyBuild(f.clock.Now())
}

// RecordRead records that the registry is known as it was at a time.
func (f *Fleet) RecordRead(asOf time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.registryRead = asOf
	for _, c := range f.cores {
		c.registeredAt = asOf
	}
	close(f.registryWasRead)
	f.registryWasRead = make(chan struct{})
}

// registryIsOld reports whether the registry was not read lately. Before the first read
// that is recorded it is not old. f.mu must be held.
func (f *Fleet) registryIsOld() bool {
	return !f.registryRead.IsZero() && f.clock.Since(f.registryRead) > maxRegistryAge
}

// excludeUnproven adds servers to a request's excluded ones that can't be proved to be the
// registered ones soon. f.mu must be held.
func (f *Fleet) excludeUnproven(c *Core, q Request) Request {
	if q.Build == "" || !f.registryIsOld() {
		return q
	}
	q.Exclude = slices.Clone(q.Exclude)
	for _, s := range c.sorted {
		if !f.pools[s.Incarnation+s.Address].HasOpenedBefore(f.registryRead) {
			q.Exclude = append(q.Exclude, s.ID)
		}
	}
	return q
}

// Prove makes sure that a request reaches the registered server, whose build is known, and
// not another process at its address: only connections are used that were open when the
// registry was read. It reports false if there is none soon.
func (a *Assignment) Prove(ctx context.Context) bool {
	f := a.fleet
	f.mu.Lock()
	a.openedBefore = f.registryRead
	f.mu.Unlock()
	if a.openedBefore.IsZero() || a.Pool.HasOpenedBefore(a.openedBefore) {
		return true
	}
	opened := f.clock.Now()
	if a.Pool.Probe(ctx) != nil || !a.Confirm(ctx, f.clock.Now()) {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	a.openedBefore = f.registryRead
	return a.openedBefore.After(opened)
}

// OpenedBefore is the latest opening of the connections that may be used, zero for any.
func (a *Assignment) OpenedBefore() time.Time { return a.openedBefore }

// Confirm reports whether the process to which a connection was opened at a time is the
// registered server. It waits until the registry is known as it was later.
func (a *Assignment) Confirm(ctx context.Context, opened time.Time) bool {
	return a.fleet.ConfirmProcess(ctx, a.service, a.Build, Hash(a.Incarnation), opened)
}

// Confirmed is Confirm without waiting.
func (a *Assignment) Confirmed(opened time.Time) bool {
	confirmed, _, _ := a.fleet.confirmed(a.service, a.Build, Hash(a.Incarnation), opened)
	return confirmed
}

// ConfirmProcess reports whether an incarnation, given by its hash, was registered with a
// build after a time. It waits until the registry is known as it was later.
func (f *Fleet) ConfirmProcess(ctx context.Context, service, build string, incarnation uint64, after time.Time) bool {
	ctx, cancel := context.WithTimeout(ctx, maxProofTime)
	defer cancel()
	for {
		confirmed, settled, wasRead := f.confirmed(service, build, incarnation, after)
		if settled {
			return confirmed
		}
		select {
		case <-wasRead:
		case <-ctx.Done():
			return false
		}
	}
}

// confirmed reports whether an incarnation was registered with a build after a time. Settled
// is false while the registry is not known as it was later; wasRead is closed when it is read.
func (f *Fleet) confirmed(service, build string, incarnation uint64, after time.Time) (confirmed, settled bool, wasRead <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.registryRead.IsZero() {
		return true, true, nil
	}
	c, ok := f.cores[service]
	if !ok {
		return false, true, nil
	}
	if d, ok := c.departed[incarnation]; ok && d.build == build && d.registeredAt.After(after) {
		return true, true, nil
	}
	if !f.registryRead.After(after) {
		return false, false, f.registryWasRead
	}
	registered := slices.ContainsFunc(c.sorted, func(s *server) bool { return Hash(s.Incarnation) == incarnation && s.Build == build })
	return registered, true, nil
}
