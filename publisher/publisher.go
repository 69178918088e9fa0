package publisher

import (
	"context"
	"fmt"
	"math/rand"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"primrosehook/follower"
	"primrosehook/judge"
	"primrosehook/lister"
	"primrosehook/messenger"
	"primrosehook/recorder"
	"primrosehook/ruler"
	"primrosehook/watcher"
)

// Defaults of the options.
const (
	defaultSnapshotInterval = 10 * time.Minute
	// resetIntervals is how many snapshot intervals a stream may be without a
	// usable snapshot before its state is reset. That is longer than any
	// instance which still has the state takes to write one.
	resetIntervals      = 2
	defaultPullInterval = time.Second
	// defaultLogWait is how long a list that a peer reports is awaited from
	// the log before it is requested from the peer. The log usually delivers
	// it first.
	defaultLogWait = 2 * time.Second
	// peersPerPull is how many peers a starting instance requests the list
	// from in one round.
	peersPerPull = 3
	callTimeout  = 2 * time.Second
	// maxAuthorBytes bounds the operator's name.
	maxAuthorBytes = 200
)

// kindRules is the kind of the message that requests the list from a peer.
const kindRules = "rules"

type options struct {
	clock            clockwork.Clock
	log              *zap.Logger
	seed             int64
	snapshotInterval time.Duration
	pullInterval     time.Duration
	logWait          time.Duration
}

// Option sets one option of a Publisher.
type Option func(*options)

// WithClock sets the clock; the default is the real one.
func WithClock(clock clockwork.Clock) Option { return func(o *options) { o.clock = clock } }

// WithLogger sets the logger; the default logs nothing.
func WithLogger(log *zap.Logger) Option { return func(o *options) { o.log = log } }

// WithSeed sets the random seed for choosing peers.
func WithSeed(seed int64) Option { return func(o *options) { o.seed = seed } }

// WithSnapshotInterval sets the maximum age of the newest snapshot of the list
// in the log. A quarter of the log's retention time is enough.
func WithSnapshotInterval(interval time.Duration) Option {
	return func(o *options) { o.snapshotInterval = interval }
}

// WithPullInterval sets the interval at which an instance that has not read
// the log requests the list from peers.
func WithPullInterval(interval time.Duration) Option {
	return func(o *options) { o.pullInterval = interval }
}

// WithLogWait sets how long a newer list is awaited from the log, while the
// log can be read, before it is requested from a peer.
func WithLogWait(limit time.Duration) Option { return func(o *options) { o.logWait = limit } }

// Publisher tracks the list in force and publishes new ones.
type Publisher struct {
	options  options
	view     watcher.View
	peers    *messenger.Client
	machine  *Machine
	follower *follower.Follower[Result]

	mu      sync.Mutex
	random  *rand.Rand
	current AcceptedList
	list    *ruler.List
	// source is where the list came from: "log" or the address of a peer.
	source  string
	changed chan struct{}
	// catchingUp is the highest version that a call of OnPeerVersion is waiting
	// for or fetching; 0 if there is none.
	catchingUp Version
}

// New returns a publisher. Its log entries carry view.Self().Name, which must
// be unique to this process.
func New(log recorder.Log, view watcher.View, peers *messenger.Client, opts ...Option) *Publisher {
	o := options{
		clock:            clockwork.NewRealClock(),
		log:              zap.NewNop(),
		seed:             1,
		snapshotInterval: defaultSnapshotInterval,
		pullInterval:     defaultPullInterval,
		logWait:          defaultLogWait,
	}
	for _, f := range opts {
		f(&o)
	}
	p := &Publisher{
		options: o,
		view:    view,
		peers:   peers,
		machine: NewMachine(),
		random:  rand.New(rand.NewSource(o.seed)),
		changed: make(chan struct{}),
	}
	p.follower = follower.New[Result](log, Stream, view.Self().Name, p.machine,
		follower.WithClock(o.clock),
		follower.WithLogger(o.log),
		follower.WithSnapshotInterval(o.snapshotInterval, p.writesSnapshots),
		follower.WithResetDelay(resetIntervals*o.snapshotInterval),
	)
	return p
}

// writesSnapshots reports whether this instance writes the snapshots of the
// list: one instance of the fleet does. While the members are unknown every
// instance does, which is harmless and only costs appends.
func (p *Publisher) writesSnapshots() bool {
	owners := p.view.Owners(Stream, 1)
	return len(owners) == 0 || owners[0].Name == p.view.Self().Name
}

