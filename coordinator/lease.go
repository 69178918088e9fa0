package coordinator

import (
	"context"
	"errors"
	"hash/fnv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"primrosehook/booter"
	"primrosehook/leaser"
	"primrosehook/replayer"
)

const (
	// term is how long a claim holds: short, since nobody gives orders between
	// a holder's end and its successor's start, and three renewals long.
	term = 2 * time.Second
	// leaseMargin is what others wait beyond the term, for clocks that run at
	// different speeds.
	leaseMargin = 200 * time.Millisecond
	// stagger keeps instances from claiming at once; ranks is how many places
	// there are.
	stagger = 80 * time.Millisecond
	ranks   = 6
	// onTheWay is the longest that an order of a former holder may be under
	// way beyond its lease.
	onTheWay = 300 * time.Millisecond
	// sendMargin must be left of the lease when an order is sent.
	sendMargin = 250 * time.Millisecond
	// leaseWait is how long a read of the lease waits for a new entry.
	leaseWait = 400 * time.Millisecond
	// leaseTimeout bounds a call about the lease beyond that.
	leaseTimeout = 700 * time.Millisecond
	// leaseCheck is how often it is checked whether something is due.
	leaseCheck = 50 * time.Millisecond
	// backoffLeast is the pause after a first failed call: short against the
	// term, so that one lost answer does not end it.
	backoffLeast = 60 * time.Millisecond
	// heardAge is how long a reply of the holder stands for a reading of the
	// lease.
	heardAge = 700 * time.Millisecond
)

// Entry is one record of the lease. Each is appended on the condition that it
// follows the entry last read, so that every entry in the log is valid.
type Entry struct {
	Instance string `msgpack:"i"`
	// Machine tells whether a successor runs where the holder ran.
	Machine string `msgpack:"m"`
	Address string `msgpack:"a"`
	// Fence is the fencing token; zero means the entry's own offset plus one.
	Fence   int64 `msgpack:"f"`
	Release bool  `msgpack:"r"`
	// Clear is set on a release by a holder that was free to order: all earlier
	// holders have been silent for long enough.
	Clear bool `msgpack:"c"`
}

// LogRecord is one record of the lease's log.
type LogRecord struct {
	Offset int64
	Value  []byte
}

// ErrMoved is returned by an append whose condition does not hold.
var ErrMoved = errors.New("the log ends at another offset")

// Log is where the lease is kept.
type Log interface {
	// Read returns the records from an offset on, or those that are kept if
	// older ones were deleted, and where to read on.
	Read(ctx context.Context, from int64, wait time.Duration) ([]LogRecord, int64, error)
	// Append adds a record if the log ends at an offset. After an error other
	// than ErrMoved the record may stand, now or later.
	Append(ctx context.Context, value []byte, at int64) error
}

// Lease keeps this instance's view of the lease, and claims it when nobody
// holds it.
type Lease struct {
	self  Entry
	log   Log
	boot  booter.Clock
	clock clockwork.Clock
	zap   *zap.Logger
	// apart is how far apart orders of two holders must be.
	apart time.Duration
	taken func(former bool)
	// patience is the longest pause after failed calls.
	patience func() time.Duration

	mu     sync.Mutex
	keeper *leaser.Keeper
	last   Entry
	next   int64
	// from is when this instance may order at the earliest.
	from time.Time
	// taught is the fence that taken was called for.
	taught int64
	heard  time.Time
	// readAt is when the log was last read here.
	readAt time.Time
	ending bool
	// yields puts this instance's claims after those of others.
	yields bool
	// again is when a log that failed is called again, backoff the pause.
	again   time.Time
	backoff time.Duration
	// unsettled is set while it is not known whether the last append stands:
	// the log is read before the next one.
	unsettled bool
}

