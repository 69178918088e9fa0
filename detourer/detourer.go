// Package detourer opens connections to servers through other instances while this one
// can't reach them itself.
//
// A connection that can't be opened, or not soon, is also tried through a peer. If that
// works, the server is alive and the path to it is broken: further connections to it go
// through peers until the path works again, which is probed in the background. If peers can't
// reach the server either, it is the server that fails. So no instance has to decide whether
// it is partitioned, and a partition may be of some servers only.
//
// A detour carries bytes. Which server a request goes to, whether it may have run and what
// follows is decided where the request arrived. Peers open connections for others directly
// only, so that detours do not form circles.
package detourer

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"primrosehook/connector"
	"primrosehook/messenger"
	"primrosehook/reserver"
)

const (
	// detourDelay is how long a connection is waited for before it is also tried through a
	// peer, and peerDelay before it is tried through one more: some ten crossings between
	// availability zones.
	detourDelay = 200 * time.Millisecond
	peerDelay   = 100 * time.Millisecond
	// maxPeers is how many peers one connection is tried through. After maxRefusals of them
	// have found that the server refuses connections, it counts as down.
	maxPeers    = 6
	maxRefusals = 3
	// openTimeout bounds the opening of a connection through peers.
	openTimeout = 900 * time.Millisecond
	// probeInterval is how often a broken path is probed, with jitter, so that instances do
	// not all come back to a server in the same moment. checkInterval is the pause between
	// checks for paths that are due.
	probeInterval = time.Second
	checkInterval = 200 * time.Millisecond
	// downTTL is for how long a server counts as down after no peer could reach it.
	downTTL = 500 * time.Millisecond
	// refusedPeerTTL is for how long a peer that opened no connection is asked after others.
	refusedPeerTTL = 2 * time.Second
)

// Metrics.
const (
	MetricOpened = "detours_opened"
	MetricServed = "detours_served"
)

// Meter counts events by the name of their metric.
type Meter interface{ Add(name string, n int64) }

// errNotConfirmed replaces the refusal of a connection when no peer could tell whether the
// server refuses it, or something on the way there.
var errNotConfirmed = errors.New("connection refused here, and no peer could confirm that")

// path is the direct path to a server. It is broken if the server was reached through a peer
// only.
type path struct {
	broken  bool
	probeAt time.Time
	probing bool
	// downUntil is until when the server counts as down with the error down.
	downUntil time.Time
	down      error
}

// peer is what is known of a peer's use for detours.
type peer struct {
	// open is the number of open detours through it.
	open int
	// refusedAt is when it last opened no connection that another one opened, or could not.
	refusedAt time.Time
}

// Detourer opens connections to servers, directly or through peers, and opens them for peers.
// It implements connector.Dialer and is safe for concurrent use.
type Detourer struct {
	self       string
	direct     connector.Dialer
	peerDialer connector.Dialer
	clock      clockwork.Clock
	log        *zap.Logger
	meter      Meter
	// known reports whether an address is that of a registered server.
	known func(address string) bool
	// memory is the budget that served detours are charged to, nil for none.
	memory *reserver.Reserver
	// maxServed bounds the detours that are served for peers.
	maxServed int

	mu      sync.Mutex
	members []string
	paths   map[string]*path
	peers   map[string]*peer
	served  map[*tunnel]bool
	// pausedUntil is until when no detours to a server are served, by its address.
	pausedUntil map[string]time.Time
	leaving     bool
}

// Option sets an option of a Detourer.
type Option func(*Detourer)

// WithMemory sets the memory budget that detours served for peers are charged to.
func WithMemory(m *reserver.Reserver) Option { return func(t *Detourer) { t.memory = m } }

// WithDirect sets how direct connections are opened; the default is
// connector.DirectDialer.
func WithDirect(d connector.Dialer) Option { return func(t *Detourer) { t.direct = d } }

// WithPeerDialer sets how connections to peers are opened; the default is
// connector.DirectDialer.
func WithPeerDialer(d connector.Dialer) Option { return func(t *Detourer) { t.peerDialer = d } }

// WithMeter sets the receiver of counts.
func WithMeter(m Meter) Option { return func(t *Detourer) { t.meter = m } }

// WithMaxServed limits the detours that are served for peers at a time.
func WithMaxServed(count int) Option { return func(t *Detourer) { t.maxServed = count } }

