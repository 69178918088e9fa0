package sequencer_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"primrosehook/judge"
	"primrosehook/sequencer"
)

// mesh passes messages between sequencers. Those with different groups do not reach each
// other.
type mesh struct {
	mu        sync.Mutex
	instances map[string]*sequencer.Sequencer
	groups    map[string]int
	// earlier are the instances of a build that does not know the messages.
	earlier map[string]bool
	// calls counts the calls.
	calls int
}

// port is the mesh as one instance sees it.
type port struct {
	mesh *mesh
	self string
}

// Call implements sequencer.Peers.
func (p port) Call(_ context.Context, address, _ string, request, reply any) error {
	p.mesh.mu.Lock()
	p.mesh.calls++
	s, reached := p.mesh.instances[address], p.mesh.groups[address] == p.mesh.groups[p.self]
	earlier := p.mesh.earlier[address]
	p.mesh.mu.Unlock()
	if earlier {
		return &judge.Refusal{Verdict: judge.NotRun, Code: "kind", Reason: "peer does not know this message"}
	}
	if !reached {
		return eris.New("cut")
	}
	switch q := request.(type) {
	case sequencer.TakeRequest:
		*reply.(*sequencer.TakeReply) = s.Take(q)
	case sequencer.EndRequest:
		s.End(q)
	}
	return nil
}

// newMesh returns instances that know each other.
func newMesh(clock clockwork.Clock, count int) (*mesh, []*sequencer.Sequencer) {
	m := &mesh{instances: map[string]*sequencer.Sequencer{}, groups: map[string]int{}, earlier: map[string]bool{}}
	var names []string
	for i := range count {
		names = append(names, fmt.Sprint("i", i))
	}
	var list []*sequencer.Sequencer
	for _, name := range names {
		s := sequencer.New(name, names, port{m, name}, clock, zap.NewNop())
		m.instances[name] = s
		list = append(list, s)
	}
	return m, list
}

var _ = Describe("Sequencer", func() {
	ctx := context.Background()

	// Guards against several requests like one that crashes servers at the same time, sent by
	// instances whose first owners run an earlier build.
	It("gives one turn of a key while most instances run a build without turns", func() {
		m, list := newMesh(clockwork.NewFakeClock(), 9)
		for i := range 6 {
			m.earlier[fmt.Sprint("i", i)] = true
		}
		for key := range uint64(20) {
			taken := 0
			for _, s := range list[6:] {
				if _, _, ok := s.Acquire(ctx, key); ok {
					taken++
				}
			}
			Expect(taken).To(Equal(1))
		}
	})

	It("gives the turn of a key to one request at a time, whichever instance asks", func() {
		clock := clockwork.NewFakeClock()
		_, list := newMesh(clock, 6)
		for key := range uint64(20) {
			turn, _, ok := list[key%6].Acquire(ctx, key)
			Expect(ok).To(BeTrue())
			for _, s := range list {
				_, wait, ok := s.Acquire(ctx, key)
				Expect(ok).To(BeFalse())
				Expect(wait).To(BeNumerically(">", 0))
			}
			turn.End(false)
			Eventually(func() bool { _, _, ok := list[0].Acquire(ctx, key); return ok }).Should(BeTrue())
		}
	})

	// Guards against the next send before instances know that the last one crashed its
	// server.
	It("pauses after a turn that broke off", func() {
		clock := clockwork.NewFakeClock()
		_, list := newMesh(clock, 1)
		turn, _, _ := list[0].Acquire(ctx, 1)
		turn.End(true)
		turn.End(false)
		clock.Advance(900 * time.Millisecond)
		_, _, ok := list[0].Acquire(ctx, 1)
		Expect(ok).To(BeFalse())
		clock.Advance(200 * time.Millisecond)
		_, _, ok = list[0].Acquire(ctx, 1)
		Expect(ok).To(BeTrue())
	})

	It("ends a turn of which no end is reported", func() {
		clock := clockwork.NewFakeClock()
		_, list := newMesh(clock, 1)
		_, _, _ = list[0].Acquire(ctx, 1)
		clock.Advance(4 * time.Second)
		_, _, ok := list[0].Acquire(ctx, 1)
		Expect(ok).To(BeTrue())
	})

	// Guards against refusing all suspects in a partition, and against asking instances again
	// and again that do not reply.
	It("has one turn for each part of a partition", func() {
		clock := clockwork.NewFakeClock()
		m, list := newMesh(clock, 6)
		for i := range 4 {
			m.groups[fmt.Sprint("i", i)] = 10 + i
		}
		for key := range uint64(50) {
			_, _, ok := list[4].Acquire(ctx, key)
			Expect(ok).To(BeTrue())
		}
		Expect(m.calls).To(BeNumerically("<=", 50+4))
		given := 0
		for key := range uint64(50) {
			if _, _, ok := list[5].Acquire(ctx, key); ok {
				given++
			}
		}
		// Until instance 5 has found out that the others do not reply, it may choose other owners.
		Expect(given).To(BeNumerically("<=", 4))
	})
})