// NewLease returns a lease that has read nothing yet. Orders of two holders must
// be apart by the time given; taken is called with each new term, and told
// whether there was a holder before; patience is the longest pause after failed
// calls to the log.
func NewLease(self Entry, apart time.Duration, log Log, boot booter.Clock, clock clockwork.Clock, z *zap.Logger, taken func(former bool), patience func() time.Duration) *Lease {
	settings := leaser.Settings{Term: term, Margin: leaseMargin, Stagger: stagger}
	return &Lease{
		self: self, log: log, boot: boot, clock: clock, zap: z, apart: apart, taken: taken, patience: patience,
		keeper: leaser.NewKeeper(self.Instance, settings),
	}
}

// Holder returns the address of the last known holder, empty if there is none.
func (l *Lease) Holder() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.last.Release {
		return ""
	}
	return l.last.Address
}

// Valid reports whether this instance holds the lease.
func (l *Lease) Valid() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.keeper.Valid(l.boot.Now())
}

// MayOrder reports whether an order may be sent now.
func (l *Lease) MayOrder() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.boot.Now()
	return l.keeper.Valid(now.Add(sendMargin)) && !now.Before(l.from)
}

// Fence returns the fencing token of the lease last seen.
func (l *Lease) Fence() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.last.Fence
}

// Hear notes a reply of the holder.
func (l *Lease) Hear() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard = l.boot.Now()
}

// Yield makes this instance claim the lease only after others had the time to.
// It must be called before run.
func (l *Lease) Yield() { l.yields = true }

// Attends reports whether this instance has read the log lately and would claim
// the lease if nobody held it.
func (l *Lease) Attends(lately time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.ending && l.boot.Now().Sub(l.readAt) < lately
}

func (l *Lease) run(ctx context.Context) {
	for ctx.Err() == nil {
		l.Step(ctx)
		l.sleep(ctx)
	}
}

// Step reads what others have appended, and claims or renews if that is due.
func (l *Lease) Step(ctx context.Context) {
	if l.relieved() || l.resting() {
		return
	}
	switch {
	case l.doubtful():
		l.read(ctx, 0)
	case !l.mine():
		l.read(ctx, leaseWait)
	}
	if !l.resting() {
		l.claim(ctx)
	}
}

func (l *Lease) sleep(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-l.clock.After(leaseCheck):
	}
}

func (l *Lease) mine() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.keeper.Mine() && !l.ending
}

func (l *Lease) doubtful() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unsettled
}

// relieved reports whether the holder was heard lately, so that the log need
// not be read.
func (l *Lease) relieved() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.keeper.Mine() && l.boot.Now().Sub(l.heard) < heardAge
}

// resting reports whether the log failed so lately that it is left alone.
func (l *Lease) resting() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.boot.Now().Before(l.again)
}

// outcome notes whether a call to the log succeeded. Calls are priced, and a
// log that is away takes none.
func (l *Lease) outcome(ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ok {
		l.backoff = 0
		return
	}
	l.backoff = min(max(2*l.backoff, backoffLeast), l.patience())
	l.again = l.boot.Now().Add(l.backoff)
}

// read takes over the entries that others have appended.
func (l *Lease) read(ctx context.Context, wait time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, wait+leaseTimeout)
	defer cancel()
	l.mu.Lock()
	from := l.next
	l.mu.Unlock()
	list, next, err := l.log.Read(ctx, from, wait)
	l.outcome(err == nil)
	if err != nil {
		if ctx.Err() == nil {
			l.zap.Debug("lease: log can't be read", zap.Error(err))
		}
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.boot.Now()
	l.next, l.readAt = next, now
	l.unsettled = false
	if len(list) == 0 {
		if next == 0 {
			l.keeper.Observe(now, leaser.NewState())
		}
		return
	}
	for _, r := range list {
		var e Entry
		if err := msgpack.Unmarshal(r.Value, &e); err != nil {
			// Counts as a holder that never renews, so that its term is waited out.
			l.zap.Warn("lease: entry can't be read", zap.Int64("offset", r.Offset), zap.Error(err))
			e = Entry{Instance: "unknown"}
		}
		l.foreign(now, e)
		l.observe(now, r.Offset, e)
	}
}