// defaultMaxServed is the limit of the detours that are served without WithMaxServed.
const defaultMaxServed = 256

// discardMeter is a Meter that discards everything.
type discardMeter struct{}

func (discardMeter) Add(string, int64) {}

// New returns the detourer of the instance that peers reach at the address self. members are
// the addresses of the instances known at first. known reports whether an address is that of
// a registered server.
func New(self string, members []string, known func(address string) bool, clock clockwork.Clock, log *zap.Logger, options ...Option) *Detourer {
	d := &Detourer{
		self: self, members: members, known: known, clock: clock, log: log, direct: connector.DirectDialer{}, peerDialer: connector.DirectDialer{}, meter: discardMeter{}, maxServed: defaultMaxServed,
		paths: map[string]*path{}, peers: map[string]*peer{}, served: map[*tunnel]bool{}, pausedUntil: map[string]time.Time{},
	}
	for _, o := range options {
		o(d)
	}
	return d
}

// Serve registers the handler for the detours of peers.
func (d *Detourer) Serve(s *messenger.Server) { s.HandleStream(kindDetour, d.handleDetour) }

// Update replaces the addresses of the instances.
func (d *Detourer) Update(members []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.members = slices.Clone(members)
	for address, p := range d.peers {
		if p.open == 0 && !slices.Contains(members, address) {
			delete(d.peers, address)
		}
	}
}

// BrokenPaths returns the number of servers that are reached through peers only.
func (d *Detourer) BrokenPaths() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, p := range d.paths {
		if p.broken {
			n++
		}
	}
	return n
}

// Dial implements connector.Dialer. The error wraps ECONNREFUSED only if the server itself
// refuses connections as far as peers can tell.
func (d *Detourer) Dial(ctx context.Context, address string) (net.Conn, error) {
	broken, down := d.state(address)
	switch {
	case down != nil:
		return nil, down
	case broken:
		c, detourErr := d.detour(ctx, address)
		if detourErr == nil {
			return c, nil
		}
		c, err := d.direct.Dial(ctx, address)
		if err != nil {
			return nil, hideUnconfirmed(err, detourErr)
		}
		d.markWorking(address)
		return c, nil
	}
	return d.race(ctx, address)
}

// state returns whether the path to a server is broken, and an error while the server counts
// as down.
func (d *Detourer) state(address string) (broken bool, down error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, ok := d.paths[address]
	if !ok {
		return false, nil
	}
	if d.clock.Now().Before(p.downUntil) {
		return p.broken, p.down
	}
	return p.broken, nil
}

// isBroken reports whether the path to a server is broken.
func (d *Detourer) isBroken(address string) bool {
	broken, _ := d.state(address)
	return broken
}

// attempt is the outcome of opening a connection in one way.
type attempt struct {
	conn   net.Conn
	err    error
	detour bool
}

// race opens a connection directly, and through peers if that fails or takes long. The first
// one is used.
func (d *Detourer) race(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan attempt, 2)
	go d.runDirect(ctx, address, results)
	delay := d.clock.NewTimer(detourDelay)
	defer delay.Stop()
	pending, detoured := 1, false
	var directErr, detourErr error
	for pending > 0 {
		start := false
		select {
		case <-delay.Chan():
			start = !detoured
		case a := <-results:
			pending--
			if a.err == nil {
				if a.detour {
					d.markBroken(address)
				}
				if pending > 0 {
					go discardLoser(results)
				}
				return a.conn, nil
			}
			if a.detour {
				detourErr = a.err
			} else {
				directErr = a.err
				start = !detoured && ctx.Err() == nil
			}
		}
		if start {
			detoured = true
			pending++
			go d.runDetour(ctx, address, results)
		}
	}
	err := hideUnconfirmed(directErr, detourErr)
	if ctx.Err() == nil {
		d.markDown(address, err)
	}
	return nil, err
}

// discardLoser closes the connection that is opened after another one is in use.
func discardLoser(results <-chan attempt) {
	if a := <-results; a.err == nil {
		_ = a.conn.Close()
	}
}

func (d *Detourer) runDirect(ctx context.Context, address string, results chan<- attempt) {
	c, err := d.direct.Dial(ctx, address)
	results <- attempt{conn: c, err: err}
}

