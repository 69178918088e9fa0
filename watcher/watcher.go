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

// Kinds of messages between watchers.
const (
	kindPing = "ping"
	kindList = "list"
)

// Size limits of messages.
const (
	// maxPingBytes is many times the largest ping: 48 heartbeats, a few instances
	// with names of 128 bytes, and topics.
	maxPingBytes      = 64 << 10
	maxListQueryBytes = 1 << 10
)

// Timings of the network calls.
const (
	pingTimeout       = 800 * time.Millisecond
	broadcastInterval = 200 * time.Millisecond
	listInterval      = time.Second
	listTimeout       = 3 * time.Second
	// announceInterval is the interval at which this instance renews its entry
	// in the platform's list.
	announceInterval = 5 * time.Second
	// listReaders is the number of instances of a region that read the list
	// from the platform; the others read it from these. If all read from the
	// platform, each would transfer the full list every second.
	listReaders = 3
	listShard   = "list"
)

// Topic is state of another package that is gossiped with the pings.
type Topic interface {
	// Export returns the data to send, a few hundred bytes at most. Nothing is
	// sent if it is empty.
	Export() []byte
	// Merge applies data received from a peer.
	Merge(from lister.Instance, data []byte)
}

// Watcher keeps the membership up to date by gossip and from the instance list.
type Watcher struct {
	list               lister.List
	peers              *messenger.Client
	clock              clockwork.Clock
	log                *zap.Logger
	topics             map[string]Topic
	broadcastRequested chan struct{}

	mu   sync.Mutex
	core *Core
	// latestList is the last list read, without other regions' instances; digest
	// is its hash, and listReadAt when the platform returned it.
	latestList []lister.Instance
	digest     uint64
	listReadAt time.Time
}

// Option sets one option of a Watcher.
type Option func(*Watcher)

// WithTopic adds a topic to the pings.
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
		list:               list,
		peers:              peers,
		clock:              clockwork.NewRealClock(),
		log:                zap.NewNop(),
		topics:             map[string]Topic{},
		broadcastRequested: make(chan struct{}, 1),
		core:               NewCore(self, seed),
	}
	for _, f := range set {
		f(w)
	}
	return w
}

var _ View = (*Watcher)(nil)

// AddTopic adds a topic. It must be called before Start.
func (w *Watcher) AddTopic(name string, topic Topic) { w.topics[name] = topic }

// RegisterHandlers registers the handlers of other watchers' messages on a server.
func (w *Watcher) RegisterHandlers(s *messenger.Server) {
	s.Handle(kindPing, w.answerPing, messenger.WithMaxBody(maxPingBytes))
	s.Handle(kindList, w.answerList, messenger.WithMaxBody(maxListQueryBytes))
}

// Start runs the pings, the announcements and the reads of the list in the
// background until the context ends.
func (w *Watcher) Start(ctx context.Context) {
	go w.runPing(ctx)
	go w.runBroadcasts(ctx)
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
	return w.core.ListedOfKind(kind)
}

// Owners implements View.
func (w *Watcher) Owners(shard string, count int) []lister.Instance {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.core.Owners(w.clock.Now(), shard, count)
}

// ListReadAt returns when the platform returned the latest list, or the zero time if
// none was read.
func (w *Watcher) ListReadAt() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.listReadAt
}

// Leave marks this instance as leaving and announces that to the platform and to
// peers.
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

// BroadcastTopics sends the topics to all live members without waiting for the next
// pings. It is meant for rare and urgent changes: a message to each member costs as
// much as many seconds of pings.
func (w *Watcher) BroadcastTopics() {
	select {
	case w.broadcastRequested <- struct{}{}:
	default:
	}
}

