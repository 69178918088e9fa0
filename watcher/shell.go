package watcher

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"primrosehook/framer"
	"primrosehook/judge"
	"primrosehook/lister"
	"primrosehook/messenger"
)

// The kinds of messages that watchers exchange.
const (
	kindPing = "ping"
	kindList = "list"
)

// Bounds of the messages, in bytes.
const (
	// maxPing is many times the largest ping: 48 heartbeats, a few instances
	// with names of 128 bytes, and topics.
	maxPing      = 64 << 10
	maxListQuery = 1 << 10
)

// Timings of the shell.
const (
	pingTimeout = 800 * time.Millisecond
	urgentPause = 200 * time.Millisecond
	listEvery   = time.Second
	listTimeout = 3 * time.Second
	// announceEvery renews this instance on the platform's list.
	announceEvery = 5 * time.Second
	// listReaders is how many instances of a region ask the platform for its
	// list; the others ask them. Everybody asking would cost each node the
	// whole list a second.
	listReaders = 3
	listShard   = "list"
)

// Topic is state of another part that rides on the pings.
type Topic interface {
	// Export returns what to spread, a few hundred bytes at most.
	Export() []byte
	// Merge takes over what a peer spread.
	Merge(from lister.Instance, data []byte)
}

// Watcher keeps the membership up to date.
type Watcher struct {
	list   lister.List
	peers  *messenger.Client
	clock  clockwork.Clock
	log    *zap.Logger
	topics map[string]Topic
	urgent chan struct{}

	mu   sync.Mutex
	core *Core
	// upstream is the newest list, its digest and when it came.
	upstream []lister.Instance
	digest   uint64
	listedAt time.Time
}

// Option sets one option of a Watcher.
type Option func(*Watcher)

// WithTopic spreads a topic on the pings.
func WithTopic(name string, topic Topic) Option {
	return func(w *Watcher) { w.topics[name] = topic }
}

// WithLogger sets the logger.
func WithLogger(log *zap.Logger) Option { return func(w *Watcher) { w.log = log } }

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option { return func(w *Watcher) { w.clock = clock } }

// New returns a watcher for this instance.
func New(self lister.Instance, seed uint64, list lister.List, peers *messenger.Client, set ...Option) *Watcher {
	w := &Watcher{
		list:   list,
		peers:  peers,
		clock:  clockwork.NewRealClock(),
		log:    zap.NewNop(),
		topics: map[string]Topic{},
		urgent: make(chan struct{}, 1),
		core:   NewCore(self, seed),
	}
	for _, f := range set {
		f(w)
	}
	return w
}

var _ View = (*Watcher)(nil)

// Register adds a topic. It must be called before Start.
func (w *Watcher) Register(name string, topic Topic) { w.topics[name] = topic }

// Attach answers the messages of other watchers.
func (w *Watcher) Attach(s *messenger.Server) {
	s.Handle(kindPing, w.answerPing, messenger.UpTo(maxPing))
	s.Handle(kindList, w.answerList, messenger.UpTo(maxListQuery))
}

// Start begins to ping and to read the list, until the context ends.
func (w *Watcher) Start(ctx context.Context) {
	go w.runPing(ctx)
	go w.runUrgent(ctx)
	go w.runList(ctx)
	go w.runAnnounce(ctx)
}

// Self implements View.
func (w *Watcher) Self() lister.Instance {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.core.Self()
}

// Instances implements View.
func (w *Watcher) Instances(kind string) []lister.Instance {
	w.mu.Lock()
	defer w.mu.Unlock()
	if kind == lister.KindEntry {
		return w.core.Entries(w.clock.Now())
	}
	return w.core.Others(kind)
}

// Homes implements View.
func (w *Watcher) Homes(shard string, count int) []lister.Instance {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.core.Homes(w.clock.Now(), shard, count)
}

// ListedAt returns when the instance list was last read, or the zero time.
func (w *Watcher) ListedAt() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.listedAt
}

