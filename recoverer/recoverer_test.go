package recoverer_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"primrosehook/judge"
	"primrosehook/messenger"
	"primrosehook/recoverer"
)

func fail() { panic("fault of a handler") }

var _ = Describe("Recoverer", func() {
	var (
		clock *clockwork.FakeClock
		lines *observer.ObservedLogs
		log   *zap.Logger
	)
	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		var core zapcore.Core
		core, lines = observer.New(zapcore.InfoLevel)
		log = zap.New(core)
	})

	It("logs the stack of a panic, counts it and goes on", func() {
		r := recoverer.New(clock, log, nil)
		Expect(r.Call("pin", fail)).To(BeFalse())
		Expect(r.Call("pin", func() {})).To(BeTrue())
		Expect(r.Count()).To(BeEquivalentTo(1))
		Expect(lines.All()[0].ContextMap()).To(And(HaveKeyWithValue("cause", "fault of a handler"), HaveKeyWithValue("in", "pin"), HaveKeyWithValue("stack", ContainSubstring("recoverer_test.fail"))))
	})

	It("ends only the connection of a request", func() {
		r := recoverer.New(clock, log, nil)
		s := httptest.NewServer(r.Handler(http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) {
			if q.URL.Path == "/fault" {
				fail()
			}
		})))
		DeferCleanup(s.Close)
		_, err := http.Get(s.URL + "/fault")
		Expect(err).To(HaveOccurred())
		a, err := http.Get(s.URL)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Body.Close()).To(Succeed())
		Expect(r.Count()).To(BeEquivalentTo(1))
	})

	// Guards against a peer's message that ends the process.
	It("refuses a message whose handler panics as one that may have run", func(ctx context.Context) {
		r := recoverer.New(clock, log, nil)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		s := messenger.NewServer(log, messenger.WithGuard(r.Call))
		s.Handle("pin", func(context.Context, msgpack.RawMessage) (any, error) {
			fail()
			return nil, nil
		})
		go func() { _ = s.Serve(ctx, l) }()
		peers := messenger.NewClient(clockwork.NewRealClock())
		for range 2 {
			err = peers.Call(ctx, l.Addr().String(), "pin", "body", nil)
			Expect(judge.As(err).Verdict).To(Equal(judge.MayHaveRun))
			Expect(err).To(MatchError(ContainSubstring("not handled to its end")))
		}
		Expect(r.Count()).To(BeEquivalentTo(2))
	})

	// Guards against an instance that hangs for good at a lock that a panic has left held.
	It("gives the process up if a lock stays held", func(ctx context.Context) {
		var mu sync.Mutex
		r := recoverer.New(clock, log, func() {
			mu.Lock()
			defer mu.Unlock()
		})
		r.Call("pin", fail)
		Consistently(r.Stuck(), "50ms").ShouldNot(Receive())
		r.Call("pin", func() {
			mu.Lock()
			fail()
		})
		Expect(clock.BlockUntilContext(ctx, 1)).To(Succeed())
		clock.Advance(2 * time.Second)
		Eventually(r.Stuck()).Should(Receive(MatchError(ContainSubstring("a lock stays held"))))
		mu.Unlock()
	})
})
