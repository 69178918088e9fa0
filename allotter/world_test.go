package allotter_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"primrosehook/allotter"
)

// Times of the model.
const (
	step   = 10 * time.Millisecond
	term   = 8 * time.Second
	window = 8 * time.Second
	// leaseGap is the time without a lease holder after one is lost.
	leaseGap = 2500 * time.Millisecond
	// deadAfter is how long an instance is reported to that does not answer.
	deadAfter = 500 * time.Millisecond
	// memberTTL is how long an instance counts after its last report.
	memberTTL = 3 * time.Second
	// renewal is the time between two entries of the lease, which is valid for leaseTerm after one.
	renewal   = 700 * time.Millisecond
	leaseTerm = 3 * time.Second
	// usage of each request, and the bounds of the pages beside the cap.
	usage   = 1500.0
	overage = 0.1
	slack   = 11000.0
)

// counted is how usage is counted against caps in the model.
var counted = allotter.Window{Length: window, Slack: slack}

// exact is the same without slack.
var exact = allotter.Window{Length: window}

// node is one instance of the model: the parts of an Allotter without its calls.
type node struct {
	name           string
	born           int
	shares         *allotter.Shares
	holding        allotter.Holding
	role, own      *allotter.Arbiter
	arbiter        string
	reportAt       time.Time
	silentSince    time.Time
	group          int
	frozen, killed bool
	share          float64
	// reporters are the instances that reported to this one, and when.
	reporters map[string]time.Time
}

func (n *node) id() string { return fmt.Sprint(n.name, ".", n.born) }

// world is a fleet on a simulated clock. One account asks for more than its cap, or less.
type world struct {
	random *rand.Rand
	now    time.Time
	nodes  []*node
	holder *node
	nextAt time.Time
	hadOne bool
	// former is what the last entry of the lease says of the instances that are entitled.
	former  allotter.Entitled
	writeAt time.Time
	// away is set while the lease's log does not answer. The holder has the lease until validUntil.
	away       bool
	validUntil time.Time
	pause      time.Duration
	version    int64
	rate       float64
	burst      float64
	demand     float64
	sent       []time.Time
	refused    int
	// replaced is how many machines were replaced.
	replaced int
	// mostHeld is the largest sum of the fractions that processes had at one time.
	mostHeld float64
}

func newWorld(seed uint64, instances int, rate, burst, demand float64) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), version: 1, rate: rate, burst: burst, demand: demand,
		pause: max(150*time.Millisecond, time.Duration(instances)*4*time.Millisecond),
	}
	for i := range instances {
		w.nodes = append(w.nodes, &node{name: fmt.Sprint("n", i), share: 1 / float64(instances)})
		w.start(w.nodes[i])
	}
	return w
}

// start starts a process on a machine; it knows nothing of the one before. It does not have the
// lease of the one before either, but may claim it at once.
func (w *world) start(n *node) {
	if w.holder == n {
		w.holder, w.nextAt = nil, w.now
	}
	*n = node{name: n.name, born: n.born + 1, group: n.group, share: n.share, shares: allotter.NewShares(term), role: allotter.NewArbiter(counted), own: allotter.NewArbiter(counted), reporters: map[string]time.Time{}}
	n.reportAt = w.now.Add(time.Duration(w.random.Int64N(int64(w.pause))))
}

func (w *world) ttl() time.Duration { return w.pause + 250*time.Millisecond }

func (w *world) up(n *node) bool { return !n.frozen && !n.killed }

// reaches reports whether one node gets an answer of another.
func (w *world) reaches(a, b *node) bool { return a == b || w.up(b) && a.group == b.group }

func (w *world) node(id string) *node {
	for _, n := range w.nodes {
		if n.id() == id {
			return n
		}
	}
	return nil
}

// step passes a moment: the lease, reports and requests.
func (w *world) step() {
	w.now = w.now.Add(step)
	w.elect()
	for _, n := range w.nodes {
		if w.up(n) && !w.now.Before(n.reportAt) {
			w.report(n)
		}
	}
	held := 0.0
	for _, n := range w.nodes {
		if !n.killed {
			held += n.holding.Held(w.now).Fraction
		}
	}
	w.mostHeld = max(w.mostHeld, held)
	for range w.arrivals() {
		w.request(w.nodes[w.pick()])
	}
}

// elect gives the lease to some instance that can have it, a while after the last one was lost.
func (w *world) elect() {
	if w.holder != nil && w.up(w.holder) && w.holder.group == 0 && (!w.away || w.now.Before(w.validUntil)) {
		if !w.away && !w.now.Before(w.writeAt) {
			w.write()
		}
		return
	}
	if w.holder != nil {
		w.holder, w.nextAt = nil, w.now.Add(leaseGap)
	}
	if w.now.Before(w.nextAt) || w.away {
		return
	}
	// Only the instances of one side reach the store.
	for _, i := range w.random.Perm(len(w.nodes)) {
		if n := w.nodes[i]; w.up(n) && n.group == 0 {
			w.holder = n
			n.shares.Begin(w.now, w.hadOne, w.former)
			w.hadOne, w.writeAt, w.validUntil = true, w.now.Add(renewal), w.now.Add(leaseTerm)
			return
		}
	}
}

