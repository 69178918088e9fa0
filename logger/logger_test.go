package logger_test

import (
	"bytes"
	"context"
	"io"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"primrosehook/logger"
)

// safeBuffer is a buffer that is safe for concurrent use.
type safeBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (s *safeBuffer) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Buffer.Write(b)
}

func (s *safeBuffer) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.String()
}

var _ = Describe("Writer", func() {
	It("writes lines in order, and all queued lines on Close", func() {
		out := &safeBuffer{}
		w := logger.NewWriter(out, clockwork.NewRealClock())
		go w.Run()
		log := logger.New(w, zapcore.InfoLevel)
		log.Info("relay: first", zap.String("request", "q"))
		log.Info("relay: second")
		w.Close(context.Background())
		Expect(out.text()).To(MatchRegexp(`(?s)relay: first.*"request":"q".*relay: second`))
	})

	It("never blocks the caller while the output is stuck, and counts dropped lines", func() {
		r, out := io.Pipe()
		defer r.Close()
		clock := clockwork.NewFakeClock()
		w := logger.NewWriter(out, clock)
		go w.Run()
		log := logger.New(w, zapcore.InfoLevel)
		done := make(chan struct{})
		go func() {
			defer close(done)
			for range 5000 {
				log.Info("relay: line")
			}
		}()
		Eventually(done, 5*time.Second).Should(BeClosed())
		Expect(w.Dropped()).To(BeNumerically(">=", 5000-600))
	})

	It("limits the rate and reports the number of dropped lines", func() {
		out := &safeBuffer{}
		clock := clockwork.NewFakeClock()
		w := logger.NewWriter(out, clock)
		go w.Run()
		log := logger.New(w, zapcore.InfoLevel)
		for range 1000 {
			log.Info("relay: line")
		}
		Expect(clock.BlockUntilContext(context.Background(), 1)).To(Succeed())
		clock.Advance(time.Second)
		Eventually(out.text).Should(ContainSubstring(`log: lines were dropped","count":400`))
		w.Close(context.Background())
		Expect(bytes.Count([]byte(out.text()), []byte("relay: line"))).To(Equal(600))
	})
})
