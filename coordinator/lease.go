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

	"primrosehook/allotter"
	"primrosehook/clocker"
	"primrosehook/framer"
	"primrosehook/leaser"
	"primrosehook/replayer"
	"primrosehook/tailer"
)

const (
	// leaseTerm is how long a claim is valid: three renewal intervals, and
	// short, since no orders are sent from when a lease holder stops until its
	// successor starts.
	leaseTerm = 2 * time.Second
	// leaseMargin is how much longer than the term other instances wait, for
	// clocks that run at different speeds.
	leaseMargin = 200 * time.Millisecond
	// claimRankDelay is the delay between the claims of instances with successive
	// ranks, which keeps them from claiming at once. claimRanks is the number
	// of ranks.
	claimRankDelay = 80 * time.Millisecond
	claimRanks     = 6
	// maxOrderTransit is how long after the end of its lease an order of a
	// former holder may still be under way.
	maxOrderTransit = 300 * time.Millisecond
	// sendMargin is how much of the lease must remain when an order is sent.
	sendMargin = 250 * time.Millisecond
	// leaseReadWait is how long a read of the lease waits for a new entry.
	leaseReadWait = 400 * time.Millisecond
	// leaseTimeout is the timeout of a call to the lease's log, in addition to
	// the time that a read waits.
	leaseTimeout = 700 * time.Millisecond
	// leaseCheckInterval is the pause between two steps of the lease.
	leaseCheckInterval = 50 * time.Millisecond
	// minLeaseBackoff is the pause after the first failed call: short compared
	// with the term, so that one lost reply does not end it.
	minLeaseBackoff = 60 * time.Millisecond
)

// Lease is this instance's view of the lease. It claims the lease when no
// instance holds it.
type Lease struct {
	self   Entry
	log    Log
	boot   clocker.Clock
	clock  clockwork.Clock
	logger *zap.Logger
	// orderGap is the least time between orders of two holders.
	orderGap time.Duration
	// onTerm is called at the start of each term of this instance.
	onTerm func(Handover)
	// maxBackoff returns the longest pause after failed calls.
	maxBackoff func() time.Duration

	mu         sync.Mutex
	elector    *leaser.Elector
	lastEntry  Entry
	nextOffset int64
	// orderFrom is when this instance may send orders at the earliest, othersUntil until when
	// another holder, or this machine's process before, may have sent some. Both are zero if
	// there was none.
	orderFrom, othersUntil time.Time
	// entitled returns the instances that have a part of the caps of client accounts.
	entitled func() *allotter.Entitled
	// entitledEntered is called once an entry with what entitled returned is in the log.
	entitledEntered func()
	// lateOrders returns the orders that may still be executed. It reports false if this instance has
	// sent none in this term.
	lateOrders func() (*LateOrders, bool)
	// termFence is the fencing token that onTerm was last called for.
	termFence int64
	// repliedUntil is until when a reply of the holder, or of a deputy that watches the
	// lease, replaces reads of the log.
	repliedUntil time.Time
	// readAt is when this instance last read the log.
	readAt time.Time
	// stopping is set once the lease is released for a planned stop.
	stopping bool
	// yields delays this instance's claims until after those of others.
	yields bool
	// complete reports whether this instance has what a holder needs.
	complete func() bool
	// leaving is set while the lease is to be released for another instance. Before claimFrom this
	// instance then claims it only if it is complete.
	leaving   bool
	claimFrom time.Time
	// retryAt is when the log is called again after a failed call, backoff the
	// pause before it.
	retryAt time.Time
	backoff time.Duration
	// unconfirmed is set while it is unknown whether the last append is in the
	// log. The log is then read before the next append.
	unconfirmed bool
}

// Handover is what the holder of a new term knows of earlier holders.
type Handover struct {
	// HadHolder is false if there was none. Elapsed is the least time since one of them sent an
	// order; it is negative while one still may.
	HadHolder bool
	Elapsed   time.Duration
	// Entitled are the instances that had a part of the caps of client accounts.
	Entitled allotter.Entitled
	// Late are the orders of earlier holders that may still be executed, nil after a build before formats 4.
	// Released is set if the last of them has released the lease.
	Late     *LateOrders
	Released bool
}

