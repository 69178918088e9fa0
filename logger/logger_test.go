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

type safe struct {
	mu sync.Mutex
	bytes.Buffer
}

func (s *safe) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Buffer.Write(b)
}

func (s *safe) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.String()
}

var _ = Describe("Writer", func() {
	It("writes lines in order and all of them at the end", func() {
		out := &safe{}
		w := logger.NewWriter(out, clockwork.NewRealClock())
		go w.Run()
		log := logger.New(w, zapcore.InfoLevel)
		log.Info("relay: first", zap.String("request", "q"))
		log.Info("relay: second")
		w.Close(context.Background())
		Expect(out.text()).To(MatchRegexp(`(?s)relay: first.*"request":"q".*relay: second`))
	})

	It("never holds up who logs, though nobody reads, and counts what it drops", func() {
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

	It("keeps to its rate and tells how many lines it dropped", func() {
		out := &safe{}
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
