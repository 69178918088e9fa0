package forwarder_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/forwarder"
	"primrosehook/judge"
	"primrosehook/sender"
)

const wholeAnswer = `{"receipt":7}`

// answerUntil answers with wholeAnswer in a framing, but only with so many bytes of it,
// and ends the connection. With crash the service ends too.
func answerUntil(framing string, bytes int, ending string, crash bool) http.HandlerFunc {
	head := map[string]string{
		"length": fmt.Sprintf("Content-Length: %d", len(wholeAnswer)), "chunks": "Transfer-Encoding: chunked", "neither": "Connection: close",
	}[framing]
	body := wholeAnswer[:bytes]
	if framing == "chunks" && bytes > 0 {
		body = fmt.Sprintf("%x\r\n%s\r\n", bytes, body)
	}
	return func(w http.ResponseWriter, q *http.Request) {
		_, _ = io.Copy(io.Discard, q.Body)
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		defer c.Close()
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head+"\r\n\r\n"+body)
		switch ending {
		case "silence":
			_, _ = io.Copy(io.Discard, c)
		case "reset":
			// The client reads what was sent before the reset.
			time.Sleep(20 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		if crash {
			_ = q.Context().Value(http.ServerContextKey).(*http.Server).Close()
		}
	}
}

var _ = Describe("An answer of a service that crashes", func() {
	call := func(ctx context.Context, h http.HandlerFunc) (forwarder.Answer, error) {
		server := httptest.NewServer(h)
		DeferCleanup(server.Close)
		limit, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		return forwarder.NewClient(strings.TrimPrefix(server.URL, "http://"), sender.NewClient()).Call(limit, newCall("k"))
	}

	// Guards against recording the part of an answer that was sent before a crash as the
	// outcome of a write, or returning it to the caller of a call or job.
	It("is no outcome, in whichever framing, way and place it ends", func(ctx context.Context) {
		for _, framing := range []string{"length", "chunks", "neither"} {
			for _, ending := range []string{"close", "reset", "silence"} {
				for _, bytes := range []int{0, 5} {
					_, err := call(ctx, answerUntil(framing, bytes, ending, true))
					Expect(err).To(HaveOccurred(), "%s, %s, after %d bytes", framing, ending, bytes)
					Expect(judge.Of(err)).To(Equal(judge.MayHaveRun))
				}
			}
		}
	})

	It("is the outcome if it ends with its connection and the service goes on", func(ctx context.Context) {
		a, err := call(ctx, answerUntil("neither", len(wholeAnswer), "close", false))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(a.Body)).To(Equal(wholeAnswer))
	})
})
