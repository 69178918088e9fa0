package balancer

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// roundRequests is how many requests of mean size accounts get in turn. Within a round the
	// target time decides, so that accounts with about equal use are served as without accounts.
	roundRequests = 4
	// largeShare is the share of requests that count as large, sizeStep the relative step by which
	// the size from which on they do follows the requests, and minSizes how many requests there
	// must be before.
	largeShare = 0.1
	sizeStep   = 0.05
	minSizes   = 20
	// largeWaitShare is the share of a request's MaxWait for which a large one lets smaller ones
	// pass that fit where it does not.
	largeWaitShare = 1.0 / 3
)

// tokens is the share of a server that a request takes.
func (q Request) tokens() float64 { return float64(max(q.PromptTokens+q.OutputTokens, 1)) }

// accountUse is the use that the accounts made of the servers for one key, by start-time fair
// queueing: a request starts at the virtual time at which its account's last one ended, or, if the
// account has none, at which the request arrived.
type accountUse struct {
	// now is the virtual time, in tokens: the start of the request that was served last. starts is
	// when the next request of each account starts, for those with waiting requests or a later
	// start than now, and waiting the number of the former.
	now     float64
	starts  map[string]float64
	waiting map[string]int
	// mean is the mean size of requests, large the size that a tenth of them exceed, both in
	// tokens, and sizes the number of requests that they are based on.
	mean, large float64
	sizes       int
}

// enter records a request that begins to wait.
func (u *accountUse) enter(q Request) {
	if u.waiting == nil {
		u.waiting = map[string]int{}
	}
	u.waiting[q.Account]++
	u.setStart(q.Account, u.start(q.Account))
}

// leave records a request that no longer waits.
func (u *accountUse) leave(q Request) {
	if u.waiting[q.Account]--; u.waiting[q.Account] <= 0 {
		delete(u.waiting, q.Account)
	}
}

// serve records a request that got a server.
func (u *accountUse) serve(q Request) {
	start := u.start(q.Account)
	u.now = max(u.now, start)
	u.setStart(q.Account, start+q.tokens())
	maps.DeleteFunc(u.starts, func(account string, start float64) bool { return start <= u.now && u.waiting[account] == 0 })
}

// start returns when the next request of an account starts.
func (u *accountUse) start(account string) float64 {
	if start, ok := u.starts[account]; ok {
		return start
	}
	return u.now
}

func (u *accountUse) setStart(account string, start float64) {
	if u.starts == nil {
		u.starts = map[string]float64{}
	}
	u.starts[account] = start
}

// observe records the size of a request that arrived.
func (u *accountUse) observe(q Request) {
	size := q.tokens()
	if u.sizes == 0 {
		u.mean, u.large = size, size
	}
	u.sizes++
	u.mean += sizeStep * (size - u.mean)
	if size > u.large {
		u.large += sizeStep * u.large * (1 - largeShare)
		return
	}
	u.large -= sizeStep * u.large * largeShare
}

// isLarge reports whether a request is among the largest tenth.
func (u *accountUse) isLarge(q Request) bool { return u.sizes >= minSizes && q.tokens() > u.large }

// round returns the round of a request that starts at a virtual time.
func (u *accountUse) round(start float64) int {
	if u.mean <= 0 {
		return 0
	}
	return int(math.Floor((start - u.now) / (roundRequests * u.mean)))
}

// rank is the place of a waiting request in the order. Ranks are compared field by field.
type rank struct {
	waiter   *Waiter
	priority int
	late     int
	round    int
	target   time.Time
}

func compareRanks(a, b rank) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.late, b.late), cmp.Compare(a.round, b.round), a.target.Compare(b.target))
}