// Leave makes this instance known as leaving, to the platform and to peers.
func (w *Watcher) Leave(ctx context.Context) {
	w.mu.Lock()
	w.core.Leave()
	w.mu.Unlock()
	w.announce(ctx)
	w.ping(ctx)
}

func (w *Watcher) runPing(ctx context.Context) {
	ticker := w.clock.NewTicker(period)
	defer ticker.Stop()
	for {
		w.ping(ctx)
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return
		}
	}
}

// Spread tells all live members the topics at once. It is for what is rare and
// must not wait for the pings to carry it: a message to each member costs as
// much as many seconds of pings.
func (w *Watcher) Spread() {
	select {
	case w.urgent <- struct{}{}:
	default:
	}
}

func (w *Watcher) runUrgent(ctx context.Context) {
	for {
		select {
		case <-w.urgent:
		case <-ctx.Done():
			return
		}
		w.mu.Lock()
		p, targets := w.core.Ping(w.clock.Now()), w.core.Live(w.clock.Now())
		w.mu.Unlock()
		w.send(ctx, p, targets)
		// Spreads in short order are joined, so that a burst costs little.
		select {
		case <-w.clock.After(urgentPause):
		case <-ctx.Done():
		}
	}
}

func (w *Watcher) ping(ctx context.Context) {
	w.mu.Lock()
	p, targets := w.core.Tick(w.clock.Now())
	w.mu.Unlock()
	w.send(ctx, p, targets)
}

func (w *Watcher) send(ctx context.Context, p Ping, targets []lister.Instance) {
	p.Topics = w.export()
	var all sync.WaitGroup
	for _, i := range targets {
		all.Add(1)
		call := &pinging{watcher: w, target: i, ping: w.short(p, i), done: all.Done}
		go call.run(ctx)
	}
	all.Wait()
}

func (w *Watcher) short(p Ping, to lister.Instance) Ping {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.core.Short(p, to)
}

// pinging is one ping under way.
type pinging struct {
	watcher *Watcher
	target  lister.Instance
	ping    Ping
	done    func()
}

func (p *pinging) run(ctx context.Context) {
	defer p.done()
	ctx, cancel := clockwork.WithTimeout(ctx, p.watcher.clock, pingTimeout)
	defer cancel()
	var answer Ping
	if err := p.watcher.peers.Call(ctx, p.target.PeerAddr, kindPing, p.ping, &answer); err != nil {
		p.watcher.log.Debug("watcher: ping was not answered", zap.String("peer", p.target.Name), zap.Error(err))
		return
	}
	p.watcher.mu.Lock()
	p.watcher.core.Answered(p.watcher.clock.Now(), p.target, answer)
	p.watcher.mu.Unlock()
	from := p.target
	if answer.From != nil {
		// Another life of the process may have the same address.
		from = *answer.From
	}
	p.watcher.merge(from, answer.Topics)
}

// merge gives the topics of a peer to their parts.
func (w *Watcher) merge(from lister.Instance, topics map[string][]byte) {
	for name, data := range topics {
		if topic, ok := w.topics[name]; ok {
			topic.Merge(from, data)
		}
	}
}

func (w *Watcher) export() map[string][]byte {
	out := map[string][]byte{}
	for name, topic := range w.topics {
		if data := topic.Export(); len(data) > 0 {
			out[name] = data
		}
	}
	return out
}

func (w *Watcher) answerPing(_ context.Context, body msgpack.RawMessage) (any, error) {
	var p Ping
	if err := framer.Decode(body, &p); err != nil || p.From == nil {
		return nil, judge.Invalid("ping", "ping is malformed")
	}
	w.mu.Lock()
	w.core.Heard(w.clock.Now(), p)
	answer := w.core.Answer(w.clock.Now(), p)
	w.mu.Unlock()
	w.merge(*p.From, p.Topics)
	answer.Topics = w.export()
	return answer, nil
}

