package sharder_test

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jonboulle/clockwork"

	"primrosehook/judge"
	"primrosehook/sharder"
	"primrosehook/simulator"
)

const (
	kind = "work"
	// overlap is long enough that an owner that is not blocked doesn't count as
	// slow.
	overlap = 2 * time.Second
)

// cluster is a fleet whose members give configured answers. It records which of
// them were called.
type cluster struct {
	fleet *simulator.Fleet
	nodes map[string]*simulator.Node
	// owners contains the names in the order of ownership.
	owners   []string
	mu       sync.Mutex
	called   []string
	refusals map[string]error
	// blocked contains, for each owner that must not answer yet, a channel that
	// is closed to release it.
	blocked map[string]chan struct{}
}

func startCluster(names ...string) *cluster {
	h := &cluster{fleet: simulator.NewFleet(), nodes: map[string]*simulator.Node{}, refusals: map[string]error{}, blocked: map[string]chan struct{}{}}
	for _, name := range names {
		n, err := h.fleet.Add(name)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(n.Kill)
		h.nodes[name] = n
		sharder.Serve(n.Server, kind, h.handler(name))
	}
	for _, n := range h.nodes[names[0]].Owners("s", len(names)) {
		h.owners = append(h.owners, n.Name)
	}
	return h
}

func (h *cluster) handler(name string) func(context.Context, string) (string, error) {
	return func(_ context.Context, request string) (string, error) {
		h.mu.Lock()
		h.called = append(h.called, name)
		h.mu.Unlock()
		if c := h.blocked[name]; c != nil {
			<-c
		}
		return name + " did " + request, h.refusals[name]
	}
}

// forward forwards a request from the node at an index of the owners.
func (h *cluster) forward(sender int, next ...string) (string, error) {
	return h.forwardWithin(context.Background(), sender, next...)
}

func (h *cluster) forwardWithin(ctx context.Context, sender int, next ...string) (string, error) {
	h.mu.Lock()
	h.called = nil
	h.mu.Unlock()
	node := h.nodes[h.owners[sender]]
	route := sharder.Route{
		View: node, Peers: node.Peers, Clock: clockwork.NewRealClock(), Kind: kind,
		Overlap: overlap, Timeout: time.Hour, RetryCodes: next,
	}
	return sharder.Forward(ctx, route, "s", "it", h.handler(node.Name))
}

// runUnblock unblocks owners, one after the other, once all of them were called.
func (h *cluster) runUnblock(names ...string) {
	defer GinkgoRecover()
	Eventually(func() int {
		h.mu.Lock()
		defer h.mu.Unlock()
		return len(h.called)
	}, "20s").Should(Equal(len(names)))
	for _, name := range names {
		close(h.blocked[name])
	}
}

func refusal(code string) error { return judge.Unavailable(code, "no", time.Second) }

var _ = Describe("Forward", func() {
	var h *cluster
	var first, second, third string
	BeforeEach(func() {
		h = startCluster("a", "b", "c", "d", "e")
		first, second, third = h.owners[0], h.owners[1], h.owners[2]
	})

	It("calls the first owner, and no other once it has answered", func() {
		for sender := range h.owners {
			Expect(h.forward(sender)).To(Equal(first + " did it"))
			Expect(h.called).To(Equal([]string{first}))
		}
	})

	DescribeTable("calls the next owner after", func(code string) {
		h.refusals[first] = refusal(code)
		Expect(h.forward(1, "room")).To(Equal(second + " did it"))
		Expect(h.called).To(Equal([]string{first, second}))
	},
		Entry("an owner that was not reached", "peer"),
		Entry("a busy owner", "busy"),
		Entry("an owner of another version", "kind"),
		Entry("an owner without access to the log", "log"),
		Entry("an owner that is draining", sharder.CodeDraining),
		Entry("a refusal code of the route's RetryCodes", "room"),
	)

	It("treats any other refusal as final", func() {
		h.refusals[first] = refusal("room")
		_, err := h.forward(3)
		Expect(judge.As(err).Code).To(Equal("room"))
		Expect(h.called).To(Equal([]string{first}))
	})

	It("skips owners that are gone, and executes the request itself after the last", func() {
		h.nodes[first].Kill()
		Expect(h.forward(2)).To(Equal(second + " did it"))
		h.nodes[second].Kill()
		h.nodes[third].Kill()
		Expect(h.forward(4)).To(Equal(h.owners[4] + " did it"))
		Expect(h.called).To(Equal([]string{h.owners[4]}))
	})

	It("treats two owners without access to the log as an outage", func() {
		h.refusals[first], h.refusals[second] = refusal("log"), refusal("log")
		_, err := h.forward(3)
		Expect(judge.As(err).Code).To(Equal("log"))
		Expect(judge.As(err).RetryAfter).To(BeNumerically(">", 0))
		Expect(h.called).To(Equal([]string{first, second}))
	})

	It("returns NotRun only if no owner may have begun", func() {
		h.refusals[first], h.refusals[second] = refusal("busy"), refusal("room")
		_, err := h.forward(3)
		Expect(judge.Of(err)).To(Equal(judge.NotRun))
		h.refusals[first] = judge.Unknown("peer", "no answer", nil)
		_, err = h.forward(3)
		Expect(judge.Of(err)).To(Equal(judge.MayHaveRun))
		Expect(h.called).To(Equal([]string{first, second}))
	})

	It("calls the next owner while the first hangs, and returns the first success", func(ctx context.Context) {
		release := make(chan struct{})
		DeferCleanup(func() { close(release) })
		h.blocked[first] = release
		Expect(h.forwardWithin(ctx, 3)).To(Equal(second + " did it"))
		Expect(h.called).To(Equal([]string{first, second}))
	}, SpecTimeout(20*time.Second))

	It("waits for a slow owner's refusal to return NotRun", func() {
		h.blocked[first] = make(chan struct{})
		h.blocked[second] = make(chan struct{})
		h.refusals[first], h.refusals[second] = refusal("log"), refusal("room")
		go h.runUnblock(second, first)
		_, err := h.forward(3)
		Expect(judge.As(err).Code).To(Equal("room"))
		Expect(judge.Of(err)).To(Equal(judge.NotRun))
		Expect(h.called).To(Equal([]string{first, second}))
	})

	It("returns a slow owner's success also after the next one's refusal", func() {
		h.blocked[first] = make(chan struct{})
		h.blocked[second] = make(chan struct{})
		h.refusals[second] = refusal("room")
		go h.runUnblock(second, first)
		Expect(h.forward(3)).To(Equal(first + " did it"))
	})
})
