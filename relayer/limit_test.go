package relayer_test

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/relayer"
)

// fixedThrottler lets no request through to the servers that name a limit.
type fixedThrottler struct {
	mu      sync.Mutex
	limited map[string]bool
}

func (f *fixedThrottler) Observe(incarnation string, _ float64, limited bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limited[incarnation] = limited
}

func (f *fixedThrottler) Limited(incarnation string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.limited[incarnation]
}

func (f *fixedThrottler) observed(incarnation string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, ok := f.limited[incarnation]
	return ok
}

// Acquire reports that the next request may be sent after 800 ms.
func (f *fixedThrottler) Acquire(_ context.Context, incarnation string) (time.Duration, bool) {
	return 800 * time.Millisecond, !f.Limited(incarnation)
}

// startRelayerThrottled is startRelayer with a throttler.
func startRelayerThrottled(t relayer.Throttler, handlers ...handler) *fixture {
	return startRelayerWith(newGuard(), handlers, relayer.WithThrottler(t))
}

func limitedAnswer(h handler) handler {
	return func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("Limit", "2")
		h(w, q)
	}
}

var _ = Describe("A request to a server at its rate limit", func() {
	var throttle *fixedThrottler
	BeforeEach(func() { throttle = &fixedThrottler{limited: map[string]bool{}} })

	DescribeTable("goes to another server", func(method, path string, answer handler) {
		w := startRelayerThrottled(throttle, limitedAnswer(answer), answer)
		for range 4 {
			code, _, err := w.send(method, path, "x")
			Expect([]any{code, err}).To(Equal([]any{200, nil}))
		}
		Expect(w.requestCounts[0].Load()).To(BeNumerically("<=", 1))
	},
		Entry("a read", "GET", "/read/1", signedAnswer("whole")),
		Entry("a write", "POST", "/write/1", signedAnswer("whole")),
		Entry("a stream", "POST", "/chat/1", streamEvents(2, 0)),
	)

	It("is refused at once if there is no other server", func() {
		w := startRelayerThrottled(throttle, limitedAnswer(signedAnswer("whole")))
		code, _, _ := w.send("GET", "/read/1", "")
		Expect(code).To(Equal(200))
		begin := time.Now()
		q, err := http.NewRequest(http.MethodGet, w.proxy.URL+"/read/1", nil)
		Expect(err).NotTo(HaveOccurred())
		q.Host = "h"
		q.Header.Set("Id", "q1")
		p, err := http.DefaultClient.Do(q)
		Expect(err).NotTo(HaveOccurred())
		Expect(p.Body.Close()).To(Succeed())
		Expect(p.StatusCode).To(Equal(503))
		Expect(time.Since(begin)).To(BeNumerically("<", 100*time.Millisecond))
		after, err := strconv.ParseFloat(p.Header.Get("Retry-After"), 64)
		Expect(err).NotTo(HaveOccurred())
		Expect(after).To(And(BeNumerically(">=", 0.5), BeNumerically("<", 1.1)), "the wait of 800 ms, jittered")
		Expect(w.attemptCount()).To(Equal(1))
	})

	It("is not sent there while its own server is silent", func() {
		throttle.Observe("s1", 2, true)
		w := startRelayerThrottled(throttle, delayedAnswer(1200*time.Millisecond, "late"), signedAnswer("whole"))
		code, body, err := w.send("GET", "/read/1", "")
		Expect([]any{code, body, err}).To(Equal([]any{200, "late", nil}))
		Expect(w.requestCounts[1].Load()).To(BeZero())
	})

	DescribeTable("learns the limit from answers of that server only", func(answer handler, observed bool) {
		w := startRelayerThrottled(throttle, answer)
		_, _, _ = w.send("GET", "/read/1", "")
		Expect(throttle.observed("s0")).To(Equal(observed))
	},
		Entry("a whole answer", limitedAnswer(signedAnswer("whole")), true),
		Entry("a refusal", limitedAnswer(statusOnly(503, "Refused")), true),
		Entry("an answer without a limit", signedAnswer("whole"), true),
		Entry("another server at the address", limitedAnswer(statusOnly(421)), false),
		Entry("a damaged answer without a limit", statusOnly(200), false),
	)
})
