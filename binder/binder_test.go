package binder_test

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"primrosehook/binder"
)

// result is what Open returned.
type result struct {
	Open []net.Listener
	Err  error
}

var _ = Describe("Binder", func() {
	var (
		taken   net.Listener
		clock   *clockwork.FakeClock
		lines   *observer.ObservedLogs
		b       *binder.Binder
		results chan result
	)
	BeforeEach(func() {
		var err error
		taken, err = net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = taken.Close() })
		clock = clockwork.NewFakeClock()
		var core zapcore.Core
		core, lines = observer.New(zapcore.InfoLevel)
		b = binder.New(clock, zap.New(core))
		results = make(chan result, 1)
	})
	open := func(ctx context.Context, address string) {
		go func() {
			l, err := b.Open(ctx, binder.Address{Name: "checks", Address: "127.0.0.1:0"}, binder.Address{Name: "clients", Address: address})
			results <- result{l, err}
		}()
		Expect(clock.BlockUntilContext(ctx, 1)).To(Succeed())
	}

	It("waits for a port that is taken, and logs the reason once", func(ctx context.Context) {
		open(ctx, taken.Addr().String())
		for range 5 {
			clock.Advance(time.Second)
			Expect(clock.BlockUntilContext(ctx, 1)).To(Succeed())
		}
		Expect(taken.Close()).To(Succeed())
		clock.Advance(time.Second)
		var r result
		Eventually(results).Should(Receive(&r))
		Expect(r.Err).NotTo(HaveOccurred())
		Expect(r.Open).To(HaveLen(2))
		Expect(r.Open[1].Addr().String()).To(Equal(taken.Addr().String()))
		Expect(lines.Len()).To(Equal(2))
		Expect(lines.All()[0].ContextMap()).To(HaveKeyWithValue("error", ContainSubstring("address already in use")))
		for _, l := range r.Open {
			Expect(l.Close()).To(Succeed())
		}
	})

	It("gives up after its patience", func(ctx context.Context) {
		open(ctx, "192.0.2.1:7000")
		clock.Advance(binder.Patience)
		var r result
		Eventually(results).Should(Receive(&r))
		Expect(r.Err).To(MatchError(syscall.EADDRNOTAVAIL))
		Expect(r.Open).To(BeEmpty())
	})

	It("ends with its context", func(ctx context.Context) {
		ctx, cancel := context.WithCancel(ctx)
		open(ctx, taken.Addr().String())
		cancel()
		Eventually(results).Should(Receive(HaveField("Err", MatchError(context.Canceled))))
	})

	It("does not wait for an address that can never be opened", func(ctx context.Context) {
		_, err := b.Open(ctx, binder.Address{Name: "clients", Address: "127.0.0.1:99999"})
		Expect(err).To(MatchError(ContainSubstring("listen for clients")))
	})
})