// NewLease returns a lease that has read nothing yet. orderGap is the least time
// between orders of two holders. onTerm is called at the start of each term.
// maxBackoff returns the longest pause after failed calls to the log.
func NewLease(self Entry, orderGap time.Duration, log Log, boot clocker.Clock, clock clockwork.Clock, logger *zap.Logger, onTerm func(Handover), maxBackoff func() time.Duration) *Lease {
	settings := leaser.Settings{Term: leaseTerm, Margin: leaseMargin, RankDelay: claimRankDelay}
	return &Lease{
		self: self, log: log, boot: boot, clock: clock, logger: logger, orderGap: orderGap, onTerm: onTerm, maxBackoff: maxBackoff,
		elector: leaser.NewElector(self.Instance, settings), complete: func() bool { return true },
	}
}

// Holder returns the address of the last known holder, empty if there is none.
func (l *Lease) Holder() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lastEntry.Release {
		return ""
	}
	return l.lastEntry.Address
}

// Valid reports whether this instance holds the lease.
func (l *Lease) Valid() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.elector.Valid(l.boot.Now())
}

// MayOrder reports whether an order may be sent now.
func (l *Lease) MayOrder() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mayOrder(l.boot.Now())
}

// mayOrder is MayOrder at a time. l.mu must be held.
func (l *Lease) mayOrder(now time.Time) bool {
	return l.elector.Valid(now.Add(sendMargin)) && !now.Before(l.orderFrom)
}

// Fence returns the fencing token of the last known entry.
func (l *Lease) Fence() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastEntry.Fence
}

// HolderReplied records a reply of the holder, or of a deputy that watches the
// lease. It replaces reads of the log for a time.
func (l *Lease) HolderReplied(ttl time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.repliedUntil = l.boot.Now().Add(ttl)
}

// Watch makes this instance read the log from now on, until the holder replies again.
func (l *Lease) Watch() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.repliedUntil = time.Time{}
}

// Yield makes this instance claim the lease only after the others have had time
// to. It must be called before run.
func (l *Lease) Yield() { l.yields = true }

// WatchesLog reports whether this instance has read the log within maxAge and
// would claim the lease if no instance held it.
func (l *Lease) WatchesLog(maxAge time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.stopping && l.boot.Now().Sub(l.readAt) < maxAge
}

func (l *Lease) run(ctx context.Context) {
	for ctx.Err() == nil {
		l.Step(ctx)
		l.sleep(ctx)
	}
}

// Step reads the entries of other instances, and claims or renews the lease if
// that is due.
func (l *Lease) Step(ctx context.Context) {
	if l.holderRepliedRecently() || l.backingOff() {
		return
	}
	switch {
	case l.takeLeaving():
		l.leave(ctx)
		return
	case l.appendUnconfirmed():
		l.read(ctx, 0)
	case !l.isHolder():
		l.read(ctx, leaseReadWait)
	}
	if !l.backingOff() {
		l.claim(ctx)
	}
}

func (l *Lease) sleep(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-l.clock.After(leaseCheckInterval):
	}
}

func (l *Lease) isHolder() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.elector.IsHolder() && !l.stopping
}

func (l *Lease) appendUnconfirmed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unconfirmed
}

// holderRepliedRecently reports whether the log need not be read, since the
// holder has replied to a report.
func (l *Lease) holderRepliedRecently() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.elector.IsHolder() && l.boot.Now().Before(l.repliedUntil)
}

// backingOff reports whether the log is not called yet after a failed call.
func (l *Lease) backingOff() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.boot.Now().Before(l.retryAt)
}

