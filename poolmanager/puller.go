package poolmanager

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"primrosehook/dispatcher"
	"primrosehook/driver"
	"primrosehook/lister"
	"primrosehook/ruler"
)

// Intervals and limits of a Reader.
const (
	pullInterval = time.Second
	pullTimeout  = 800 * time.Millisecond
	// viewInterval is how often this instance's view is checked for engines that
	// are leaving.
	viewInterval = 200 * time.Millisecond
	// fallbackEngines is how many engines of a pool are polled directly in a round
	// if no owner answers. It is small because all entry instances then do so.
	fallbackEngines = 6
	// demandInterval is the longest time between two reports of this instance's
	// demand.
	demandInterval = 3 * time.Second
	// maxPulls limits the pulls per second of one instance over all pools. A
	// region of the target size has 19 pools; pulling each once a second would
	// make up most of a node's control traffic.
	maxPulls = 6
)

// Reader maintains an entry instance's state of all engines of its region. It
// pulls each pool's digest from the lease holder or, if that does not answer, from
// the pool's owners, and polls a few engines directly if none of them answers.
type Reader struct {
	deps    Dependencies
	options options
	// local answers queries to this instance without a message.
	local    *Manager
	demand   func() []dispatcher.Demand
	onChange func([]dispatcher.Engine)

	// publishMu is held while the engines are collected and passed to onChange, so
	// that an older state cannot replace a newer one. It is acquired before mu.
	publishMu sync.Mutex
	mu        sync.Mutex
	rng       *rand.Rand
	pulls     map[string]*puller
}

// NewReader returns a reader. Demand returns this instance's demand, which is sent
// to the lease holders. Show is called with all engines of the region after each
// pull and after each change of the view.
func NewReader(deps Dependencies, local *Manager, demand func() []dispatcher.Demand, show func([]dispatcher.Engine), set ...Option) *Reader {
	o := newOptions(set)
	return &Reader{
		deps: deps, options: o, local: local, demand: demand, onChange: show,
		rng: rand.New(rand.NewPCG(o.seed, 0)), pulls: map[string]*puller{},
	}
}

// Start begins to pull in the background, until the context ends.
func (r *Reader) Start(ctx context.Context) { go r.run(ctx) }

// run starts to follow new pools and publishes at once when the state of an engine
// in the view changes. Publishing only after a pull was not enough: a pull that
// waited for a frozen lease holder and then for the next owner let an engine
// receive new requests for more than a second after this instance knew that the
// engine was leaving.
func (r *Reader) run(ctx context.Context) {
	ticker := r.options.clock.NewTicker(viewInterval)
	defer ticker.Stop()
	known := uint64(0)
	for {
		for _, name := range poolsOf(r.deps.View) {
			r.follow(ctx, name)
		}
		if now := r.stateHash(); now != known {
			known = now
			r.publish()
		}
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return
		}
	}
}

// stateHash returns a hash of the engines in the view and their states.
func (r *Reader) stateHash() uint64 {
	d := xxhash.New()
	for _, e := range enginesOf(r.deps.View) {
		_, _ = d.WriteString(e.Name)
		_, _ = d.WriteString(e.State)
	}
	return d.Sum64()
}

func (r *Reader) follow(ctx context.Context, name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.pulls[name]; ok {
		return
	}
	p := &puller{reader: r, pool: name}
	p.reset("")
	r.pulls[name] = p
	go p.run(ctx)
}

// pullDelay returns a random delay until the next pull, so that the instances do
// not all pull at the same time.
func (r *Reader) pullDelay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	every := max(pullInterval, pullInterval*time.Duration(len(r.pulls))/maxPulls)
	return every*3/4 + time.Duration(r.rng.Int64N(int64(every/2)))
}

