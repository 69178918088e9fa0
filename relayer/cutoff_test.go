package relayer_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/quarantiner"
	"primrosehook/relayer"
)

// wholeStream is the stream that streamEvents(3, 0) sends.
const wholeStream = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n"

// The framings of an answer's body, the ways in which a server ends it, and the places
// at which it does.
var (
	framings = []string{"length", "chunks", "neither"}
	endings  = []string{"close", "reset", "silence"}
	places   = map[string]string{
		"before the head": "", "after the head": "", "between events": "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n", "inside an event": "id: 1\ndata: 1\n\nid: 2\nda",
	}
)

// cutOff begins an answer of wholeStream in a framing and ends it at a place. On close
// and reset the server crashes with it; in silence the connection stays open.
func cutOff(framing, ending, place string) handler {
	return func(w http.ResponseWriter, q *http.Request) {
		_, _ = io.Copy(io.Discard, q.Body)
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		defer c.Close()
		if place != "before the head" {
			_, _ = io.WriteString(c, framedHead(q.Header.Get("Id"), framing, len(wholeStream))+framedPiece(framing, places[place]))
		}
		switch ending {
		case "silence":
			_, _ = io.Copy(io.Discard, c)
			return
		case "reset":
			// The client reads what was sent before the reset.
			time.Sleep(20 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		_ = q.Context().Value(http.ServerContextKey).(*http.Server).Close()
	}
}

// framedHead returns the head of a signed answer whose body has a length.
func framedHead(id, framing string, length int) string {
	header := map[string]string{
		"length": fmt.Sprintf("Content-Length: %d", length), "chunks": "Transfer-Encoding: chunked", "neither": "Connection: close",
	}[framing]
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nSign: s\r\n" + header + "\r\n\r\n"
}

// framedPiece returns a part of a body.
func framedPiece(framing, text string) string {
	if framing != "chunks" || text == "" {
		return text
	}
	return fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
}

// countingGuard is a guard that counts the completed requests.
type countingGuard struct {
	*quarantiner.Guard
	completed atomic.Int64
}

func (g *countingGuard) RequestCompleted(id quarantiner.Identity) {
	g.completed.Add(1)
	g.Guard.RequestCompleted(id)
}

// countingMeter counts the events of one name.
type countingMeter struct {
	name  string
	count atomic.Int64
}

func (m *countingMeter) Add(name string, n int64) {
	if name == m.name {
		m.count.Add(n)
	}
}

func (*countingMeter) Observe(string, time.Duration) {}

// sendToCutOff sends a request whose first server cuts its answer off, and returns
// what is wrong with the outcome, empty for nothing. Without goesOn the client must see
// that the answer is not complete.
func sendToCutOff(method, path string, first, second handler, goesOn bool) string {
	guard, meter := &countingGuard{Guard: newGuard()}, &countingMeter{name: relayer.MetricAnswered}
	w := startRelayerWith(guard, []handler{first, second}, relayer.WithMeter(meter))
	code, body, err := w.send(method, path, "x")
	completed, answered := guard.completed.Load(), meter.count.Load()
	got := fmt.Sprintf("%d %q %v, %d completed, %d answered", code, body, err, completed, answered)
	switch {
	case goesOn && (code != 200 || body != wholeStream || err != nil || completed != 1 || answered != 1):
		return "did not go on: " + got
	case !goesOn && code == 200 && err == nil:
		return "looks complete: " + got
	case !goesOn && completed+answered > 0:
		return "counts as completed: " + got
	}
	return ""
}

var _ = Describe("An answer that its server cuts off", func() {
	// Guards against an answer that was broken off by a crash and reaches its client as
	// if it were complete.
	DescribeTable("never looks complete, and goes on at another server if it may",
		func(method, path string, goesOn bool) {
			second := streamEvents(3, 0)
			if path == "/read/1" || path == "/write/1" {
				second = signedAnswer(wholeStream)
			}
			var group sync.WaitGroup
			problems := make(chan string, 100)
			for _, framing := range framings {
				for _, ending := range endings {
					for place := range places {
						group.Go(func() {
							defer GinkgoRecover()
							if problem := sendToCutOff(method, path, cutOff(framing, ending, place), second, goesOn); problem != "" {
								problems <- strings.Join([]string{framing, ending, place, problem}, ", ")
							}
						})
					}
				}
			}
			group.Wait()
			close(problems)
			var list []string
			for p := range problems {
				list = append(list, p)
			}
			Expect(list).To(BeEmpty())
		},
		Entry("a stream that may be resumed", "POST", "/chat/1", true),
		Entry("a stream that may not be resumed", "POST", "/once/1", false),
		Entry("a read", "GET", "/read/1", true),
		Entry("a write", "POST", "/write/1", false),
	)

	// Guards against an answer that is read up to a limit and forwarded as if that were
	// all of it.
	DescribeTable("is not complete at the limit of what is read",
		func(framing string) {
			endless := func(rw http.ResponseWriter, q *http.Request) {
				_, _ = io.Copy(io.Discard, q.Body)
				c, _, err := rw.(http.Hijacker).Hijack()
				if err != nil {
					panic(err)
				}
				defer c.Close()
				piece := framedPiece(framing, strings.Repeat("x", 1<<20))
				_, err = io.WriteString(c, framedHead(q.Header.Get("Id"), framing, 1<<40))
				for err == nil {
					_, err = io.WriteString(c, piece)
				}
			}
			w := startRelayer(endless, signedAnswer("whole"))
			code, body, err := w.send("GET", "/read/1", "")
			Expect([]any{code, body, err}).To(Equal([]any{200, "whole", nil}))
			code, _, _ = startRelayer(endless).send("POST", "/write/1", "x")
			Expect(code).To(Equal(502))
		},
		Entry("with a length", "length"),
		Entry("in chunks", "chunks"),
		Entry("until the connection ends", "neither"),
	)

	// Guards against taking the rest of a stream for complete that a second server cuts
	// off after the first one.
	It("is not completed by a second server that cuts it off too", func() {
		w := startRelayer(cutOff("neither", "close", "between events"), cutOff("neither", "close", "inside an event"), cutOff("neither", "close", "inside an event"))
		code, body, err := w.send("POST", "/chat/1", "x")
		Expect(code).To(Equal(200))
		Expect(wholeStream).To(HavePrefix(body))
		Expect(err).To(HaveOccurred())
	})

	// Guards against ending a stream inside an event because its framing is complete.
	It("has been broken off if a framed stream ends inside an event", func() {
		inside := func(rw http.ResponseWriter, q *http.Request) {
			rw.Header().Set("Id", q.Header.Get("Id"))
			rw.Header().Set("Sign", "s")
			_, _ = io.WriteString(rw, places["inside an event"])
		}
		Expect(sendToCutOff("POST", "/chat/1", inside, streamEvents(3, 0), true)).To(BeEmpty())
		Expect(sendToCutOff("POST", "/once/1", inside, streamEvents(3, 0), false)).To(BeEmpty())
	})

	// Guards against taking each answer that ends with its connection for cut off.
	DescribeTable("is complete if it ends with its connection and its server goes on",
		func(method, path string) {
			whole := func(rw http.ResponseWriter, q *http.Request) {
				_, _ = io.Copy(io.Discard, q.Body)
				c, _, err := rw.(http.Hijacker).Hijack()
				if err != nil {
					panic(err)
				}
				_, _ = io.WriteString(c, framedHead(q.Header.Get("Id"), "neither", 0)+wholeStream)
				_ = c.Close()
			}
			Expect(sendToCutOff(method, path, whole, abortConnection, true)).To(BeEmpty())
		},
		Entry("a stream", "POST", "/chat/1"),
		Entry("a stream that may not be resumed", "POST", "/once/1"),
		Entry("a read", "GET", "/read/1"),
		Entry("a write", "POST", "/write/1"),
	)
})