// recordResult updates the backoff after a call to the log. Calls cost money, so
// an unavailable log is called less and less often.
func (l *Lease) recordResult(ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ok {
		l.backoff = 0
		return
	}
	l.backoff = min(max(2*l.backoff, minLeaseBackoff), l.maxBackoff())
	l.retryAt = l.boot.Now().Add(l.backoff)
}

// read applies the entries that other instances have appended.
func (l *Lease) read(ctx context.Context, wait time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, wait+leaseTimeout)
	defer cancel()
	l.mu.Lock()
	from := l.nextOffset
	l.mu.Unlock()
	list, next, err := l.log.Read(ctx, from, wait)
	l.recordResult(err == nil)
	if err != nil {
		if ctx.Err() == nil {
			l.logger.Debug("lease: log can't be read", zap.Error(err))
		}
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.boot.Now()
	era, offset := tailer.SplitPosition(next)
	// Before its first read an instance can't tell a new era from an old one, nor a log whose
	// entries have all expired from one that it has not read for long.
	lostEntries := tailer.LostRecords(from, next, len(list))
	fence := max(next, l.lastEntry.Fence)
	l.nextOffset, l.readAt = next, now
	l.unconfirmed = false
	if len(list) == 0 && offset == 0 && !lostEntries && l.lastEntry == (Entry{}) {
		l.elector.Observe(now, leaser.NewState())
	}
	for _, r := range list {
		var e Entry
		if err := framer.Decode(r.Value, &e); err != nil {
			// Counts as a holder that never renews, so the claim waits for its term
			// to expire.
			l.logger.Warn("lease: entry can't be read", zap.Int64("offset", r.Offset), zap.Error(err))
			e = Entry{Instance: "unknown"}
		}
		if e.Era != era {
			e = Entry{Instance: "unknown"}
		}
		l.delayOrders(now, e)
		l.observe(now, r.Offset, e)
		fence = max(fence, l.lastEntry.Fence)
	}
	if lostEntries {
		// The log may have had a claim of any instance, which is valid for a term.
		l.logger.Info("lease: log has lost entries", zap.Int64("era", era), zap.Int64("offset", offset))
		lost := Entry{Instance: "unknown", Fence: fence}
		l.delayOrders(now, lost)
		l.observe(now, next-1, lost)
	}
}

// delayOrders keeps this instance from sending orders too soon after another
// machine. Whoever appended an entry sends orders for at most a term after it,
// whether or not it reads the entries that follow.
func (l *Lease) delayOrders(now time.Time, e Entry) {
	if e.Clear {
		l.orderFrom, l.othersUntil = time.Time{}, time.Time{}
	}
	if e.Instance == l.self.Instance {
		return
	}
	until := now
	if !e.Release && !l.isFormerSelf(e) {
		until = now.Add(leaseTerm)
	}
	l.othersUntil = latest(l.othersUntil, until)
	if e.Machine == l.self.Machine {
		return
	}
	if e.Release && !e.Clear {
		// The holder before it may still be within its term.
		until = now.Add(leaseTerm)
	}
	l.orderFrom = latest(l.orderFrom, until.Add(l.orderGap+maxOrderTransit))
}

