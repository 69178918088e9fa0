package server_test

import (
	"bufio"
	"encoding/json"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/judge"
	"primrosehook/server"
)

var _ = Describe("invalid input", func() {
	var b *harness
	var chat string
	BeforeEach(func() {
		limits := server.DefaultLimits()
		limits.MaxBodyBytes, limits.UploadTimeout, limits.MaxOpenRequests = 4096, 300*time.Millisecond, 4
		b = newHarness(server.WithLimits(limits))
		DeferCleanup(func() { b.close() })
		chat = b.callers.URL + "/v1/chat/completions"
	})
	AfterEach(func() {
		p := sendRequest("POST", chat, chatBody)
		Expect(p.status).To(Equal(200), "other requests are not affected")
	})

	DescribeTable("is refused with a reason",
		func(body string, status int, code, reason string) {
			p := sendRequest("POST", chat, body)
			got, verdict, message := p.refusal()
			Expect([]any{p.status, got, verdict}).To(Equal([]any{status, code, "not-run"}))
			Expect(message).To(ContainSubstring(reason))
			Expect(len(p.body)).To(BeNumerically("<", 1024))
			Expect(p.header.Get("Retry-After")).To(BeEmpty(), "a retry cannot succeed")
		},
		Entry("an oversized body", strings.Repeat("x", 5000), 413, "body-size", "over 4096 bytes"),
		Entry("an empty body", "", 400, "json", "not valid JSON"),
		Entry("malformed JSON", `{"model":`, 400, "json", "not valid JSON"),
		Entry("text after the JSON", chatBody+"x", 400, "json", "after its JSON value"),
		Entry("a field of the wrong type", `{"model":3}`, 400, "json", `"model"`),
		Entry("no messages", `{"model":"tiny"}`, 400, "messages", "1 to"),
		Entry("a message without a role", `{"model":"tiny","messages":[{"content":"a"}]}`, 400, "messages", "role"),
		Entry("an image", `{"model":"tiny","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, 400, "json", "not supported"),
		Entry("an unknown model", `{"model":"`+strings.Repeat("m", 2000)+`","messages":[{"role":"u","content":"a"}]}`, 404, "model_not_found", "not in the rule list"),
		Entry("an unknown adapter", `{"model":"tiny:none","messages":[{"role":"u","content":"a"}]}`, 404, "model_not_found", "tiny:none"),
		Entry("too many tokens", `{"model":"tiny","max_tokens":99999999,"messages":[{"role":"u","content":"a"}]}`, 400, "max-tokens", "1 to 32768"),
		Entry("no tokens", `{"model":"tiny","max_tokens":0,"messages":[{"role":"u","content":"a"}]}`, 400, "max-tokens", "1 to 32768"),
		Entry("several answers", `{"model":"tiny","n":2,"messages":[{"role":"u","content":"a"}]}`, 400, "n", "must be 1"),
	)

	It("is refused with 404 for an unknown route and 405 for an unsupported method", func() {
		p := sendRequest("GET", b.callers.URL+"/v2/chat", "")
		code, verdict, _ := p.refusal()
		Expect([]any{p.status, code, verdict}).To(Equal([]any{404, "route", "not-run"}))
		Expect(sendRequest("DELETE", chat, "").status).To(Equal(405))
	})

	// raw writes bytes to a connection and returns the status and verdict of
	// the response.
	raw := func(write func(net.Conn)) (int, string) {
		GinkgoHelper()
		c, err := net.Dial("tcp", b.callers.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		Expect(c.SetDeadline(time.Now().Add(20 * time.Second))).To(Succeed())
		write(c)
		p, err := http.ReadResponse(bufio.NewReader(c), nil)
		Expect(err).NotTo(HaveOccurred())
		defer p.Body.Close()
		return p.StatusCode, p.Header.Get(judge.Header)
	}

	It("is refused with 408 if the body arrives too slowly", func() {
		status, verdict := raw(func(c net.Conn) {
			fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\n{")
		})
		Expect([]any{status, verdict}).To(Equal([]any{408, "not-run"}))
	})

	It("is refused with 431 if the headers are too large", func() {
		status, _ := raw(func(c net.Conn) {
			fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n")
			for i := range 2000 {
				if _, err := fmt.Fprintf(c, "X-Flood-%d: %s\r\n", i, strings.Repeat("y", 100)); err != nil {
					return
				}
			}
		})
		Expect(status).To(Equal(431))
	})

	It("is limited in the total size of bodies, which is released at the end of a request", func() {
		limits := server.DefaultLimits()
		limits.MaxTotalBodyBytes = int64(3 * len(chatBody))
		c := newHarness(server.WithLimits(limits))
		DeferCleanup(c.close)
		url := c.callers.URL + "/v1/chat/completions"
		for range 10 {
			Expect(sendRequest("POST", url, chatBody).status).To(Equal(200))
		}
		p := sendRequest("POST", url, chatBody+strings.Repeat(" ", 3*len(chatBody)))
		code, verdict, _ := p.refusal()
		Expect([]any{p.status, code, verdict}).To(Equal([]any{503, "bodies", "not-run"}))
		Expect(p.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(sendRequest("POST", url, chatBody).status).To(Equal(200))
	})

	// Guards against bodies that stop short and keep others away until their time is over.
	It("serves others beside bodies that stop short, and ends those", func() {
		limits := server.DefaultLimits()
		limits.MaxTotalBodyBytes = 3 << 20 // 2 MiB for large bodies
		metrics := new(expvar.Map).Init()
		c := newHarness(server.WithLimits(limits), server.WithMetrics(metrics))
		DeferCleanup(c.close)
		for range 2 {
			conn, err := net.Dial("tcp", c.callers.Listener.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(conn.Close)
			_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n")
			Expect(err).NotTo(HaveOccurred())
		}
		// A request that is sent before both are accepted takes the memory of one of them, which is
		// refused then.
		held := func() string { return metrics.Get("memory").(*expvar.Map).Get("held_body").String() }
		Eventually(held, "10s").Should(Equal(strconv.Itoa(2 << 20)))
		url := c.callers.URL + "/v1/chat/completions"
		large := func() int { return sendRequest("POST", url, chatBody+strings.Repeat(" ", 100<<10)).status }
		Expect(large()).To(Equal(503))
		Expect(sendRequest("POST", url, chatBody).status).To(Equal(200))
		Eventually(large, "5s", "100ms").Should(Equal(200))
	})

	It("is limited in the number of open requests; further ones are refused with a retry delay", func() {
		b.engines["e1"].stalls = true
		b.dispatcher.engines = []string{"e1"}
		var open []*http.Response
		for range 4 {
			p, err := http.Post(chat, "application/json", strings.NewReader(streamed(chatBody)))
			Expect(err).NotTo(HaveOccurred())
			open = append(open, p)
		}
		p := sendRequest("POST", chat, chatBody)
		code, _, _ := p.refusal()
		Expect([]any{p.status, code}).To(Equal([]any{503, "connections"}))
		Expect(p.header.Get("Retry-After")).NotTo(BeEmpty())
		for _, p := range open {
			p.Body.Close()
		}
		Eventually(b.server.OpenRequests).Should(BeZero())
		b.engines["e1"].stalls = false
	})
})

// FuzzChat sends arbitrary bodies. The status must be one of the expected ones,
// and an error must be valid JSON of limited size.
func FuzzChat(f *testing.F) {
	for _, seed := range []string{
		chatBody, streamed(chatBody), "", "{", "null", "[]", `{"model":"tiny","messages":[{"role":"user","content":[{"type":"text","text":"a"}]}]}`,
		`{"model":"tiny","messages":null}`, `{"model":"tiny","max_tokens":-1}`, `{"model":"tiny:","prompt":[1]}`, `{"stop":"x"}`,
		`{"messages":[{"role":"\ud800","content":""}]}`, strings.Repeat("[", 5000),
	} {
		f.Add([]byte(seed))
	}
	limits := server.DefaultLimits()
	limits.MaxTokens, limits.DefaultMaxTokens = 64, 16
	b := newHarness(server.WithLimits(limits))
	defer b.close()
	h := b.server.Handler()
	f.Fuzz(func(t *testing.T, body []byte) {
		for _, path := range []string{"/v1/chat/completions", "/v1/completions", "/v1/jobs"} {
			w := httptest.NewRecorder()
			q := httptest.NewRequest(http.MethodPost, path, strings.NewReader(string(body)))
			h.ServeHTTP(w, q)
			switch w.Code {
			case 200, 202, 400, 404, 413:
			default:
				t.Fatalf("status %d: %s", w.Code, w.Body)
			}
			if w.Code >= 400 && !json.Valid(w.Body.Bytes()) {
				t.Fatalf("not JSON: %s", w.Body)
			}
			if w.Code >= 400 && w.Body.Len() > 2048 {
				t.Fatalf("%d bytes of error", w.Body.Len())
			}
		}
	})
}
