// Package poolmanager manages pools of engines: it holds a pool's lease, polls the
// engines' reports, plans, sends orders, and serves the engines' state to all
// entry instances. Which orders are safe is decided in package orderchecker, and which
// are useful in package poolplanner.
//
// Each pool has one lease holder at a time, one of the pool's owners, so that each
// engine is polled once a second by one instance and not by all. Entry instances
// pull a digest from the lease holder (Reader). While the log is unavailable the
// lease expires and no order is sent, but polling and digests continue.
package poolmanager

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"primrosehook/driver"
	"primrosehook/lister"
	"primrosehook/messenger"
	"primrosehook/orderchecker"
	"primrosehook/poolplanner"
	"primrosehook/recorder"
	"primrosehook/ruler"
	"primrosehook/storereader"
	"primrosehook/watcher"
)

// Intervals and timeouts.
const (
	stepInterval   = 200 * time.Millisecond
	followInterval = time.Second
	pollInterval   = time.Second
	planInterval   = time.Second
	listInterval   = 2 * time.Second
	// fastPeriod is how long after an order was proposed the busy engines are
	// polled and plans are made at every step.
	fastPeriod    = 3 * time.Second
	storeInterval = time.Second

	pollTimeout = 2 * time.Second
	sendTimeout = 5 * time.Second
	listTimeout = 3 * time.Second
	// minHandoverDelay is how long another owner must have ranked first before
	// the lease is handed over. The delay doubles each time that the other owner
	// did not claim the lease.
	minHandoverDelay = 10 * time.Second
	maxHandoverDelay = 10 * time.Minute
	// followGrace is how long a pool is followed after this instance stopped
	// being one of its owners.
	followGrace = 30 * time.Second
	// snapshotInterval is less than a quarter of the log's shortest retention
	// time, which is an hour.
	snapshotInterval = 10 * time.Minute
	resetAfter       = time.Minute
)

const (
	// ownerCount is how many instances follow a pool's stream: the lease holder
	// and two that can take over without reading the stream from the start.
	ownerCount = 3
	// maxConcurrentPolls limits the outstanding report requests of a pool.
	maxConcurrentPolls = 16
	// snapshotRecords is the number of records after which a snapshot is due.
	snapshotRecords = 5000
	// unlimitedSlots is the number of concurrent loads if no limit is known.
	unlimitedSlots = 1000
)

// Dependencies are the dependencies of a Manager and a Reader.
type Dependencies struct {
	Log  recorder.Log
	View watcher.View
	// List is the platform's instance list. It decides which instances are gone;
	// View also drops instances that only failed to respond.
	List    lister.List
	Engines func(addr string) driver.Engine
	// Rules returns the rule list in force, or nil.
	Rules func() *ruler.List
	// Store may be nil if loads need no limit.
	Store storereader.Store
	// Planner returns a planner for one pool.
	Planner func() poolplanner.Planner
	Peers   *messenger.Client
}

type options struct {
	clock    clockwork.Clock
	log      *zap.Logger
	settings orderchecker.Settings
	group    time.Duration
	seed     uint64
}

// Option sets one option of a Manager or a Reader.
type Option func(*options)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option { return func(o *options) { o.clock = clock } }

// WithLogger sets the logger.
func WithLogger(log *zap.Logger) Option { return func(o *options) { o.log = log } }

// WithSettings sets the durations of leases and the limits on message delay.
func WithSettings(s orderchecker.Settings) Option { return func(o *options) { o.settings = s } }

// WithGroup sets how long entries are collected for one append.
func WithGroup(interval time.Duration) Option { return func(o *options) { o.group = interval } }

// WithSeed sets the seed of the random pull delays.
func WithSeed(seed uint64) Option { return func(o *options) { o.seed = seed } }

func newOptions(set []Option) options {
	o := options{
		clock:    clockwork.NewRealClock(),
		log:      zap.NewNop(),
		settings: orderchecker.DefaultSettings(),
		group:    20 * time.Millisecond,
	}
	for _, f := range set {
		f(&o)
	}
	return o
}

// Manager manages the pools that this instance is an owner of.
type Manager struct {
	deps    Dependencies
	options options

	mu      sync.Mutex
	ctx     context.Context
	pools   map[string]*pool
	leaving bool
	store   poolplanner.WeightStore
}

// New returns a Manager that does not follow any pool until Start.
func New(deps Dependencies, set ...Option) *Manager {
	return &Manager{
		deps: deps, options: newOptions(set),
		ctx: context.Background(), pools: map[string]*pool{},
	}
}

// Start begins to follow pools in the background, until the context ends.
func (m *Manager) Start(ctx context.Context) {
	m.mu.Lock()
	m.ctx = ctx
	m.mu.Unlock()
	go m.runFollow(ctx)
	if m.deps.Store != nil {
		go m.runStore(ctx)
	}
}

