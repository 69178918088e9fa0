package sparer_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"primrosehook/judge"
	"primrosehook/sparer"
)

// network carries messages between sparers.
type network struct {
	mu      sync.Mutex
	sparers map[string]*sparer.Sparer
	down    map[string]bool
	// earlier are the instances of a build that does not know the messages.
	earlier map[string]bool
	// decided counts the decisions of each instance.
	decided map[string]int
}

// Call implements sparer.Peers.
func (n *network) Call(ctx context.Context, address, _ string, request, reply any) error {
	n.mu.Lock()
	to, down, earlier := n.sparers[address], n.down[address], n.earlier[address]
	if _, ok := request.(sparer.AdmitRequest); ok && !down && !earlier {
		n.decided[address]++
	}
	n.mu.Unlock()
	if down {
		return errors.New("connection refused")
	}
	if earlier {
		return &judge.Refusal{Verdict: judge.NotRun, Code: "kind", Reason: "peer does not know this message"}
	}
	switch q := request.(type) {
	case sparer.AdmitRequest:
		*reply.(*sparer.AdmitReply) = to.Decide(ctx, q)
	case sparer.EndedRequest:
		to.Record(q)
	}
	return nil
}

func newNetwork(members int) (*network, []*sparer.Sparer) {
	n := &network{sparers: map[string]*sparer.Sparer{}, down: map[string]bool{}, earlier: map[string]bool{}, decided: map[string]int{}}
	var names []string
	var list []*sparer.Sparer
	for i := range members {
		names = append(names, fmt.Sprintf("m%d", i))
	}
	for _, name := range names {
		s := sparer.New(name, names, n, clockwork.NewRealClock(), zap.NewNop())
		n.sparers[name] = s
		list = append(list, s)
	}
	return n, list
}

var _ = Describe("Sparers of several instances", func() {
	ctx := context.Background()

	It("admit everything to servers that are not brittle, and again once they are not", func() {
		_, list := newNetwork(3)
		for range 100 {
			pass, _, ok := list[0].Admit(ctx, "api", "s1")
			Expect(ok).To(BeTrue())
			pass.End(true)
		}
		list[0].Observe("api", 5, true)
		Expect(list[0].Brittle("api")).To(BeTrue())
		Expect(list[0].Brittle("llm")).To(BeFalse())
		list[0].Observe("api", 0, false)
		Expect(list[0].Brittle("api")).To(BeFalse())
	})

	// Guards against each instance letting its own requests through.
	It("have one gate for each server, also when its owner is lost", func() {
		n, list := newNetwork(6)
		admitted := func() int {
			count := 0
			for _, s := range list {
				s.Observe("api", 5, true)
				if _, _, ok := s.Admit(ctx, "api", "s1"); ok {
					count++
				}
			}
			return count
		}
		Expect(admitted()).To(Equal(1))
		Expect(n.decided).To(HaveLen(1))
		time.Sleep(20 * time.Millisecond)
		for owner := range n.decided {
			n.down[owner] = true
		}
		Expect(admitted()).To(BeNumerically("<=", 2))
	})

	// Guards against a gate at each instance during an upgrade: an instance of an earlier build
	// is no owner, however many of them come first for a server.
	It("have one gate for each server while most instances run a build without gates", func() {
		n, list := newNetwork(9)
		for i := range 6 {
			n.earlier[fmt.Sprintf("m%d", i)] = true
		}
		for server := range 20 {
			admitted := 0
			for _, s := range list[6:] {
				s.Observe("api", 5, true)
				if _, _, ok := s.Admit(ctx, "api", fmt.Sprint("s", server)); ok {
					admitted++
				}
			}
			Expect(admitted).To(Equal(1))
		}
		Expect(n.decided).To(HaveKey("m6"))
		Expect(n.decided).NotTo(HaveKey("m0"))
	})

	// Guards against a server that idles while requests wait to ask again.
	It("admit a request that waits at a gate as soon as another one ends", func() {
		clock := clockwork.NewFakeClock()
		s := sparer.New("m0", []string{"m0"}, nil, clock, zap.NewNop())
		s.Observe("api", 5, true)
		admit := func() *sparer.Pass {
			clock.Advance(20 * time.Millisecond)
			pass, _, ok := s.Admit(ctx, "api", "s1")
			Expect(ok).To(BeTrue())
			return pass
		}
		admit().End(false)
		admit().End(true) // the limit is one from now on
		running := admit()
		clock.Advance(20 * time.Millisecond)
		admitted := make(chan bool, 1)
		go func() {
			_, _, ok := s.Admit(ctx, "api", "s1")
			admitted <- ok
		}()
		Expect(clock.BlockUntilContext(ctx, 1)).To(Succeed())
		Expect(admitted).NotTo(Receive())
		running.End(false)
		Eventually(admitted, "5s").Should(Receive(BeTrue()))
	})

	It("keep a server's refusals to their share when they reach no other instance", func() {
		n, list := newNetwork(10)
		for name := range n.sparers {
			n.down[name] = true
		}
		refused := 0
		for begin := time.Now(); time.Since(begin) < time.Second; time.Sleep(10 * time.Millisecond) {
			for _, s := range list {
				s.Observe("api", 20, true)
				if pass, _, ok := s.Admit(ctx, "api", "s1"); ok {
					refused++
					pass.End(true)
				}
			}
		}
		Expect(refused).To(BeNumerically("<=", 20))
	})
})