// Start begins to follow the stream, and to request the list from peers until
// the stream has been read.
func (p *Publisher) Start(ctx context.Context) {
	p.follower.Start(ctx)
	go p.runApply(ctx)
	go p.runPull(ctx)
}

// Serve registers the handler for list requests of peers.
func (p *Publisher) Serve(s *messenger.Server) {
	s.Handle(kindRules, p.handleListRequest, messenger.WithMaxBody(maxListRequestBytes))
}

// InForce returns the version and the list in force on this instance; the
// list is nil if there is none.
func (p *Publisher) InForce() (Version, *ruler.List) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current.Version, p.list
}

// Version returns the version in force on this instance.
func (p *Publisher) Version() Version {
	v, _ := p.InForce()
	return v
}

// Published returns the list in force as it was published, and where it came
// from: "log" or the address of a peer.
func (p *Publisher) Published() (AcceptedList, string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current, p.source
}

// Ready reports whether a list is in force. An instance that has neither read
// the log nor found a peer with a list must not serve requests.
func (p *Publisher) Ready() bool { return p.Version() > 0 }

// Changed returns a channel that is closed when another list comes into
// force.
func (p *Publisher) Changed() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed
}

// Publish validates a list and publishes it as the replacement of version
// base. If base is not the version in force, the error is a refusal with code
// "conflict" that names the one in force. An error with verdict MayHaveRun
// means that the log has not confirmed the entry: the version in force shows
// the outcome, once the log can be read.
func (p *Publisher) Publish(ctx context.Context, base Version, author, text string) (Version, error) {
	if len(author) > maxAuthorBytes {
		return 0, judge.Invalid("author", "author is too long")
	}
	if _, err := parse(text); err != nil {
		return 0, judge.Invalid("rules", err.Error())
	}
	if err := p.follower.AwaitCurrent(ctx); err != nil {
		return 0, err
	}
	list := Publish{Base: base, Author: author, Text: text, Packed: pack(text)}
	outcome, err := p.follower.Submit(ctx, kindPublish, list.wireForm())
	if err != nil {
		return 0, err
	}
	r := outcome.Result
	switch {
	case r.Accepted:
		p.applyLog()
		p.options.log.Info("publisher: rule list accepted", zap.Int64("version", int64(r.Version)), zap.String("author", author))
		return r.Version, nil
	case r.Fault != "":
		return 0, judge.Invalid("rules", r.Fault)
	}
	return 0, conflictError(base, r.Version, r.Author)
}

func conflictError(base, current Version, author string) *judge.Refusal {
	if current == 0 {
		return &judge.Refusal{
			Verdict: judge.NotRun, Status: http.StatusConflict, Code: "conflict",
			Reason: fmt.Sprintf("rule list replaces version %d, but the log holds none; publish it with base 0", base),
		}
	}
	reason := fmt.Sprintf("rule list replaces version %d, but version %d is in force, published by %q", base, current, author)
	return &judge.Refusal{Verdict: judge.NotRun, Status: http.StatusConflict, Code: "conflict", Reason: reason}
}

func (p *Publisher) runApply(ctx context.Context) {
	for ctx.Err() == nil {
		changed := p.follower.Changed()
		p.applyLog()
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (p *Publisher) applyLog() {
	var current AcceptedList
	var list *ruler.List
	p.follower.View(func() { current, list = p.machine.InForce() })
	p.advance(current, list, "log")
}

// advance puts a list in force if it is newer than the current one. The
// version never decreases, whatever the source: a peer may lag, and reading
// the log again from its start passes the older versions first.
func (p *Publisher) advance(next AcceptedList, list *ruler.List, source string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if next.Version <= p.current.Version {
		return
	}
	p.current = next
	p.list = list
	p.source = source
	close(p.changed)
	p.changed = make(chan struct{})
	p.options.log.Info("publisher: rule list in force",
		zap.Int64("version", int64(next.Version)), zap.String("source", source))
}

// choosePeers returns several random peers, so that the instances of a
// restarting fleet do not all ask the same few.
func (p *Publisher) choosePeers() []lister.Instance {
	all := slices.Clone(p.view.Instances(lister.KindEntry))
	self := p.view.Self().Name
	p.mu.Lock()
	p.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	p.mu.Unlock()
	var chosen []lister.Instance
	for _, peer := range all {
		if peer.Name != self && peer.PeerAddr != "" && len(chosen) < peersPerPull {
			chosen = append(chosen, peer)
		}
	}
	return chosen
}
