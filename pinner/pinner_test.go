package pinner_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"primrosehook/framer"
	"primrosehook/pinner"
)

// network carries messages between pinners.
type network struct {
	mu      sync.Mutex
	pinners map[string]*pinner.Pinner
	down    map[string]bool
	bytes   int
}

// from is a sender on the network.
type from struct {
	*network
	name string
}

func (f from) Call(_ context.Context, address, kind string, request, reply any) error {
	f.mu.Lock()
	to, down := f.pinners[address], f.down[address] || f.down[f.name]
	f.bytes += frameBytes(kind, request)
	f.mu.Unlock()
	if down || to == nil {
		return errors.New("connection refused")
	}
	switch q := request.(type) {
	case pinner.PinRequest:
		to.Merge(q)
		f.count("reply", true)
	case pinner.FindRequest:
		r := to.Lookup(q)
		*reply.(*pinner.FindReply) = r
		f.count("reply", r)
	}
	return nil
}

func (f from) count(kind string, body any) {
	f.mu.Lock()
	f.bytes += frameBytes(kind, body)
	f.mu.Unlock()
}

// frameBytes returns the size of a frame with a body.
func frameBytes(kind string, body any) int {
	data, err := msgpack.Marshal(body)
	if err != nil {
		panic(err)
	}
	frame, err := framer.Encode(framer.Message{ID: 1 << 20, Kind: kind, Body: data})
	if err != nil {
		panic(err)
	}
	return len(frame)
}

func newNetwork(members int) (*network, []*pinner.Pinner) {
	n := &network{pinners: map[string]*pinner.Pinner{}, down: map[string]bool{}}
	var names []string
	for i := range members {
		names = append(names, fmt.Sprintf("10.0.0.%d:8144", i))
	}
	var list []*pinner.Pinner
	for _, name := range names {
		p := pinner.New(name, names, from{n, name}, clockwork.NewRealClock(), zap.NewNop())
		n.pinners[name] = p
		list = append(list, p)
	}
	return n, list
}

var _ = Describe("A table of pins", func() {
	now := time.Unix(1000, 0)
	a, b := &pinner.Software{Service: "s", Build: "a"}, &pinner.Software{Service: "s", Build: "b"}

	It("forgets pins after their time", func() {
		t := pinner.NewTable()
		Expect(t.Put(now, 1, a, 0)).To(BeTrue())
		_, _, known, sure := t.Get(now.Add(89*time.Second), 1)
		Expect([]bool{known, sure}).To(Equal([]bool{true, true}))
		_, _, known, _ = t.Get(now.Add(90*time.Second), 1)
		Expect(known).To(BeFalse())
		Expect(t.Len()).To(BeZero())
	})

	// Guards against joining the streams of two requests with the same ID.
	It("knows no build of a stream that is pinned to two", func() {
		t := pinner.NewTable()
		t.Put(now, 1, a, 0)
		Expect(t.Put(now, 1, b, 0)).To(BeTrue())
		_, _, known, sure := t.Get(now, 1)
		Expect([]bool{known, sure}).To(Equal([]bool{true, false}))
		Expect(t.Put(now, 1, a, 0)).To(BeFalse())
	})

	It("replaces an origin known from a registration by one that is known for certain", func() {
		t := pinner.NewTable()
		t.Put(now, 1, a, 7)
		t.Put(now, 1, a, 0)
		o, _, _, sure := t.Get(now, 1)
		Expect(sure).To(BeTrue())
		Expect(o).To(Equal(pinner.Origin{Software: *a}))
	})

	It("is bounded", func() {
		t := pinner.NewTable()
		for i := range uint64(1<<16 + 100) {
			t.Put(now, i, a, 0)
		}
		t.Put(now, 1<<40, a, 0)
		Expect(t.Len()).To(BeNumerically("<=", 1<<16+1))
	})
})

var _ = Describe("Pinners of several instances", func() {
	origin := pinner.Origin{Software: pinner.Software{Service: "s", Build: "a"}}

	It("find a stream's origin with the instance that began it and others down", func() {
		n, list := newNetwork(6)
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		go list[0].Run(ctx)
		list[0].Pin("q", origin)
		time.Sleep(100 * time.Millisecond)
		for i := range 3 {
			n.mu.Lock()
			n.down[fmt.Sprintf("10.0.0.%d:8144", i)] = true
			n.mu.Unlock()
		}
		for _, p := range list[3:] {
			o, _, ok := p.Find(ctx, "q")
			Expect(ok).To(BeTrue())
			Expect(o).To(Equal(origin))
		}
	})

	It("send pins to other peers when some do not take them", func() {
		n, list := newNetwork(6)
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		for i := 1; i < 5; i++ {
			n.down[fmt.Sprintf("10.0.0.%d:8144", i)] = true
		}
		go list[0].Run(ctx)
		list[0].Pin("q", origin)
		Eventually(func() bool { return list[5].Lookup(pinner.FindRequest{ID: xxhash.Sum64String("q")}).Known }, "1s").Should(BeTrue())
	})

	It("know nothing of other requests, and hand over what they know", func() {
		n, list := newNetwork(6)
		list[0].Pin("q", origin)
		list[0].HandOver(context.Background())
		n.down["10.0.0.0:8144"] = true
		_, _, ok := list[1].Find(context.Background(), "other")
		Expect(ok).To(BeFalse())
		_, _, ok = list[1].Find(context.Background(), "q")
		Expect(ok).To(BeTrue())
	})
})

// BenchmarkPin reports the bytes of all messages, both ways, for a stream that is begun at
// the rate of one instance, and for one that is taken up again.
func BenchmarkPin(b *testing.B) {
	const members, perSecond = 390, 59
	n, list := newNetwork(members)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go list[0].Run(ctx)
	for i := range b.N {
		list[0].Pin(fmt.Sprintf("9c41d07be2a3%x", i), pinner.Origin{Software: pinner.Software{Service: "assist-llm", Build: "v1.1"}, Process: 1<<63 + uint64(i%383)})
		time.Sleep(time.Second / perSecond)
	}
	time.Sleep(100 * time.Millisecond)
	n.mu.Lock()
	pinned := n.bytes
	n.bytes = 0
	n.mu.Unlock()
	list[1].Find(ctx, "unknown")
	b.ReportMetric(float64(pinned)/float64(b.N), "B/stream")
	b.ReportMetric(float64(n.bytes), "B/search")
}
