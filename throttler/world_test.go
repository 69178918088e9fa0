package throttler_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"primrosehook/throttler"
)

// Times of the model.
const (
	step             = 10 * time.Millisecond
	exchangeInterval = 300 * time.Millisecond
	memberTTL        = 3 * time.Second
	takeover         = 4 * time.Second
	// excuse is for how long after a disturbance what an instance sends is not
	// counted, window the span in which requests are counted.
	excuse = 3 * time.Second
	window = 4 * time.Second
)

var errUnreachable = errors.New("unreachable")

// node is one instance of the model.
type node struct {
	world     *world
	address   string
	throttler *throttler.Throttler
	// group is the side of a partition that the node is on.
	group      int
	frozen     bool
	disturbed  time.Time
	reportedAt map[string]time.Time
	exchangeAt time.Time
}

// Call implements throttler.Peers.
func (n *node) Call(_ context.Context, address, _ string, request, reply any) error {
	to := n.world.node(address)
	if to == nil || to.frozen || to.group != n.group {
		return errUnreachable
	}
	raw, err := msgpack.Marshal(request)
	if err != nil {
		return err
	}
	var q throttler.AcquireRequest
	if err := msgpack.Unmarshal(raw, &q); err != nil {
		return err
	}
	*reply.(*throttler.AcquireReply) = to.throttler.Grant(q)
	return nil
}

type answer struct {
	at   time.Time
	node *node
}

// sent is a request that reached the server.
type sent struct {
	at      time.Time
	excused bool
}

// world is a fleet of instances, one server and clients that ask for more than it
// takes.
type world struct {
	random *rand.Rand
	clock  *clockwork.FakeClock
	nodes  []*node
	// holder collects reports and passes on statements and members, unseenSince is
	// since when it is out of order.
	holder      *node
	unseenSince time.Time
	created     int

	server  string
	limit   float64
	limited bool
	// limits are the limits that were named, with the time of the change.
	limits   []float64
	limitAt  []time.Time
	answers  []answer
	requests []sent
	// demand is how many requests a second the clients send.
	demand float64
}

func newWorld(seed uint64, count int, limit float64) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 1)), clock: clockwork.NewFakeClock(), server: "s1", demand: max(8*limit, 20)}
	for range count {
		w.add()
	}
	w.holder = w.nodes[0]
	w.name(limit, true)
	return w
}

// name sets what the server says in its answers.
func (w *world) name(limit float64, limited bool) {
	w.limit, w.limited = limit, limited
	w.limits, w.limitAt = append(w.limits, limit), append(w.limitAt, w.clock.Now())
}

// add starts an instance.
func (w *world) add() *node {
	w.created++
	return w.start(fmt.Sprint("n", w.created))
}

// start starts an instance at an address, which knows three others at first.
func (w *world) start(address string) *node {
	n := &node{world: w, address: address, reportedAt: map[string]time.Time{}, disturbed: w.clock.Now()}
	var seeds []string
	for _, m := range w.nodes[:min(3, len(w.nodes))] {
		seeds = append(seeds, m.address)
	}
	n.throttler = throttler.New(n.address, seeds, n, w.clock, w.clock, zap.NewNop())
	w.nodes = append(w.nodes, n)
	return n
}

func (w *world) node(address string) *node {
	i := slices.IndexFunc(w.nodes, func(n *node) bool { return n.address == address })
	if i < 0 {
		return nil
	}
	return w.nodes[i]
}

func (w *world) remove(n *node) {
	w.nodes = slices.DeleteFunc(w.nodes, func(m *node) bool { return m == n })
}

// advance lets time pass.
func (w *world) advance(d time.Duration) {
	for end := w.clock.Now().Add(d); w.clock.Now().Before(end); w.clock.Advance(step) {
		w.elect()
		w.deliverAnswers()
		for _, n := range w.nodes {
			if n.frozen {
				n.disturbed = w.clock.Now()
				continue
			}
			w.exchange(n)
		}
		w.sendRequests()
	}
}

// elect replaces a holder that has been out of order for takeover.
func (w *world) elect() {
	now := w.clock.Now()
	if slices.Contains(w.nodes, w.holder) && !w.holder.frozen && w.holder.group == 0 {
		w.unseenSince = now
		return
	}
	if now.Sub(w.unseenSince) < takeover {
		return
	}
	for _, n := range w.nodes {
		if !n.frozen && n.group == 0 {
			w.holder, n.reportedAt = n, map[string]time.Time{}
			return
		}
	}
}

func (w *world) exchange(n *node) {
	now, h := w.clock.Now(), w.holder
	if now.Before(n.exchangeAt) || !slices.Contains(w.nodes, h) || h.frozen || h.group != n.group {
		return
	}
	n.exchangeAt = now.Add(exchangeInterval*3/4 + time.Duration(w.random.Int64N(int64(exchangeInterval/2))))
	h.reportedAt[n.address] = now
	h.throttler.Merge(n.throttler.Export())
	n.throttler.Merge(h.throttler.Export())
	var members []string
	for a, at := range h.reportedAt {
		if now.Sub(at) <= memberTTL {
			members = append(members, a)
		}
	}
	slices.Sort(members)
	n.throttler.Update(members)
}

func (w *world) deliverAnswers() {
	now := w.clock.Now()
	w.answers = slices.DeleteFunc(w.answers, func(a answer) bool {
		if a.at.After(now) {
			return false
		}
		if slices.Contains(w.nodes, a.node) && !a.node.frozen {
			a.node.throttler.Observe(w.server, w.limit, w.limited)
		}
		return true
	})
}

func (w *world) sendRequests() {
	now := w.clock.Now()
	for range w.nodes {
		n := w.nodes[w.random.IntN(len(w.nodes))]
		if n.frozen || w.random.Float64() > w.demand/float64(len(w.nodes))*step.Seconds() {
			continue
		}
		if _, ok := n.throttler.Acquire(context.Background(), w.server); !ok {
			continue
		}
		w.requests = append(w.requests, sent{at: now, excused: n.group != 0 || now.Sub(n.disturbed) < excuse})
		w.answers = append(w.answers, answer{at: now.Add(50*time.Millisecond + time.Duration(w.random.IntN(100))*time.Millisecond), node: n})
	}
}

// count returns how many requests reached the server in a span that ends at a time.
func (w *world) count(end time.Time, span time.Duration, excusedToo bool) int {
	n := 0
	for _, r := range w.requests {
		if r.at.After(end.Add(-span)) && !r.at.After(end) && (excusedToo || !r.excused) {
			n++
		}
	}
	return n
}

// allowed returns how many requests the server may get in a window that ends at a
// time: one and a half times what the highest limit of that time allows, and five.
func (w *world) allowed(end time.Time) float64 {
	highest := 0.0
	for i, at := range w.limitAt {
		if at.After(end) {
			break
		}
		if i+1 == len(w.limitAt) || w.limitAt[i+1].After(end.Add(-window-time.Second)) {
			highest = max(highest, w.limits[i])
		}
	}
	return 1.5*window.Seconds()*highest + 5
}

// worst returns the window with the most requests beyond what is allowed, empty if
// there is none, for the time from contact after the first limit on.
func (w *world) worst(contact time.Duration) string {
	for _, r := range w.requests {
		if r.at.Before(w.limitAt[0].Add(contact)) {
			continue
		}
		if n := w.count(r.at, window, false); float64(n) > w.allowed(r.at) {
			return fmt.Sprintf("at %v: %d requests in %v, allowed %.0f", r.at.Sub(w.limitAt[0]), n, window, w.allowed(r.at))
		}
	}
	return ""
}
