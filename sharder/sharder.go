// Package sharder follows the streams of the shards that an instance owns, and
// forwards requests to a shard's owners.
//
// Ownership only saves reads and appends; the log decides all conflicts. So a
// request that one owner has not answered may be sent to the next owner,
// provided that the shard's machine makes a repeated request harmless.
package sharder

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"primrosehook/follower"
	"primrosehook/lister"
	"primrosehook/messenger"
	"primrosehook/recorder"
	"primrosehook/replayer"
	"primrosehook/watcher"
)

const (
	// followingOwners is the number of owners that follow a shard, so that the
	// next one can take over without reading the stream from its start.
	followingOwners   = 2
	reconcileInterval = time.Second
	// unusedGrace is how long a shard that this instance doesn't own is followed
	// after its last use here.
	unusedGrace = 30 * time.Second
	// resetIntervals is how many snapshot intervals a stream may be without a
	// usable snapshot before its state is reset: longer than any instance that
	// still has the state takes to write one.
	resetIntervals  = 2
	snapshotRecords = 20_000
	// appendRate and appendBurst limit the appends per second of one shard. A
	// busy shard batches more entries per append instead: the log accepts only
	// several hundred appends per second from all writers together. The burst
	// lets a single request append without a wait.
	appendRate  = 12
	appendBurst = 12
)

// Shard is one shard that this instance follows.
type Shard[R any, M replayer.Machine[R]] struct {
	Index    int
	Stream   string
	Machine  M
	Follower *follower.Follower[R]

	cancel context.CancelFunc
	users  int
	usedAt time.Time
}

// Set manages the shards of one kind.
type Set[R any, M replayer.Machine[R]] struct {
	prefix  string
	log     recorder.Log
	view    watcher.View
	peers   *messenger.Client
	machine func() M
	options Options

	mu     sync.Mutex
	ctx    context.Context
	shards map[int]*Shard[R, M]
	paused map[int]pause
}

// New returns a set of shards whose streams are "PREFIX.0", "PREFIX.1" and so on.
func New[R any, M replayer.Machine[R]](
	prefix string, log recorder.Log, view watcher.View, peers *messenger.Client, machine func() M, options Options,
) *Set[R, M] {
	return &Set[R, M]{
		prefix:  prefix,
		log:     log,
		view:    view,
		peers:   peers,
		machine: machine,
		options: options,
		ctx:     context.Background(),
		shards:  map[int]*Shard[R, M]{},
		paused:  map[int]pause{},
	}
}

// Route returns the route of a kind of message to the shards' owners. Next are
// additional refusal codes after which the next owner is called.
func (s *Set[R, M]) Route(kind string, retryCodes ...string) Route {
	return Route{
		View: s.view, Peers: s.peers, Clock: s.options.Clock, Kind: kind,
		Overlap: s.options.Overlap, Timeout: s.options.OwnerTimeout, RetryCodes: retryCodes,
	}
}

// Start follows the shards that this instance owns, and adapts to changes of
// ownership, until the context ends.
func (s *Set[R, M]) Start(ctx context.Context) {
	s.mu.Lock()
	s.ctx = ctx
	s.mu.Unlock()
	go s.runReconcile(ctx)
}

// IndexOf returns the index of the shard for a hash.
func (s *Set[R, M]) IndexOf(hash uint64) int { return int(hash % uint64(s.options.Count)) }

// Count returns the number of shards.
func (s *Set[R, M]) Count() int { return s.options.Count }

// Stream returns the name of a shard's stream.
func (s *Set[R, M]) Stream(index int) string { return fmt.Sprintf("%s.%d", s.prefix, index) }

// IsOwner reports whether this instance is the first owner of a shard. It is if no
// member is known.
func (s *Set[R, M]) IsOwner(stream string) bool {
	owners := s.view.Owners(stream, 1)
	return len(owners) == 0 || owners[0].Name == s.view.Self().Name
}

// Use returns a shard, and starts to follow it if it is not followed yet. The
// caller must call done once.
func (s *Set[R, M]) Use(index int) (shard *Shard[R, M], done func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	shard = s.ensureFollowed(index)
	shard.users++
	return shard, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		shard.users--
		shard.usedAt = s.options.Clock.Now()
	}
}

// Peek returns a shard if it is followed. Its state may be stale, so only
// decisions that can't change any more may be read from it.
func (s *Set[R, M]) Peek(index int) (*Shard[R, M], bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	shard, ok := s.shards[index]
	return shard, ok
}

// Followed returns the shards that are followed now, by index.
func (s *Set[R, M]) Followed() []*Shard[R, M] {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*Shard[R, M], 0, len(s.shards))
	for i := range s.options.Count {
		if shard, ok := s.shards[i]; ok {
			all = append(all, shard)
		}
	}
	return all
}

func (s *Set[R, M]) newFollower(stream string, machine M) *follower.Follower[R] {
	isOwner := func() bool { return s.IsOwner(stream) }
	return follower.New[R](s.log, stream, s.view.Self().Name, machine,
		follower.WithClock(s.options.Clock), follower.WithLogger(s.options.Logger), follower.WithGroupInterval(s.options.Group),
		follower.WithRate(appendRate, appendBurst),
		follower.WithSnapshotRecords(snapshotRecords, isOwner), follower.WithSnapshotInterval(s.options.Snapshot, isOwner),
		follower.WithResetDelay(resetIntervals*s.options.Snapshot))
}

// ensureFollowed returns a shard, and starts to follow it if it is not followed
// yet. The caller holds the mutex.
func (s *Set[R, M]) ensureFollowed(index int) *Shard[R, M] {
	if shard, ok := s.shards[index]; ok {
		return shard
	}
	stream := s.Stream(index)
	machine := s.machine()
	ctx, cancel := context.WithCancel(s.ctx)
	shard := &Shard[R, M]{
		Index:    index,
		Stream:   stream,
		Machine:  machine,
		Follower: s.newFollower(stream, machine),
		cancel:   cancel,
		usedAt:   s.options.Clock.Now(),
	}
	shard.Follower.Start(ctx)
	s.shards[index] = shard
	return shard
}

func (s *Set[R, M]) runReconcile(ctx context.Context) {
	ticker := s.options.Clock.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		s.reconcile()
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
		}
	}
}

// reconcile starts to follow the shards that this instance owns now, and releases
// those that it doesn't.
func (s *Set[R, M]) reconcile() {
	self := s.view.Self().Name
	for i := range s.options.Count {
		owners := s.view.Owners(s.Stream(i), followingOwners)
		owned := slices.ContainsFunc(owners, func(h lister.Instance) bool { return h.Name == self })
		s.mu.Lock()
		if owned {
			s.ensureFollowed(i).usedAt = s.options.Clock.Now()
		} else if shard, ok := s.shards[i]; ok {
			s.releaseUnused(shard)
		}
		s.mu.Unlock()
	}
}

// releaseUnused stops following a shard that other instances own now, once it is
// unused for unusedGrace. A shard whose state may not be in the log is kept: if
// its new owners started during an outage of the log, no other instance has the
// state of the records that retention drops before the outage ends.
func (s *Set[R, M]) releaseUnused(shard *Shard[R, M]) {
	if !shard.Follower.Status().Durable {
		shard.usedAt = s.options.Clock.Now()
	}
	if shard.users == 0 && s.options.Clock.Since(shard.usedAt) > unusedGrace {
		shard.cancel()
		delete(s.shards, shard.Index)
	}
}