func (d *Detourer) runDetour(ctx context.Context, address string, results chan<- attempt) {
	c, err := d.detour(ctx, address)
	if err != nil {
		results <- attempt{err: err, detour: true}
		return
	}
	results <- attempt{conn: c, detour: true}
}

// hideUnconfirmed returns the error of a direct connection. If it is a refusal that no peer
// has confirmed, the result does not wrap ECONNREFUSED.
func hideUnconfirmed(directErr, detourErr error) error {
	confirmed := errors.Is(detourErr, errNoPeers) || errors.Is(detourErr, syscall.ECONNREFUSED)
	if errors.Is(directErr, syscall.ECONNREFUSED) && !confirmed {
		return errNotConfirmed
	}
	return directErr
}

func (d *Detourer) path(address string) *path {
	p, ok := d.paths[address]
	if !ok {
		p = &path{}
		d.paths[address] = p
	}
	return p
}

func (d *Detourer) markBroken(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.path(address)
	if !p.broken {
		d.log.Info("detour: server is reached through peers only", zap.String("address", address))
	}
	p.broken, p.probeAt = true, d.nextProbe()
}

func (d *Detourer) markWorking(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p, ok := d.paths[address]; ok && p.broken {
		d.log.Info("detour: server is reached directly again", zap.String("address", address))
	}
	delete(d.paths, address)
}

// markDown records that a server can be reached neither directly nor through peers.
func (d *Detourer) markDown(address string, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.path(address)
	p.downUntil, p.down = d.clock.Now().Add(downTTL), err
}

// nextProbe returns when to probe a path that is broken now.
func (d *Detourer) nextProbe() time.Time {
	return d.clock.Now().Add(time.Duration(float64(probeInterval) * (0.75 + 0.5*rand.Float64())))
}

// Run probes broken paths until the context ends.
func (d *Detourer) Run(ctx context.Context) { d.run(ctx) }

func (d *Detourer) run(ctx context.Context) {
	t := d.clock.NewTicker(checkInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.Chan():
			for _, address := range d.duePaths() {
				go d.runProbe(ctx, address)
			}
		}
	}
}

// duePaths returns the paths that are to be probed now, and drops those to servers that are
// not known any more.
func (d *Detourer) duePaths() []string {
	// known takes locks of its own, under which connections may be closed that need this one.
	unknown := slices.DeleteFunc(d.addresses(), d.known)
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	var due []string
	for address, p := range d.paths {
		switch {
		case slices.Contains(unknown, address), !p.broken && now.After(p.downUntil):
			delete(d.paths, address)
		case p.broken && !p.probing && now.After(p.probeAt):
			p.probing = true
			due = append(due, address)
		}
	}
	return due
}

// addresses returns the addresses of the servers of which something is known.
func (d *Detourer) addresses() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Collect(maps.Keys(d.paths))
}

// runProbe finds out whether a path works again.
func (d *Detourer) runProbe(ctx context.Context, address string) {
	c, err := d.direct.Dial(ctx, address)
	if err == nil {
		_ = c.Close()
		d.markWorking(address)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if p, ok := d.paths[address]; ok {
		p.probing, p.probeAt = false, d.nextProbe()
	}
}

// rankedPeers returns the peers in the order in which to try them: those that opened no
// connection of late last, then those with fewer open detours first, in random order.
func (d *Detourer) rankedPeers() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	type rank struct {
		address string
		refused bool
		at      time.Time
		open    int
	}
	var list []rank
	for _, m := range d.members {
		if m == d.self {
			continue
		}
		r := rank{address: m}
		if p, ok := d.peers[m]; ok {
			r.open = p.open
			if r.refused = now.Sub(p.refusedAt) < refusedPeerTTL; r.refused {
				r.at = p.refusedAt
			}
		}
		list = append(list, r)
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(a, b rank) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.open, b.open))
	})
	addresses := make([]string, 0, maxPeers)
	for _, r := range list[:min(len(list), maxPeers)] {
		addresses = append(addresses, r.address)
	}
	return addresses
}

func (d *Detourer) peer(address string) *peer {
	p, ok := d.peers[address]
	if !ok {
		p = &peer{}
		d.peers[address] = p
	}
	return p
}

func (d *Detourer) markRefused(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peer(address).refusedAt = d.clock.Now()
}