// foreign keeps this instance from ordering too soon after another machine.
// Whoever appended an entry orders for a term after it at most, whether or not
// it learns of the entries that followed.
func (l *Lease) foreign(now time.Time, e Entry) {
	switch {
	case e.Machine == l.self.Machine:
	case e.Release && e.Clear:
		l.from = now.Add(l.apart + onTheWay)
	default:
		if from := now.Add(term + l.apart + onTheWay); from.After(l.from) {
			l.from = from
		}
	}
}

// observe takes over the newest entry.
func (l *Lease) observe(now time.Time, offset int64, e Entry) {
	if e.Fence == 0 {
		e.Fence = offset + 1
	}
	if e.Instance != l.last.Instance || e.Release != l.last.Release {
		l.zap.Info("lease: holder", zap.String("holder", e.Instance), zap.Int64("fence", e.Fence), zap.Bool("released", e.Release))
	}
	l.last = e
	s := leaser.State{Holder: e.Instance, Fence: replayer.Position(e.Fence), Last: replayer.Position(offset), Term: term}
	if e.Release {
		s.Holder = ""
	}
	l.keeper.Observe(now, s)
}

// claim appends a claim or a renewal if one is due.
func (l *Lease) claim(ctx context.Context) {
	l.mu.Lock()
	now := l.boot.Now()
	before := l.last
	mine := l.keeper.Mine()
	_, due := l.keeper.Next(now, l.rank(before.Fence))
	if !due || l.ending {
		if due {
			l.keeper.Settled(false)
		}
		l.mu.Unlock()
		return
	}
	e := l.self
	if mine {
		e.Fence = before.Fence
	}
	at := l.next
	l.mu.Unlock()
	err := l.append(ctx, e, at)
	l.outcome(err == nil || errors.Is(err, ErrMoved))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.keeper.Settled(err == nil)
	if err != nil {
		l.zap.Info("lease: claim failed", zap.Bool("renewal", mine), zap.Error(err))
		if errors.Is(err, ErrMoved) {
			l.mu.Unlock()
			l.read(ctx, 0)
			l.mu.Lock()
		}
		l.unsettled = !errors.Is(err, ErrMoved)
		return
	}
	l.next = at + 1
	l.observe(l.boot.Now(), at, e)
	if l.last.Fence == l.taught {
		return
	}
	l.taught = l.last.Fence
	l.zap.Info("lease: taken", zap.Int64("fence", l.last.Fence), zap.Duration("orders_after", max(l.from.Sub(now), 0)))
	l.taken(!l.from.IsZero())
}

// rank spreads the claims of instances, in another order for each term.
func (l *Lease) rank(fence int64) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(l.self.Instance)) // a hash takes all
	_, _ = h.Write([]byte{byte(fence), byte(fence >> 8)})
	place := int(h.Sum32() % ranks)
	if l.yields {
		place += ranks
	}
	return place
}

func (l *Lease) append(ctx context.Context, e Entry, at int64) error {
	raw, err := msgpack.Marshal(e)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	return l.log.Append(ctx, raw, at)
}

// Release gives the lease back at a planned stop.
func (l *Lease) Release(ctx context.Context) {
	l.mu.Lock()
	mine := l.keeper.Mine()
	l.ending = true
	e := l.self
	e.Release, e.Fence = true, l.last.Fence
	now := l.boot.Now()
	e.Clear = l.keeper.Valid(now) && !now.Before(l.from)
	at := l.next
	if mine {
		l.keeper.Release()
	}
	l.mu.Unlock()
	if !mine {
		return
	}
	if err := l.append(ctx, e, at); err != nil {
		l.zap.Info("lease: release failed, the term lapses", zap.Error(err))
	}
}