// publish passes the engines of all pools to onChange. This instance's view
// overrides the digests as to which engines are leaving; an engine that is no
// longer in the view is dropped.
func (r *Reader) publish() {
	r.publishMu.Lock()
	defer r.publishMu.Unlock()
	listed := map[string]lister.Instance{}
	for _, i := range enginesOf(r.deps.View) {
		listed[i.Name] = i
	}
	r.mu.Lock()
	var all []dispatcher.Engine
	for _, p := range r.pulls {
		for _, e := range p.engines {
			i, ok := listed[e.Name]
			if ok {
				e.Instance = i
				all = append(all, *e)
			}
		}
	}
	r.mu.Unlock()
	slices.SortFunc(all, func(a, b dispatcher.Engine) int { return compare(a.Name, b.Name) })
	r.onChange(all)
}

// puller pulls the digests of one pool.
type puller struct {
	reader *Reader
	pool   string
	// source is the instance that answered last.
	source  lister.Instance
	epoch   string
	version uint64
	// epochHash is the hash of the epoch if the source accepts it, else 0.
	epochHash uint64
	// names are the engines' names by their ids in the epoch.
	names map[uint32]string
	// engines is guarded by the reader's lock.
	engines map[string]*dispatcher.Engine
	// fallbackOffset is the index of the engine from which the next round of direct
	// polls begins.
	fallbackOffset int
	demandSentAt   time.Time
}

func (p *puller) reset(epoch string) {
	p.epoch = epoch
	p.epochHash = 0
	p.version = 0
	p.names = map[uint32]string{}
	p.engines = map[string]*dispatcher.Engine{}
}

func (p *puller) run(ctx context.Context) {
	r := p.reader
	for ctx.Err() == nil {
		if !p.pullDigest(ctx) {
			p.pollDirectly(ctx)
		}
		r.publish()
		t := r.options.clock.NewTimer(r.pullDelay())
		select {
		case <-t.Chan():
		case <-ctx.Done():
			t.Stop()
		}
	}
}

// pullDigest pulls a digest from the first candidate that has one, and reports
// whether any had.
func (p *puller) pullDigest(ctx context.Context) bool {
	now := p.reader.options.clock.Now()
	demand := p.demand()
	query := Query{
		Pool:      p.pool,
		HasDemand: now.Sub(p.demandSentAt) >= demandInterval || slices.ContainsFunc(demand, hasMissed),
	}
	if query.HasDemand {
		p.demandSentAt = now
		query.From = p.reader.deps.View.Self().Name
		query.Demand = demand
	}
	for _, i := range p.candidates() {
		d, err := p.query(ctx, i, p.withVersion(i, query))
		if err != nil {
			continue
		}
		p.setSource(i)
		p.applyDigest(d)
		return true
	}
	return false
}

// withVersion adds the last known epoch and version to a query. The epoch makes up
// most of a query and of a short reply, so the instance that issued it is sent its
// hash instead. Any other instance has an epoch of its own and answers with the
// full state.
func (p *puller) withVersion(i lister.Instance, q Query) Query {
	if i.Name == p.source.Name && p.epochHash != 0 {
		q.EpochHash, q.Since = p.epochHash, p.version
		return q
	}
	q.Epoch, q.Since = p.epoch, p.version
	return q
}

// setSource records which instance has answered, and logs a change. It does not
// log the first answer, nor a change to this instance, which is logged when the
// lease is claimed.
func (p *puller) setSource(i lister.Instance) {
	if p.source.Name != "" && i.Name != p.source.Name && i.Name != p.reader.deps.View.Self().Name {
		p.reader.options.log.Info("holder: pool is read from another instance",
			zap.String("pool", p.pool), zap.String("from", i.Name))
	}
	p.source = i
}

// hasMissed reports whether requests found no engine with the weights loaded. Such
// demand is sent with the next pull, because a load depends on it.
func hasMissed(d dispatcher.Demand) bool { return d.Missed > 0 }

// demand returns this instance's demand for the pool's models.
func (p *puller) demand() []dispatcher.Demand {
	rules := p.reader.deps.Rules()
	if rules == nil {
		return nil
	}
	var own []dispatcher.Demand
	for _, d := range p.reader.demand() {
		if slices.ContainsFunc(rules.Models, func(m ruler.Model) bool { return m.Name == d.Model && m.Pool == p.pool }) {
			own = append(own, d)
		}
	}
	return own
}

