package coordinator_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"primrosehook/balancer"
	"primrosehook/coordinator"
)

// handover is a world of one server with room for three models, whose lease holder is killed and
// followed by the next process of its machine, or by another instance.
type handover struct {
	*world
	first, next *worldInstance
	// processes is how many processes the first machine has had.
	processes int
	stop      context.CancelFunc
}

func newHandover(other bool, resident int) *handover {
	w := newWorld(worldSize{serverCount: 1, models: 4, copies: 4, resident: resident}, 1)
	w.removeAdapters()
	ctx, stop := context.WithCancel(context.Background())
	h := &handover{world: w, first: w.start("1", 0), processes: 1, stop: stop}
	go w.runBeats(ctx)
	if other {
		time.Sleep(500 * time.Millisecond)
		h.next = w.start("2", 0)
	}
	return h
}

// takeOver kills the lease holder, and starts its next process if no other instance runs.
func (h *handover) takeOver() {
	h.first.end()
	h.mu.Lock()
	h.killedAt, h.firstOrders = time.Now(), nil
	h.mu.Unlock()
	if h.next == nil {
		time.Sleep(500 * time.Millisecond)
		h.next = h.start("1", h.processes)
		h.processes++
	}
}

// request lets requests for models arrive at the next lease holder.
func (h *handover) request(d time.Duration, models ...string) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, m := range models {
			h.next.fleet.RecordArrival("llm", balancer.Request{Model: m})
		}
	}
}

func (h *handover) end() {
	h.next.end()
	h.stop()
	// runBeats notices that within its pause.
	time.Sleep(time.Second)
}

// remove stops the server, startServer starts it again without models.
func (h *handover) remove() *worldServer {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.servers["s0"]
	delete(h.servers, "s0")
	return old
}

func (h *handover) startServer(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.add(&worldServer{id: id, loaded: map[string][]string{}, copies: 4, onDisk: []string{"m0", "m1", "m2", "m3"}})
}

// unload carries out the last order of the first holder.
func (h *handover) unload() {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.servers["s0"]
	delete(s.loaded, "m0")
	s.orders++
	h.record(s)
	h.beat(s)
}

// Guards against servers that wait after a holder whose entry names no servers, though the
// next holder has seen them for longer than such orders can be late.
func TestFirstOrderAfterAnUninformedHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newHandover(false, 3)
		time.Sleep(20 * time.Second)
		g.Expect(h.log.add(coordinator.Entry{Instance: "2-0", Machine: "2", Address: "127.0.0.1:2", Late: &coordinator.LateOrders{}})).To(Succeed())
		time.Sleep(time.Second)
		h.mu.Lock()
		h.killedAt, h.firstOrders = time.Now(), nil
		h.mu.Unlock()
		h.unload()
		h.next = h.first
		h.request(20*time.Second, "m3", "m2")
		h.end()
		h.mu.Lock()
		defer h.mu.Unlock()
		g.Expect(h.broken).To(BeEmpty())
		g.Expect(h.firstOrders).NotTo(BeEmpty())
		g.Expect(h.firstOrders[0]).To(BeNumerically("<", 5*time.Second))
		t.Logf("first order %v after the entry", h.firstOrders)
	})
}