// ranks returns the requests of one key that wait, and the added one if it is not nil, in the order
// in which they are served.
func (wq *WaitQueue) ranks(now time.Time, key string, added *Waiter) []rank {
	var list []rank
	appendRank := func(w *Waiter) {
		if w.queueKey() == key {
			list = append(list, rank{waiter: w, priority: w.Priority, late: wq.lateRank(now, w), target: w.TargetTime})
		}
	}
	for _, w := range wq.waiters {
		appendRank(w)
	}
	if added != nil {
		appendRank(added)
	}
	slices.SortStableFunc(list, compareRanks)
	if wq.hasSeveralAccounts(list) {
		use := &wq.traffic(key).use
		starts := map[string]float64{}
		for i, r := range list {
			start, ok := starts[r.waiter.Account]
			if !ok {
				start = use.start(r.waiter.Account)
			}
			list[i].round = use.round(start)
			starts[r.waiter.Account] = start + r.waiter.tokens()
		}
		slices.SortStableFunc(list, compareRanks)
	}
	return list
}

func (wq *WaitQueue) hasSeveralAccounts(list []rank) bool {
	for _, r := range list {
		if r.waiter.Account != list[0].waiter.Account {
			return true
		}
	}
	return false
}

// lateRank is 1 for a request that can't be on time. A large one that smaller ones have passed
// counts as one that can, so that it does not fall behind all that come after it.
func (wq *WaitQueue) lateRank(now time.Time, w *Waiter) int {
	if !w.late && wq.isPassed(now, w) {
		return 0
	}
	return lateRank(now, w.Request)
}

// isPassed reports whether a large request has waited for so long that smaller ones should no
// longer pass it.
func (wq *WaitQueue) isPassed(now time.Time, w *Waiter) bool {
	if w.since.IsZero() || w.awaitsReplica || now.Sub(w.since) < time.Duration(largeWaitShare*float64(w.MaxWait)) {
		return false
	}
	t, ok := wq.keys[w.queueKey()]
	return ok && t.use.isLarge(w.Request)
}

// holdsBack reports whether a request that has just arrived must not take a server before a large
// one that waits: requests that fit where the large one does not would keep it out for ever.
func (wq *WaitQueue) holdsBack(now time.Time, q Request) bool {
	return slices.ContainsFunc(wq.waiters, func(w *Waiter) bool {
		return w.Priority <= q.Priority && w.queueKey() == q.queueKey() && !w.late && wq.isPassed(now, w)
	})
}

// order returns all waiting requests in the order in which they are served.
func (wq *WaitQueue) order(now time.Time) []rank {
	byKey := map[string]bool{}
	var all []rank
	for _, w := range wq.waiters {
		if key := w.queueKey(); !byKey[key] {
			byKey[key] = true
			all = append(all, wq.ranks(now, key, nil)...)
		}
	}
	slices.SortStableFunc(all, compareRanks)
	return all
}

// ahead returns how many requests for the same model would go before a request, and the rate at
// which such requests get a server. Where the order among accounts takes it past requests of this
// instance, it takes it past the same share of those of the peers.
func (wq *WaitQueue) ahead(now time.Time, q Request) (count, rate float64) {
	key := q.queueKey()
	added := &Waiter{Request: q}
	list := wq.ranks(now, key, added)
	index := slices.IndexFunc(list, func(r rank) bool { return r.waiter == added })
	count = float64(index)
	if g, ok := wq.grants[key]; ok {
		rate = g.Rate(now, grantHalfLife)
	}
	if p, ok := wq.peers[key]; ok && now.Sub(wq.peersAt) < peersTTL {
		without := list[index]
		without.round = 0
		before := 0
		for i, r := range list {
			r.round = 0
			if c := compareRanks(r, without); i != index && c <= 0 {
				before++
			}
		}
		share := min(float64(index+1)/float64(before+1), 1)
		count += share * float64(p.ahead(q.Priority, list[index].late > 0))
		rate += p.Granted
	}
	return count, max(rate, minGrantRate)
}

// takeUnlessHeld is take for a request that has just arrived. f.mu must be held.
func (f *Fleet) takeUnlessHeld(now time.Time, service string, q Request) (*Assignment, Status) {
	queue := f.queue(service)
	queue.Observe(q)
	queue.recordPlainArrival(now, q)
	if queue.holdsBack(now, q) || f.goesAfterPlain(now, service, q) {
		return nil, Full
	}
	return f.take(service, q)
}

// Observe records the size of a request that arrived.
func (wq *WaitQueue) Observe(q Request) { wq.traffic(q.queueKey()).use.observe(q) }
