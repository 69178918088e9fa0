package relayer_test

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/relayer"
	"primrosehook/reserver"
)

// digestAnswer answers with the length and the digest of the body.
func digestAnswer(w http.ResponseWriter, q *http.Request) {
	body, _ := io.ReadAll(q.Body)
	digest := sha256.Sum256(body)
	signedAnswer(fmt.Sprint(len(body), " ", hex.EncodeToString(digest[:])))(w, q)
}

var _ = Describe("The memory of bodies", func() {
	var (
		w      *fixture
		memory *reserver.Reserver
	)
	BeforeEach(func() {
		memory = reserver.New(2<<20, reserver.WithStallTime(50*time.Millisecond)) // 1 MiB for large bodies
		w = startRelayerWith(newGuard(), []handler{digestAnswer}, relayer.WithMemory(memory))
	})
	// open sends the head of a request and some of its body, and returns the connection.
	open := func(length, sent int) net.Conn {
		c, err := net.Dial("tcp", w.proxy.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		_, err = fmt.Fprintf(c, "POST /write/1 HTTP/1.1\r\nHost: h\r\nId: a\r\nContent-Length: %d\r\n\r\n%s", length, bytes.Repeat([]byte("x"), sent))
		Expect(err).NotTo(HaveOccurred())
		return c
	}
	answer := func(c net.Conn) *http.Response {
		p, err := http.ReadResponse(bufio.NewReader(c), nil)
		Expect(err).NotTo(HaveOccurred())
		return p
	}

	// Guards against bytes that are lost or doubled where the buffer grows.
	DescribeTable("keeps each body whole", func(size int, chunked bool) {
		body := make([]byte, size)
		random := rand.NewChaCha8([32]byte{1})
		_, _ = random.Read(body) // never fails
		var reader io.Reader = bytes.NewReader(body)
		if chunked {
			reader = io.MultiReader(reader)
		}
		q, err := http.NewRequest(http.MethodPost, w.proxy.URL+"/write/1", reader)
		Expect(err).NotTo(HaveOccurred())
		q.Host = "h"
		q.Header.Set("Id", "a")
		p, err := http.DefaultClient.Do(q)
		Expect(err).NotTo(HaveOccurred())
		defer p.Body.Close()
		got, err := io.ReadAll(p.Body)
		Expect(err).NotTo(HaveOccurred())
		digest := sha256.Sum256(body)
		Expect(string(got)).To(Equal(fmt.Sprint(size, " ", hex.EncodeToString(digest[:]))))
		Eventually(func() int64 { return memory.Held(reserver.Body) + memory.Held(reserver.Answer) }).Should(BeZero())
	},
		Entry(nil, 1, true), Entry(nil, 4095, true), Entry(nil, 4096, true), Entry(nil, 4097, true), Entry(nil, 64<<10, true),
		Entry(nil, 64<<10+1, true), Entry(nil, 300_000, true), Entry(nil, 1, false), Entry(nil, 64<<10, false), Entry(nil, 1<<20, false),
	)

	// Guards against bodies that stop short and keep others away, and against a refusal of what
	// may have run.
	It("refuses a body without memory as not run, and ends one that stops short", func() {
		short := open(1<<20, 1<<19)
		Eventually(func() int64 { return memory.Held(reserver.Body) }).Should(BeEquivalentTo(1 << 20))
		time.Sleep(100 * time.Millisecond)
		refused := answer(open(1<<19, 0))
		Expect(refused.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(refused.Header.Get("Retry-After")).NotTo(BeEmpty())
		ended := answer(short)
		Expect(ended.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(ended.Header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(w.attemptCount()).To(BeZero())
		Eventually(func() int64 { return memory.Held(reserver.Body) }).Should(BeZero())
		Expect(answer(open(1<<19, 1<<19)).StatusCode).To(Equal(http.StatusOK))
	})

	// Guards against a request that is sent to a second server since the first one's answer waits for
	// memory.
	It("does not take a server for silent while its answer waits", func() {
		large := signedAnswer(strings.Repeat("x", 300<<10))
		w = startRelayerWith(newGuard(), []handler{large, large}, relayer.WithMemory(memory))
		older, _ := memory.Acquire(reserver.Answer, 0)
		older.GrowInTurn(1 << 20)
		time.AfterFunc(900*time.Millisecond, older.Release)
		status, body, err := w.send(http.MethodPost, "/read/1", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusOK))
		Expect(body).To(HaveLen(300 << 10))
		Expect(w.attemptCount()).To(Equal(1))
		Eventually(func() int64 { return memory.Held(reserver.Answer) }).Should(BeZero())
	})

	// Guards against a declared length that is reserved although it is over the limit.
	It("answers 413 to a declared length over the limit without the body", func() {
		Expect(answer(open(1<<20+1, 0)).StatusCode).To(Equal(http.StatusRequestEntityTooLarge))
		Expect(memory.Refused(reserver.Body)).To(BeZero())
	})
})