// isFormerSelf reports whether an entry is that of an earlier process at this instance's
// address. It has ended, since its port is free.
func (l *Lease) isFormerSelf(e Entry) bool {
	return e.Machine == l.self.Machine && e.Address == l.self.Address && e.Instance != l.self.Instance
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// observe applies the newest entry.
func (l *Lease) observe(now time.Time, offset int64, e Entry) {
	if e.Fence == 0 {
		e.Fence = offset + 1
	}
	if e.Instance != l.lastEntry.Instance || e.Release != l.lastEntry.Release {
		l.logger.Info("lease: holder", zap.String("holder", e.Instance), zap.Int64("fence", e.Fence), zap.Bool("released", e.Release))
	}
	l.lastEntry = e
	s := leaser.State{Holder: e.Instance, Fence: replayer.Position(e.Fence), Last: replayer.Position(offset), Term: leaseTerm}
	if e.Release || l.isFormerSelf(e) {
		s.Holder = ""
	}
	l.elector.Observe(now, s)
}

// claim appends a claim or a renewal if one is due.
func (l *Lease) claim(ctx context.Context) {
	l.mu.Lock()
	now := l.boot.Now()
	previous := l.lastEntry
	renewal := l.elector.IsHolder()
	_, due := l.elector.Next(now, l.claimRank(now, previous))
	if !due || l.stopping {
		if due {
			l.elector.ClaimResolved(false)
		}
		l.mu.Unlock()
		return
	}
	e := l.self
	if renewal {
		e.Fence = previous.Fence
		e.Clear = l.mayOrder(now)
	} else if previous.Fence > l.nextOffset {
		e.Fence = previous.Fence + 1 // offsets have gone back within an era
	}
	e.Entitled, e.Late = previous.Entitled, previous.lateOrders()
	if e.Late == nil {
		e.Late = &LateOrders{}
	}
	at := l.nextOffset
	e.Era, _ = tailer.SplitPosition(at)
	l.mu.Unlock()
	if renewal && l.entitled != nil {
		e.Entitled = l.entitled()
	}
	if renewal && e.Clear {
		e.updateLate(l.lateOrders)
	}
	err := l.append(ctx, e, at)
	l.recordResult(err == nil || errors.Is(err, ErrOffsetMismatch))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.elector.ClaimResolved(err == nil)
	if err != nil {
		l.logger.Info("lease: claim failed", zap.Bool("renewal", renewal), zap.Error(err))
		if errors.Is(err, ErrOffsetMismatch) {
			l.mu.Unlock()
			l.read(ctx, 0)
			l.mu.Lock()
		}
		l.unconfirmed = !errors.Is(err, ErrOffsetMismatch)
		return
	}
	l.nextOffset = at + 1
	l.observe(l.boot.Now(), at, e)
	if renewal && l.entitledEntered != nil {
		l.entitledEntered()
	}
	if l.lastEntry.Fence == l.termFence {
		return
	}
	l.termFence = l.lastEntry.Fence
	l.logger.Info("lease: taken", zap.Int64("fence", l.lastEntry.Fence), zap.Duration("orders_after", max(l.orderFrom.Sub(now), 0)))
	h := Handover{HadHolder: !l.othersUntil.IsZero(), Elapsed: now.Sub(l.othersUntil), Late: previous.lateOrders(), Released: previous.Release}
	if previous.Entitled != nil {
		h.Entitled = *previous.Entitled
	}
	l.onTerm(h)
}

// claimRank returns this instance's rank among claims, in a different order for
// each term. The former process of this machine is succeeded at once, since others have to
// wait for its term and the order gap. Instances that may not send orders yet come after those
// that may: one that has started knows only that entries are no newer than its first read. Those
// that lack the configuration or the registry come last. The rank is negative for an instance that
// must not claim.
func (l *Lease) claimRank(now time.Time, last Entry) int {
	complete := l.complete()
	switch {
	case !complete && now.Before(l.claimFrom):
		return -1
	case l.isFormerSelf(last):
		return 0
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(l.self.Instance)) // a hash never fails
	_, _ = h.Write([]byte{byte(last.Fence), byte(last.Fence >> 8)})
	rank := int(h.Sum32() % claimRanks)
	if now.Before(l.orderFrom) {
		rank += claimRanks
	}
	if l.yields {
		rank += 2 * claimRanks
	}
	if !complete {
		rank += 4 * claimRanks
	}
	return rank
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

// Release releases the lease at a planned stop.
func (l *Lease) Release(ctx context.Context) {
	l.mu.Lock()
	isHolder := l.elector.IsHolder()
	l.stopping = true
	e, at := l.releaseEntry()
	l.mu.Unlock()
	if !isHolder {
		return
	}
	if err := l.appendRelease(ctx, e, at); err != nil {
		l.logger.Info("lease: release failed, the term lapses", zap.Error(err))
	}
}
