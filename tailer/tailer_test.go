package tailer_test

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"primrosehook/tailer"
)

type source struct {
	mu      sync.Mutex
	newest  []tailer.Record
	next    int64
	pending []tailer.Record
	err     error
	calls   int
	// trimmed makes each Read fail with ErrTrimmed. onNewest is called by Newest.
	trimmed  bool
	onNewest func()
}

func (s *source) Newest(context.Context) ([]tailer.Record, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.err != nil && !errors.Is(s.err, tailer.ErrTrimmed) {
		return nil, 0, s.err
	}
	s.err = nil
	if s.onNewest != nil {
		s.onNewest()
	}
	return s.newest, s.next, nil
}

func (s *source) Read(_ context.Context, from int64, _ time.Duration) ([]tailer.Record, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.trimmed {
		return nil, from, tailer.ErrTrimmed
	}
	if s.err != nil {
		return nil, from, s.err
	}
	list := s.pending
	s.pending = nil
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
	fulls   int
	applied [][]tailer.Record
}

func (k *sink) Full(list []tailer.Record, _ int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.fulls++
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
	return k.fulls, len(k.applied)
}

var _ = Describe("Tailer", func() {
	var (
		src   *source
		dst   *sink
		clock *clockwork.FakeClock
		t     *tailer.Tailer
	)
	BeforeEach(func() {
		src = &source{newest: []tailer.Record{{Offset: 4, Key: "a", Value: []byte("1")}}, next: 5}
		dst = &sink{}
		clock = clockwork.NewFakeClock()
		t = tailer.New("test", src, dst, clock, zap.NewNop(), tailer.WithFeedTTL(func() time.Duration { return 800 * time.Millisecond }),
			tailer.WithInterval(func() time.Duration { return 500 * time.Millisecond }))
	})
	start := func() {
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); t.Run(ctx) }()
		DeferCleanup(func() { cancel(); <-done })
		Expect(clock.BlockUntilContext(context.Background(), 1)).To(Succeed())
	}
	advance := func(d time.Duration) {
		clock.Advance(d)
		Expect(clock.BlockUntilContext(context.Background(), 1)).To(Succeed())
	}

	It("reads the newest records, then new ones", func() {
		start()
		Expect(t.Next()).To(BeEquivalentTo(5))
		src.set(func() { src.pending = []tailer.Record{{Offset: 5, Key: "b"}} })
		advance(500 * time.Millisecond)
		Expect(t.Next()).To(BeEquivalentTo(6))
		full, all := dst.counts()
		Expect([]int{full, all}).To(Equal([]int{1, 2}))
	})

	It("reads the newest records again after records were deleted", func() {
		start()
		src.set(func() { src.err, src.next = tailer.ErrTrimmed, 90 })
		advance(500 * time.Millisecond)
		Eventually(t.Next).Should(BeEquivalentTo(90))
	})

	It("continues after the store was unavailable", func() {
		start()
		src.set(func() { src.err = errors.New("down") })
		advance(500 * time.Millisecond)
		src.set(func() { src.err = nil })
		src.set(func() { src.pending = []tailer.Record{{Offset: 5, Key: "b"}} })
		advance(time.Second)
		Eventually(t.Next).Should(BeEquivalentTo(6))
	})

	// Guards against overloading an unavailable store: hundreds of instances retry at
	// the same time.
	It("retries an unavailable store at the longest interval that WithMaxRetryInterval sets", func() {
		t = tailer.New("test", src, dst, clock, zap.NewNop(), tailer.WithMaxRetryInterval(func() time.Duration { return 8 * time.Second }))
		src.set(func() { src.err = errors.New("down") })
		start()
		for range 100 {
			advance(200 * time.Millisecond)
		}
		Expect(src.count()).To(BeNumerically("<=", 10))
	})

	It("does not read while a peer feeds it, and reads again when the peer stops", func() {
		start()
		before := src.count()
		for range 5 {
			t.Feed(nil, 5, true)
			advance(500 * time.Millisecond)
		}
		Expect(src.count()).To(BeNumerically("<=", before+1))
		advance(time.Second)
		advance(time.Second)
		Expect(src.count()).To(BeNumerically(">", before+1))
	})

	It("calls the sink for a fresh feed without records, but not for a stale one", func() {
		start()
		_, before := dst.counts()
		t.Feed(nil, 5, true)
		_, after := dst.counts()
		Expect(after).To(Equal(before + 1))
		t.Feed(nil, 5, false)
		_, after = dst.counts()
		Expect(after).To(Equal(before + 1))
	})

	It("does not go back to an earlier offset that a peer feeds", func() {
		start()
		t.Feed([]tailer.Record{{Offset: 6, Key: "b"}}, 7, true)
		t.Feed([]tailer.Record{{Offset: 5, Key: "b"}}, 6, true)
		Expect(t.Next()).To(BeEquivalentTo(7))
	})

	// Guards against calling the store without a pause, by all instances.
	It("pauses if records are deleted before each read", func() {
		t = tailer.New("test", src, dst, clock, zap.NewNop())
		src.trimmed = true
		start()
		for range 100 {
			advance(200 * time.Millisecond)
		}
		Expect(src.count()).To(BeNumerically("<=", 70))
		fulls, _ := dst.counts()
		Expect(fulls).To(BeNumerically(">=", 20))
	})

	// Guards against an old answer of the store that makes an instance report an era that has
	// ended, and be fed all records again.
	It("does not go back if a peer feeds it during a read of the newest records", func() {
		src.onNewest = func() { t.Feed(nil, tailer.Position(1, 2), false) }
		start()
		Expect(t.Next()).To(Equal(tailer.Position(1, 2)))
	})

	// Guards against keeping what the records that a peer passes on no longer have, and against a
	// peer that is behind.
	It("replaces all that it has by a peer's whole stream, and only by a newer one", func() {
		start()
		before, _ := dst.counts()
		next := t.Next()
		t.FeedWhole([]tailer.Record{{Offset: 0, Key: "a"}}, next, false)
		fulls, _ := dst.counts()
		Expect(fulls).To(Equal(before))
		t.FeedWhole([]tailer.Record{{Offset: 0, Key: "a"}}, next+1, false)
		fulls, _ = dst.counts()
		Expect(fulls).To(Equal(before + 1))
		Expect(t.Next()).To(Equal(next + 1))
	})

	Describe("whose sink lacks what it must have", func() {
		var complete atomic.Bool
		BeforeEach(func() {
			complete.Store(false)
			src.newest, src.next = nil, 0
			t = tailer.New("test", src, dst, clock, zap.NewNop(), tailer.WithFeedTTL(func() time.Duration { return time.Hour }),
				tailer.WithInterval(func() time.Duration { return 500 * time.Millisecond }), tailer.WithMaxRetryInterval(func() time.Duration { return 2 * time.Second }),
				tailer.WithComplete(complete.Load))
		})

		// Guards against skipping the first record since a peer without records names a position
		// after it.
		It("takes no position from a peer", func() {
			t.Feed(nil, 1, true)
			Expect(t.Next()).To(BeNumerically("<", 0))
			complete.Store(true)
			t.Feed(nil, 1, true)
			Expect(t.Next()).To(BeEquivalentTo(1))
		})

		// Guards against waiting for new records for good although the newest ones suffice.
		It("reads the newest records again", func() {
			start()
			src.set(func() { src.newest, src.next = []tailer.Record{{Offset: 0, Key: "a"}}, 1 })
			advance(500 * time.Millisecond)
			advance(500 * time.Millisecond)
			Eventually(t.Next).Should(BeEquivalentTo(1))
		})

		// Guards against relying on a peer that reads the store and lacks the same, and against
		// calls to the store by all instances of a large fleet as if none were fed.
		It("reads the store beside a peer's feed, at the longest pause", func() {
			start()
			t.Feed(nil, 0, true)
			before := src.count()
			for range 100 {
				advance(200 * time.Millisecond)
				t.Feed(nil, 0, true)
			}
			Expect(src.count() - before).To(And(BeNumerically(">=", 6), BeNumerically("<=", 20)))
		})
	})
})