// write renews the lease. Some entries do not reach the log, and of some the holder does not learn that
// they have.
func (w *world) write() {
	entry, luck := w.holder.shares.Entitled(w.now), w.random.IntN(10)
	w.writeAt = w.now.Add(renewal)
	if luck == 0 {
		return
	}
	w.former, w.validUntil = entry, w.now.Add(leaseTerm)
	if luck != 1 {
		w.holder.shares.Entered()
	}
}

// replace removes a machine for good, and adds one at another address.
func (w *world) replace(n *node) {
	n.killed = true
	w.replaced++
	m := &node{name: fmt.Sprint("r", w.replaced), group: n.group, share: n.share}
	n.share = 0
	w.nodes = append(w.nodes, m)
	w.start(m)
}

// loseUnevenly replaces a machine while a new holder does not know yet what the one before had
// assigned, so that there is next to nothing for the new machine. Then all instances start again.
func (w *world) loseUnevenly() {
	w.run(10 * time.Second)
	w.holder, w.nextAt = nil, w.now.Add(leaseGap)
	w.replace(w.nodes[w.random.IntN(len(w.nodes))])
	w.run(leaseGap + 4*time.Second)
	w.restart()
}

// run passes a time.
func (w *world) run(d time.Duration) {
	for range int(d / step) {
		w.step()
	}
}

// refusedShare returns which part of the requests of a time is refused.
func (w *world) refusedShare(d time.Duration) float64 {
	refused, sent := w.refused, len(w.sent)
	w.run(d)
	refused, sent = w.refused-refused, len(w.sent)-sent
	return float64(refused) / float64(max(refused+sent, 1))
}

// restart starts all machines that are up again, which leaves the lease without a holder for a while.
func (w *world) restart() {
	for _, n := range w.nodes {
		if w.up(n) {
			w.start(n)
		}
	}
	w.holder, w.nextAt = nil, w.now.Add(leaseGap)
}

// report sends a report to the lease holder, or to the first instance of the own side.
func (w *world) report(n *node) {
	n.reportAt = w.now.Add(w.pause)
	to := w.holder
	if to == nil || !w.reaches(n, to) {
		if n.silentSince.IsZero() {
			n.silentSince = w.now
		}
		if w.now.Sub(n.silentSince) < deadAfter {
			n.arbiter = ""
			return
		}
		to = nil
		for _, d := range w.nodes {
			if w.reaches(n, d) && w.up(d) {
				to = d
				break
			}
		}
	} else {
		n.silentSince = time.Time{}
	}
	held, delegated := n.holding.Held(w.now), n.holding.Delegate(w.now, to.id(), w.ttl())
	if delegated.Left > 0 {
		n.own = allotter.NewArbiter(counted)
	}
	to.role.Delegate(w.now, n.id(), delegated)
	if to == w.holder {
		to.reporters[n.id()] = w.now
		for id, at := range to.reporters {
			if w.now.Sub(at) > memberTTL {
				delete(to.reporters, id)
			}
		}
		e := to.shares.Assign(w.now, n.name, held, len(to.reporters))
		// Some replies are lost.
		if w.random.IntN(20) > 0 {
			n.holding.Assigned(w.now, e)
		}
	}
	n.arbiter = to.id()
}

// arrivals draws how many requests come in a step.
func (w *world) arrivals() int {
	mean := w.demand / usage * step.Seconds()
	n := int(mean)
	if w.random.Float64() < mean-float64(n) {
		n++
	}
	return n
}

// pick draws the instance of a request by the shares of the clients.
func (w *world) pick() int {
	x := w.random.Float64()
	for i, n := range w.nodes {
		if x -= n.share; x < 0 {
			return i
		}
	}
	return len(w.nodes) - 1
}

func (w *world) request(n *node) {
	if !w.up(n) {
		return
	}
	from := n.own
	if a := w.node(n.arbiter); a != nil {
		if !w.reaches(n, a) {
			w.refused++
			return
		}
		from = a.role
	} else {
		n.own.Delegate(w.now, n.id(), n.holding.Own(w.now))
	}
	g, ok := from.Grant(w.now, n.id(), []allotter.Item{{Account: "a", Version: w.version, Rate: w.rate, Burst: w.burst, Need: usage}})
	if !ok || g[0].Amount < usage {
		w.refused++
		return
	}
	w.sent = append(w.sent, w.now)
}

// most returns the most usage in any window from a time on.
func (w *world) most(from time.Time) float64 {
	most, first := 0, 0
	for i, at := range w.sent {
		for at.Sub(w.sent[first]) >= window || w.sent[first].Before(from) {
			if first == i {
				break
			}
			first++
		}
		if !w.sent[first].Before(from) {
			most = max(most, i-first+1)
		}
	}
	return usage * float64(most)
}

// bound is what the pages allow in a window.
func bound(rate, burst float64) float64 {
	return (rate*window.Seconds()+burst)*(1+overage) + slack
}
