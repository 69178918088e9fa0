package tailer_test

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"primrosehook/tailer"
)

type source struct {
	mu     sync.Mutex
	newest []tailer.Record
	next   int64
	more   []tailer.Record
	err    error
	calls  int
}

func (s *source) Newest(context.Context) ([]tailer.Record, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.err != nil && !errors.Is(s.err, tailer.ErrTrimmed) {
		return nil, 0, s.err
	}
	s.err = nil
	return s.newest, s.next, nil
}

func (s *source) Read(_ context.Context, from int64, _ time.Duration) ([]tailer.Record, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.err != nil {
		return nil, from, s.err
	}
	list := s.more
	s.more = nil
	return list, from + int64(len(list)), nil
}

func (s *source) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *source) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

type sink struct {
	mu      sync.Mutex
	full    int
	applied [][]tailer.Record
}

func (k *sink) Full(list []tailer.Record, _ int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.full++
	k.applied = append(k.applied, list)
}

func (k *sink) Apply(list []tailer.Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.applied = append(k.applied, list)
}

func (k *sink) counts() (int, int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.full, len(k.applied)
}

var _ = Describe("Tailer", func() {
	var (
		from  *source
		to    *sink
		clock *clockwork.FakeClock
		t     *tailer.Tailer
	)
	BeforeEach(func() {
		from = &source{newest: []tailer.Record{{Offset: 4, Key: "a", Value: []byte("1")}}, next: 5}
		to = &sink{}
		clock = clockwork.NewFakeClock()
		t = tailer.New("test", from, to, clock, zap.NewNop(), tailer.WithRelief(800*time.Millisecond),
			tailer.WithPace(func() time.Duration { return 500 * time.Millisecond }))
	})
	start := func() {
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); t.Run(ctx) }()
		DeferCleanup(func() { cancel(); <-done })
		Expect(clock.BlockUntilContext(context.Background(), 1)).To(Succeed())
	}
	pass := func(d time.Duration) {
		clock.Advance(d)
		Expect(clock.BlockUntilContext(context.Background(), 1)).To(Succeed())
	}

	It("takes the newest records, then what is new", func() {
		start()
		Expect(t.Next()).To(BeEquivalentTo(5))
		from.set(func() { from.more = []tailer.Record{{Offset: 5, Key: "b"}} })
		pass(500 * time.Millisecond)
		Expect(t.Next()).To(BeEquivalentTo(6))
		full, all := to.counts()
		Expect([]int{full, all}).To(Equal([]int{1, 2}))
	})

	It("reads anew after the history is gone", func() {
		start()
		from.set(func() { from.err, from.next = tailer.ErrTrimmed, 90 })
		pass(500 * time.Millisecond)
		Eventually(t.Next).Should(BeEquivalentTo(90))
	})

	It("goes on after the store was away", func() {
		start()
		from.set(func() { from.err = errors.New("down") })
		pass(500 * time.Millisecond)
		from.set(func() { from.err = nil })
		from.set(func() { from.more = []tailer.Record{{Offset: 5, Key: "b"}} })
		pass(time.Second)
		Eventually(t.Next).Should(BeEquivalentTo(6))
	})

	// Load: the store is away, and hundreds of instances try again.
	It("asks how long it may pause when a large fleet finds the store away", func() {
		t = tailer.New("test", from, to, clock, zap.NewNop(), tailer.WithRetry(func() time.Duration { return 8 * time.Second }))
		from.set(func() { from.err = errors.New("down") })
		start()
		for range 100 {
			pass(200 * time.Millisecond)
		}
		Expect(from.count()).To(BeNumerically("<=", 10))
	})

	It("does not read while a peer feeds it, and reads again when the peer stops", func() {
		start()
		before := from.count()
		for range 5 {
			t.Feed(nil, 5, true)
			pass(500 * time.Millisecond)
		}
		Expect(from.count()).To(BeNumerically("<=", before+1))
		pass(time.Second)
		pass(time.Second)
		Expect(from.count()).To(BeNumerically(">", before+1))
	})

	It("tells the sink of a fresh reading that found nothing, and not of a stale one", func() {
		start()
		_, before := to.counts()
		t.Feed(nil, 5, true)
		_, after := to.counts()
		Expect(after).To(Equal(before + 1))
		t.Feed(nil, 5, false)
		_, after = to.counts()
		Expect(after).To(Equal(before + 1))
	})

	It("does not go back to what a peer read earlier", func() {
		start()
		t.Feed([]tailer.Record{{Offset: 6, Key: "b"}}, 7, true)
		t.Feed([]tailer.Record{{Offset: 5, Key: "b"}}, 6, true)
		Expect(t.Next()).To(BeEquivalentTo(7))
	})
})