func (w *Watcher) runAnnounce(ctx context.Context) {
	ticker := w.clock.NewTicker(announceEvery)
	defer ticker.Stop()
	for {
		w.announce(ctx)
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return
		}
	}
}

func (w *Watcher) announce(ctx context.Context) {
	ctx, cancel := clockwork.WithTimeout(ctx, w.clock, listTimeout)
	defer cancel()
	if err := w.list.Announce(ctx, w.Self()); err != nil {
		w.log.Warn("watcher: announcement failed", zap.Error(err))
	}
}

func (w *Watcher) runList(ctx context.Context) {
	ticker := w.clock.NewTicker(listEvery)
	defer ticker.Stop()
	for {
		w.readList(ctx)
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return
		}
	}
}

// listQuery asks a peer for the list, unless it has the same digest.
type listQuery struct {
	Digest uint64 `msgpack:"d"`
}

type listAnswer struct {
	Same   bool   `msgpack:"s"`
	Digest uint64 `msgpack:"d"`
	// Age is how long ago the platform gave this list. Without it two
	// instances that each take the other for a reader would keep an old list
	// fresh between them for ever.
	Age       time.Duration     `msgpack:"g"`
	Instances []lister.Instance `msgpack:"i,omitempty"`
}

// readList asks the platform if this instance is one of the region's readers,
// and else one of the readers; with no answer from them, the platform after all.
func (w *Watcher) readList(ctx context.Context) {
	readers := w.Homes(listShard, listReaders)
	self := w.Self()
	for _, i := range readers {
		if i.Name == self.Name {
			w.readPlatform(ctx)
			return
		}
	}
	for _, i := range readers {
		if w.readPeer(ctx, i) {
			return
		}
	}
	w.readPlatform(ctx)
}

func (w *Watcher) readPeer(ctx context.Context, peer lister.Instance) bool {
	ctx, cancel := clockwork.WithTimeout(ctx, w.clock, pingTimeout)
	defer cancel()
	w.mu.Lock()
	query := listQuery{Digest: w.digest}
	w.mu.Unlock()
	var answer listAnswer
	if err := w.peers.Call(ctx, peer.PeerAddr, kindList, query, &answer); err != nil {
		return false
	}
	all := answer.Instances
	if answer.Same {
		w.mu.Lock()
		all = w.upstream
		w.mu.Unlock()
	}
	w.listed(all, w.clock.Now().Add(-answer.Age))
	return true
}

func (w *Watcher) readPlatform(ctx context.Context) {
	ctx, cancel := clockwork.WithTimeout(ctx, w.clock, listTimeout)
	defer cancel()
	all, err := w.list.Instances(ctx)
	if err != nil {
		w.log.Warn("watcher: instance list is not readable", zap.Error(err))
		return
	}
	w.listed(all, w.clock.Now())
}

func (w *Watcher) listed(all []lister.Instance, at time.Time) {
	region := w.Self().Region
	local := make([]lister.Instance, 0, len(all))
	for _, i := range all {
		if i.Region == region {
			local = append(local, i)
		}
	}
	byName(local)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.upstream = local
	w.digest = digestOf(local)
	w.listedAt = at
	w.core.Listed(w.clock.Now(), local)
}

func digestOf(all []lister.Instance) uint64 {
	data, err := msgpack.Marshal(all)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(data)
}

func (w *Watcher) answerList(_ context.Context, body msgpack.RawMessage) (any, error) {
	var query listQuery
	if err := framer.Decode(body, &query); err != nil {
		return nil, judge.Invalid("list", "list query is malformed")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	// A reader whose own list is old sends its asker on to the next one.
	age := w.clock.Since(w.listedAt)
	if age > 3*listEvery {
		return nil, judge.Unavailable("list", "instance list is stale here", listEvery)
	}
	if query.Digest == w.digest {
		return listAnswer{Same: true, Digest: w.digest, Age: age}, nil
	}
	return listAnswer{Digest: w.digest, Age: age, Instances: w.upstream}, nil
}