func (w *Watcher) runBroadcasts(ctx context.Context) {
	for {
		select {
		case <-w.broadcastRequested:
		case <-ctx.Done():
			return
		}
		w.mu.Lock()
		p, targets := w.core.Ping(w.clock.Now()), w.core.LivePeers(w.clock.Now())
		w.mu.Unlock()
		w.send(ctx, p, targets)
		// Requests in quick succession are coalesced, so that a burst costs
		// little.
		select {
		case <-w.clock.After(broadcastInterval):
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

// send pings the targets in parallel and waits for all answers or timeouts.
func (w *Watcher) send(ctx context.Context, p Ping, targets []lister.Instance) {
	p.Topics = w.exportTopics()
	var all sync.WaitGroup
	for _, i := range targets {
		all.Add(1)
		call := &pingCall{watcher: w, target: i, ping: w.forPeer(p, i), done: all.Done}
		go call.run(ctx)
	}
	all.Wait()
}

func (w *Watcher) forPeer(p Ping, to lister.Instance) Ping {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.core.ForPeer(p, to)
}

// pingCall is one ping in flight.
type pingCall struct {
	watcher *Watcher
	target  lister.Instance
	ping    Ping
	done    func()
}

func (p *pingCall) run(ctx context.Context) {
	defer p.done()
	ctx, cancel := clockwork.WithTimeout(ctx, p.watcher.clock, pingTimeout)
	defer cancel()
	var answer Ping
	if err := p.watcher.peers.Call(ctx, p.target.PeerAddr, kindPing, p.ping, &answer); err != nil {
		p.watcher.log.Debug("watcher: ping was not answered", zap.String("peer", p.target.Name), zap.Error(err))
		return
	}
	p.watcher.mu.Lock()
	p.watcher.core.HandleAnswer(p.watcher.clock.Now(), p.target, answer)
	p.watcher.mu.Unlock()
	from := p.target
	if answer.From != nil {
		// The process may have been restarted under another name at the
		// same address.
		from = *answer.From
	}
	p.watcher.mergeTopics(from, answer.Topics)
}

// mergeTopics passes topic data from a peer to the registered topics.
func (w *Watcher) mergeTopics(from lister.Instance, topics map[string][]byte) {
	for name, data := range topics {
		if topic, ok := w.topics[name]; ok {
			topic.Merge(from, data)
		}
	}
}

func (w *Watcher) exportTopics() map[string][]byte {
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
	w.core.HandlePing(w.clock.Now(), p)
	answer := w.core.Answer(w.clock.Now(), p)
	w.mu.Unlock()
	w.mergeTopics(*p.From, p.Topics)
	answer.Topics = w.exportTopics()
	return answer, nil
}

func (w *Watcher) runAnnounce(ctx context.Context) {
	ticker := w.clock.NewTicker(announceInterval)
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
	ticker := w.clock.NewTicker(listInterval)
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

// listQuery requests the list from a peer. The peer omits the instances if its
// list has the same digest.
type listQuery struct {
	Digest uint64 `msgpack:"d"`
}

type listAnswer struct {
	Same   bool   `msgpack:"s"`
	Digest uint64 `msgpack:"d"`
	// Age is the time since the platform returned this list. Without it, two
	// instances that each assume the other to be a reader would exchange an
	// old list as a fresh one forever.
	Age       time.Duration     `msgpack:"g"`
	Instances []lister.Instance `msgpack:"i,omitempty"`
}

// readList reads the list from the platform if this instance is one of the
// region's readers, and otherwise from a reader. If no reader answers, it falls back
// to the platform.
func (w *Watcher) readList(ctx context.Context) {
	readers := w.Owners(listShard, listReaders)
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
		all = w.latestList
		w.mu.Unlock()
	}
	w.setList(all, w.clock.Now().Add(-answer.Age))
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
	w.setList(all, w.clock.Now())
}

func (w *Watcher) setList(all []lister.Instance, at time.Time) {
	region := w.Self().Region
	local := make([]lister.Instance, 0, len(all))
	for _, i := range all {
		if i.Region == region {
			local = append(local, i)
		}
	}
	sortByName(local)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.latestList = local
	w.digest = listDigest(local)
	w.listReadAt = at
	w.core.UpdateList(w.clock.Now(), local)
}

func listDigest(all []lister.Instance) uint64 {
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
	// If the list here is stale, refuse, so that the peer tries the next reader.
	age := w.clock.Since(w.listReadAt)
	if age > 3*listInterval {
		return nil, judge.Unavailable("list", "instance list is stale here", listInterval)
	}
	if query.Digest == w.digest {
		return listAnswer{Same: true, Digest: w.digest, Age: age}, nil
	}
	return listAnswer{Digest: w.digest, Age: age, Instances: w.latestList}, nil
}
