package server_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/forwarder"
	"primrosehook/judge"
	"primrosehook/server"
)

// blockedWriter never finishes a write.
type blockedWriter struct{}

func (blockedWriter) Write(context.Context, server.Write) (forwarder.Answer, bool, error) { select {} }

// blockedJobs finds no job until its caller leaves.
type blockedJobs struct{ server.Jobs }

func (blockedJobs) Fetch(ctx context.Context, _ string) (server.JobState, error) {
	<-ctx.Done()
	return server.JobState{}, &judge.Refusal{Status: http.StatusNotFound, Code: "job", Reason: "unknown job"}
}

var _ = Describe("a planned stop", func() {
	const linger, drain = 200 * time.Millisecond, 1200 * time.Millisecond
	var b *harness
	var address string
	var stop context.CancelFunc
	var ended chan error
	BeforeEach(func() {
		b = newHarness(server.WithWriter(blockedWriter{}), server.WithJobs(blockedJobs{}))
		DeferCleanup(func() { b.close() })
		b.engines["e1"].firstTokenDelay, b.engines["e2"].firstTokenDelay = time.Minute, time.Minute
		b.services.handlers["k1"] = func(ctx context.Context, _ forwarder.Call) (forwarder.Answer, error) {
			<-ctx.Done()
			return forwarder.Answer{}, judge.Unknown("service", "no answer", ctx.Err())
		}
		b.services.handlers["k2"] = b.services.handlers["k1"]
		clients, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		operators, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		instance, result := b.server, make(chan error, 1)
		address, stop, ended = clients.Addr().String(), cancel, result
		go func() {
			result <- instance.Run(ctx, clients, operators, server.ShutdownOptions{Linger: linger, Drain: drain})
		}()
	})
	connect := func() net.Conn {
		c, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = c.Close() })
		return c
	}
	write := func(c net.Conn, method, path, body string, missing int) {
		_, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: h\r\nIdempotency-Key: k\r\nContent-Length: %d\r\n\r\n%s", method, path, len(body)+missing, body)
		Expect(err).NotTo(HaveOccurred())
	}
	read := func(c net.Conn) (*http.Response, string) {
		GinkgoHelper()
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		p, err := http.ReadResponse(bufio.NewReader(c), nil)
		Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(p.Body)
		Expect(err).NotTo(HaveOccurred())
		return p, string(body)
	}

	// Guards against connections that are closed at the end of the drain with no answer.
	DescribeTable("answers requests that last longer than the drain",
		func(method, path, body string, missing, status int, verdict string) {
			c := connect()
			write(c, method, path, body, missing)
			Eventually(b.server.OpenRequests, "5s").Should(BeEquivalentTo(1))
			began := time.Now()
			stop()
			p, text := read(c)
			Expect([]any{p.StatusCode, p.Header.Get("Primrosehook-Verdict"), p.Close}).To(Equal([]any{status, verdict, true}), text)
			Expect(text).To(ContainSubstring(`"stopping"`))
			Eventually(ended, "5s").Should(Receive(MatchError("1 requests were given up at the end of the drain")))
			Expect(time.Since(began)).To(BeNumerically("<", linger+drain))
		},
		Entry("a generation", "POST", "/v1/chat/completions", chatBody, 0, 502, "may-have-run"),
		Entry("a call to a plain service", "GET", "/services/kiosk/form", "", 0, 502, "may-have-run"),
		Entry("a write", "POST", "/services/kiosk/receipts", "paid", 0, 502, "may-have-run"),
		// Guards against a job that is reported as unknown since its lookup was cut short.
		Entry("a lookup of a job", "GET", "/v1/jobs/1", "", 0, 503, "not-run"),
		Entry("a request whose body has not arrived", "POST", "/v1/chat/completions", chatBody, 5, 503, "not-run"),
	)

	// Guards against requests that the HTTP server drops while it shuts down.
	DescribeTable("refuses requests at once that come during the drain", func(early, used bool) {
		open, c := connect(), connect()
		if used {
			write(c, "GET", "/healthz", "", 0)
			p, _ := read(c)
			Expect(p.StatusCode).To(Equal(200))
		}
		write(open, "GET", "/services/kiosk/form", "", 0)
		Eventually(b.server.OpenRequests, "5s").Should(BeEquivalentTo(1))
		stop()
		time.Sleep(linger + 200*time.Millisecond)
		if !early {
			c = connect()
		}
		sent := time.Now()
		write(c, "POST", "/v1/chat/completions", chatBody, 0)
		p, text := read(c)
		Expect([]any{p.StatusCode, p.Header.Get("Primrosehook-Verdict"), p.Close}).To(Equal([]any{503, "not-run", true}))
		Expect(text).To(ContainSubstring(`"draining"`))
		Expect(time.Since(sent)).To(BeNumerically("<", 200*time.Millisecond))
		p, _ = read(open)
		Expect(p.StatusCode).To(Equal(502))
		Eventually(ended, "5s").Should(Receive(HaveOccurred()))
	},
		Entry("on a new connection", false, false),
		Entry("on a connection without a request so far", true, false),
		Entry("on a connection that had one", true, true),
	)
})