// Guards against a load by an earlier lease holder that arrives late at the next process of its
// server, which the next holder has filled: both have accepted as many orders.
func TestLateOrderOfAFormerHolder(t *testing.T) {
	for _, c := range []struct {
		name string
		// after is how long after the order its holder ends. The server is away from then, or from
		// 0.3 s, for 2 s. next is how long its next holder lives, zero if it goes on.
		after, next                   time.Duration
		other, releases, nextReleases bool
	}{
		{name: "killed before the next entry, to its next process", after: 20 * time.Millisecond},
		{name: "killed before the next entry, to another instance", after: 20 * time.Millisecond, other: true},
		{name: "killed before the next entry, and then the next one", after: 20 * time.Millisecond, next: 4 * time.Second},
		{name: "killed before the next entry, and the next one stopped", after: 20 * time.Millisecond, next: 4 * time.Second, nextReleases: true},
		{name: "killed before the next entry, and the next one stopped before the server is back", after: 20 * time.Millisecond, next: time.Second, nextReleases: true},
		{name: "killed beside the server, to its next process", after: 300 * time.Millisecond},
		{name: "killed beside the server, to another instance", after: 300 * time.Millisecond, other: true},
		{name: "killed beside the server, and then the next one", after: 300 * time.Millisecond, next: 1500 * time.Millisecond},
		{name: "killed when it knows of the restart, to its next process", after: 4 * time.Second},
		{name: "killed when it knows of the restart, to another instance", after: 4 * time.Second, other: true},
		{name: "killed when it knows of the restart, and then the next one", after: 4 * time.Second, next: 1500 * time.Millisecond},
		{name: "stopped when it knows of the restart", after: 4 * time.Second, other: true, releases: true},
		{name: "stopped before the server is back", after: time.Second, other: true, releases: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				h := newHandover(c.other, 2)
				h.mu.Lock()
				h.servers["s0"].orders = 3
				h.record(h.servers["s0"])
				h.lateShare, h.lateBy = 1, 11800*time.Millisecond
				h.mu.Unlock()
				lateAt := func() time.Time {
					h.mu.Lock()
					defer h.mu.Unlock()
					return h.lateAt
				}
				for lateAt().IsZero() {
					time.Sleep(5 * time.Millisecond)
				}
				time.Sleep(time.Until(lateAt().Add(min(c.after, 300*time.Millisecond))))
				h.remove()
				time.AfterFunc(2*time.Second, func() { h.startServer("s0") })
				time.Sleep(time.Until(lateAt().Add(c.after)))
				if c.releases {
					h.first.coordinator.Release(context.Background())
				}
				h.takeOver()
				h.answerAll()
				if c.next > 0 {
					h.request(c.next, "m0", "m1", "m3")
					if c.nextReleases {
						h.next.coordinator.Release(context.Background())
					}
					h.first, h.next = h.next, nil
					h.takeOver()
				}
				// The load without an answer is of m2.
				h.request(30*time.Second, "m0", "m1", "m3")
				h.end()
				h.mu.Lock()
				defer h.mu.Unlock()
				g.Expect(h.broken).To(BeEmpty())
				g.Expect(h.servers["s0"].loaded).To(HaveLen(3))
				t.Logf("first order %v after the end of the holder", h.firstOrders)
			})
		})
	}
}

// Guards against servers that wait for orders of an earlier lease holder that can't concern them.
func TestFirstOrderAfterAHandover(t *testing.T) {
	type change func(h *handover)
	unload := (*handover).unload
	restart := func(h *handover) {
		h.remove()
		time.Sleep(2 * time.Second)
		h.startServer("s0")
		time.Sleep(6 * time.Second)
	}
	replace := func(h *handover) {
		h.remove()
		time.Sleep(time.Second)
		h.startServer("new")
	}
	// An instance that takes over waits for the term and the order gap, each with a margin.
	const own, others = 1300 * time.Millisecond, 4500 * time.Millisecond
	for _, c := range []struct {
		name           string
		other          bool
		before, beside change
		most           time.Duration
	}{
		{"to its next process, the same server", false, nil, unload, own},
		{"to its next process, a server that started again before", false, restart, unload, own},
		{"to another instance, the same server", true, nil, unload, others},
		{"to another instance, a server that started again before", true, restart, unload, others},
		{"to another instance, a server with a new ID", true, nil, replace, others},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				h := newHandover(c.other, 3)
				time.Sleep(20 * time.Second)
				if c.before != nil {
					c.before(h)
				}
				go c.beside(h)
				h.takeOver()
				h.request(20*time.Second, "m3", "m2")
				h.end()
				h.mu.Lock()
				defer h.mu.Unlock()
				g.Expect(h.broken).To(BeEmpty())
				g.Expect(h.firstOrders).NotTo(BeEmpty())
				g.Expect(h.firstOrders[0]).To(BeNumerically("<", c.most))
				t.Logf("first order %v after the kill", h.firstOrders)
			})
		})
	}
}
