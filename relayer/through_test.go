package relayer_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/relayer"
	"primrosehook/reserver"
)

var _ = Describe("Answers for which there is no memory", func() {
	const size = 8 << 20
	var (
		memory *reserver.Reserver
		meter  *sumMeter
	)
	BeforeEach(func() {
		memory, meter = reserver.New(20<<20), &sumMeter{} // 3 MiB for answers
	})
	// large answers with size bytes, small ones to requests for /read/small.
	large := func(declared bool) handler {
		body := strings.Repeat("x", size)
		return func(w http.ResponseWriter, q *http.Request) {
			part := body
			if q.URL.Path == "/read/small" {
				part = body[:300<<10]
			}
			if declared {
				w.Header().Set("Content-Length", strconv.Itoa(len(part)))
			}
			signedAnswer(part)(w, q)
		}
	}
	start := func(h ...handler) *fixture {
		return startRelayerWith(newGuard(), h, relayer.WithMemory(memory), relayer.WithMeter(meter), relayer.WithSlowClientTimeout(10*time.Second))
	}
	// ask requests an answer and does not read it.
	ask := func(w *fixture) net.Conn {
		c, err := net.Dial("tcp", w.proxy.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		_, err = fmt.Fprint(c, "GET /read/1 HTTP/1.1\r\nHost: h\r\nId: a\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		return c
	}
	// fill holds all memory of answers until the end of the test.
	fill := func() {
		older, _ := memory.Acquire(reserver.Answer, 0)
		older.GrowInTurn(3 << 20)
		DeferCleanup(older.Release)
	}

	// The load: 20 clients that request answers of 8 MiB and don't read them. Guards against answers
	// that are all held once they have waited: 160 MiB.
	DescribeTable("exceed it by one answer at most while their clients don't read", func(declared bool) {
		w := start(large(declared))
		for range 20 {
			ask(w)
		}
		held := func() int64 { return memory.Held(reserver.Answer) + memory.Held(reserver.Stream) }
		// One answer whose buffer is doubled, the first 64 KiB and the buffers of the others.
		Consistently(held, "3s", "5ms").Should(BeNumerically("<", 3*size+20*(64<<10+32<<10)))
		Expect(meter.sum(relayer.MetricPassedThrough)).To(BeNumerically(">=", 15))
		status, body, err := w.send(http.MethodGet, "/read/small", "")
		Expect([]any{status, len(body), err}).To(Equal([]any{200, 300 << 10, nil}))
	}, Entry("declared", true), Entry("chunked", false))

	// The load: one client that does not read an answer of 8 MiB while others request answers of 300 KiB.
	// Guards against memory that it holds for 30 s while they wait.
	It("end the connection of a client that does not read its own", func() {
		w := start(large(true))
		ask(w)
		Eventually(func() int64 { return memory.Held(reserver.Answer) }, "5s").Should(BeEquivalentTo(size))
		Eventually(func() int64 {
			status, body, err := w.send(http.MethodGet, "/read/small", "")
			Expect([]any{status, len(body), err}).To(Equal([]any{200, 300 << 10, nil}))
			return memory.Held(reserver.Answer)
		}, "15s").Should(BeNumerically("<", size))
		Eventually(func() int { return w.logs.FilterMessage("relay: slow client").Len() }).Should(Equal(1))
		Expect(meter.sum(relayer.MetricFailed)).To(BeZero())
	})

	// The load: a client that reads an answer of 8 MiB at 128 KiB/s, so that writes to it wait for longer
	// than 3 s, while others request answers. Guards against taking it for one that does not read.
	It("keep the connection of a client that reads its own slowly", func() {
		w := start(large(true))
		c := ask(w)
		Eventually(func() int64 { return memory.Held(reserver.Answer) }, "5s").Should(BeEquivalentTo(size))
		total := 0
		for range 16 {
			n, err := io.ReadFull(c, make([]byte, 64<<10))
			Expect(err).NotTo(HaveOccurred())
			total += n
			status, _, err := w.send(http.MethodGet, "/read/small", "")
			Expect([]any{status, err}).To(Equal([]any{200, nil}))
		}
		Expect(w.logs.FilterMessage("relay: slow client").Len()).To(BeZero())
		n, err := io.CopyN(io.Discard, c, int64(size-total))
		Expect([]any{n, err}).To(Equal([]any{int64(size - total), nil}))
	})

	// Guards against an answer that is cut off at its request's deadline since its client took until
	// then to read what it could only be sent bit by bit.
	DescribeTable("reach a client whole that takes longer than the request's time limit", func(declared bool) {
		w := start(large(declared))
		fill()
		q, err := http.NewRequest(http.MethodGet, w.proxy.URL+"/read/1", nil)
		Expect(err).NotTo(HaveOccurred())
		q.Host = "h"
		q.Header.Set("Id", "a")
		p, err := http.DefaultClient.Do(q)
		Expect(err).NotTo(HaveOccurred())
		defer p.Body.Close()
		time.Sleep(2500 * time.Millisecond)
		body, err := io.ReadAll(p.Body)
		Expect([]any{len(body), err}).To(Equal([]any{size, nil}))
		Expect(meter.sum(relayer.MetricPassedThrough)).To(Equal(int64(1)))
	}, Entry("declared", true), Entry("chunked", false))

	// Guards against a truncated answer that looks complete, and against a request that is repeated
	// although its client has the beginning of an answer.
	DescribeTable("don't look complete when the server breaks off", func(declared bool) {
		broken := func(w http.ResponseWriter, q *http.Request) {
			if declared {
				w.Header().Set("Content-Length", strconv.Itoa(size))
			}
			signedAnswer(strings.Repeat("x", size/2))(w, q)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		w := start(broken, broken)
		fill()
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		q, err := http.NewRequestWithContext(ctx, http.MethodGet, w.proxy.URL+"/read/1", nil)
		Expect(err).NotTo(HaveOccurred())
		q.Host = "h"
		q.Header.Set("Id", "a")
		p, err := http.DefaultClient.Do(q)
		Expect(err).NotTo(HaveOccurred())
		defer p.Body.Close()
		_, err = io.ReadAll(p.Body)
		Expect(err).To(HaveOccurred())
		Expect(ctx.Err()).NotTo(HaveOccurred(), "the connection stays open")
		Expect(w.attemptCount()).To(Equal(1))
		Expect(meter.sum(relayer.MetricFailed)).To(Equal(int64(1)))
		Expect(meter.sum(relayer.MetricSlowClient)).To(BeZero())
	}, Entry("declared", true), Entry("chunked", false))
})