// Drain releases all leases. It waits until this instance's sends have returned,
// which their timeouts bound, and then at most one lease term for the releases: a
// lease whose release the log does not accept has expired by then, and nothing
// renews it. Waiting for the release until the context ends kept an instance
// from stopping for minutes while the log hung. Drain returns the context's error
// if it does not finish in time.
func (m *Manager) Drain(ctx context.Context) error {
	m.mu.Lock()
	m.leaving = true
	m.mu.Unlock()
	if err := m.waitUntil(ctx, (*pool).idle); err != nil {
		return err
	}
	limit, cancel := clockwork.WithTimeout(ctx, m.options.clock, m.options.settings.Lease.Term)
	defer cancel()
	return m.waitUntil(limit, func(p *pool) bool { return !p.isHolder() })
}

// waitUntil waits until a condition is true for all pools, or the context ends.
func (m *Manager) waitUntil(ctx context.Context, condition func(*pool) bool) error {
	ticker := m.options.clock.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		if !slices.ContainsFunc(m.followed(), func(p *pool) bool { return !condition(p) }) {
			return nil
		}
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (m *Manager) isLeaving() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaving
}

// followed returns the pools that are followed now, sorted by name.
func (m *Manager) followed() []*pool {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make([]*pool, 0, len(m.pools))
	for _, p := range m.pools {
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b *pool) int { return compare(a.name, b.name) })
	return all
}

func compare(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func (m *Manager) runFollow(ctx context.Context) {
	ticker := m.options.clock.NewTicker(followInterval)
	defer ticker.Stop()
	for {
		m.updatePools()
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return
		}
	}
}

// updatePools starts to follow the pools that this instance became an owner of,
// and drops those that it has not been an owner of for followGrace. A pool that
// this process has appended to is kept: a second controller of the same name would
// not know which orders the first one has sent.
func (m *Manager) updatePools() {
	now := m.options.clock.Now()
	owned := map[string]bool{}
	for _, name := range poolsOf(m.deps.View) {
		owned[name] = rankOf(m.deps.View, name) >= 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, owner := range owned {
		if _, ok := m.pools[name]; !ok && owner {
			m.pools[name] = newPool(m, name, now)
			m.pools[name].start(m.ctx)
		}
	}
	for name, p := range m.pools {
		if owned[name] {
			p.ownedAt = now
		} else if now.Sub(p.ownedAt) > followGrace && !p.used() {
			p.cancel()
			delete(m.pools, name)
		}
	}
}

// poolsOf returns the engine pools of this region, sorted by name.
func poolsOf(view watcher.View) []string {
	var names []string
	for _, e := range enginesOf(view) {
		if !slices.Contains(names, e.Pool) {
			names = append(names, e.Pool)
		}
	}
	slices.Sort(names)
	return names
}

// enginesOf returns the engines of this region.
func enginesOf(view watcher.View) []lister.Instance {
	region := view.Self().Region
	var all []lister.Instance
	for _, e := range view.Instances(lister.KindEngine) {
		if e.Region == region {
			all = append(all, e)
		}
	}
	return all
}

// streamOf returns the name of a pool's stream. It contains the region, because
// regions that share a log may have pools of the same name. With one stream for
// both, the region whose instance held the lease left the engines of the other
// region without a lease holder.
func streamOf(view watcher.View, name string) string {
	return "pool." + view.Self().Region + "." + name
}

// rankOf returns this instance's rank among a pool's owners, or -1 if it is not
// one of them.
func rankOf(view watcher.View, name string) int {
	self := view.Self().Name
	for i, home := range view.Owners(streamOf(view, name), ownerCount) {
		if home.Name == self {
			return i
		}
	}
	return -1
}

func (m *Manager) runStore(ctx context.Context) {
	ticker := m.options.clock.NewTicker(storeInterval)
	defer ticker.Stop()
	for {
		m.updateStore(ctx)
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return
		}
	}
}

// updateStore requests the weight store's limits. If none are known, they do not
// hold back loads: the store itself queues.
func (m *Manager) updateStore(ctx context.Context) {
	if !slices.ContainsFunc(m.followed(), func(p *pool) bool { return p.isHolder() }) {
		return
	}
	limit, cancel := clockwork.WithTimeout(ctx, m.options.clock, pollTimeout)
	defer cancel()
	s, err := m.deps.Store.State(limit)
	if err != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.store = poolplanner.WeightStore{Rate: s.Rate, Slots: s.Slots, Loading: s.Loading}
}

// storeShare returns one pool's share of the weight store's limits. The lease
// holders of a region's pools do not communicate with each other: each uses an
// equal share, with at least one slot.
func (m *Manager) storeShare() poolplanner.WeightStore {
	count := max(len(poolsOf(m.deps.View)), 1)
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.store
	s.Rate /= float64(count)
	if s.Slots == 0 {
		// No limit is known. To a planner, zero slots means that no load is
		// possible.
		s.Slots = unlimitedSlots
		return s
	}
	s.Slots = max(s.Slots/count, 1)
	return s
}