// candidates returns the source of the last digest and the pool's owners, each
// once.
func (p *puller) candidates() []lister.Instance {
	all := p.reader.deps.View.Owners(streamOf(p.reader.deps.View, p.pool), ownerCount)
	if p.source.Name == "" {
		return all
	}
	others := slices.DeleteFunc(slices.Clone(all), func(i lister.Instance) bool { return i.Name == p.source.Name })
	return append([]lister.Instance{p.source}, others...)
}

func (p *puller) query(ctx context.Context, i lister.Instance, q Query) (Digest, error) {
	r := p.reader
	if i.Name == r.deps.View.Self().Name {
		return r.local.Digest(q)
	}
	limit, cancel := clockwork.WithTimeout(ctx, r.options.clock, pullTimeout)
	defer cancel()
	var d Digest
	err := r.deps.Peers.Call(limit, i.PeerAddr, kindDigest, q, &d)
	return d, err
}

// applyDigest updates the engines from a digest.
func (p *puller) applyDigest(d Digest) {
	now := p.reader.options.clock.Now()
	p.reader.mu.Lock()
	defer p.reader.mu.Unlock()
	if d.Epoch != "" && d.Epoch != p.epoch {
		p.reset(d.Epoch)
	}
	p.version = d.Version
	if d.AcceptsHash {
		p.epochHash = xxhash.Sum64String(p.epoch)
	}
	for _, id := range d.Gone {
		delete(p.engines, p.names[id])
		delete(p.names, id)
	}
	for id, name := range p.names {
		if e, ok := p.engines[name]; ok && !slices.Contains(d.Stale, id) {
			e.At = now
		}
	}
	for _, c := range d.Changes {
		p.applyChange(now, c)
	}
}

func (p *puller) applyChange(now time.Time, c Change) {
	if c.Full != nil {
		p.names[c.ID] = c.Full.Instance.Name
	}
	name, ok := p.names[c.ID]
	if !ok {
		return
	}
	e, ok := p.engines[name]
	if !ok {
		e = &dispatcher.Engine{}
		p.engines[name] = e
	}
	if f := c.Full; f != nil {
		e.Instance = f.Instance
		e.Report = driver.Report{
			Engine: f.Instance.Name, Incarnation: f.Boot, Role: f.Role, TotalMB: f.Total, ReserveMB: f.Reserve,
			MaxBatch: f.Batch, Loaded: f.Residents, Fence: f.Fence,
		}
	}
	e.Report.Load = c.Load
	e.At = now.Add(-time.Duration(c.Age) * time.Millisecond)
}

// pollDirectly polls a few engines directly, and the next ones in each round.
func (p *puller) pollDirectly(ctx context.Context) {
	var engines []lister.Instance
	for _, e := range enginesOf(p.reader.deps.View) {
		if e.Pool == p.pool {
			engines = append(engines, e)
		}
	}
	if len(engines) == 0 {
		return
	}
	p.epoch = ""
	p.epochHash = 0
	p.version = 0
	var all sync.WaitGroup
	for i := range min(fallbackEngines, len(engines)) {
		all.Add(1)
		one := &directPoll{pull: p, engine: engines[(p.fallbackOffset+i)%len(engines)], done: all.Done}
		go one.run(ctx)
	}
	all.Wait()
	p.fallbackOffset = (p.fallbackOffset + fallbackEngines) % len(engines)
}

// directPoll is one request of a reader for an engine's report.
type directPoll struct {
	pull   *puller
	engine lister.Instance
	done   func()
}

func (q *directPoll) run(ctx context.Context) {
	defer q.done()
	r := q.pull.reader
	limit, cancel := clockwork.WithTimeout(ctx, r.options.clock, pullTimeout)
	defer cancel()
	asked := r.options.clock.Now()
	report, err := r.deps.Engines(q.engine.Addr).Report(limit)
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	q.pull.engines[q.engine.Name] = &dispatcher.Engine{
		Instance: q.engine, Report: report, At: asked.Add(-report.Age),
	}
}
