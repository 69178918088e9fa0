package relayer_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/balancer"
)

// after delays a handler.
func after(delay time.Duration, h handler) handler {
	return func(w http.ResponseWriter, q *http.Request) {
		select {
		case <-time.After(delay):
			h(w, q)
		case <-q.Context().Done():
		}
	}
}

var _ = Describe("Failover from a silent server", func() {
	const twoEvents = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"

	// Guards against dropping the request at the other server, which is at work on it,
	// because of an answer of the silent one that can't be forwarded.
	DescribeTable("goes on when the silent server refuses or fails",
		func(method, path string, first, second handler, want string) {
			w := startRelayer(first, second)
			code, body, err := w.send(method, path, "")
			Expect([]any{code, body, err}).To(Equal([]any{200, want, nil}))
		},
		Entry("a refused read", "GET", "/read/1", after(900*time.Millisecond, statusOnly(503, "Refused")), delayedAnswer(400*time.Millisecond, "second"), "second"),
		Entry("a failed read", "GET", "/read/1", after(900*time.Millisecond, statusOnly(500, "Sign")), delayedAnswer(400*time.Millisecond, "second"), "second"),
		Entry("a refused stream", "POST", "/chat/1", after(1500*time.Millisecond, statusOnly(503, "Refused")), after(300*time.Millisecond, streamEvents(2, 0)), twoEvents),
	)

	// Guards against cutting a stream for an answer that can't continue it.
	It("does not replace a stream in progress by an answer that is not a stream", func() {
		w := startRelayer(pausedStream(2, 1, 1750*time.Millisecond), statusOnly(404, "Sign"))
		code, body, err := w.send("POST", "/chat/1", "x")
		Expect([]any{code, body, err}).To(Equal([]any{200, twoEvents, nil}))
		Expect(w.requestCounts[1].Load()).To(Equal(int64(1)))
	})

	// Guards against judging a server by the silence of the instance's own link when
	// another server's bytes are the first to arrive after it.
	It("does not begin right after the instance hears servers again", func() {
		w := startRelayer(pausedStream(2, 1, 2200*time.Millisecond), streamEvents(2, 0))
		time.AfterFunc(1900*time.Millisecond, func() {
			other, _ := w.fleet.Take("svc", balancer.Request{Exclude: []string{"s0"}})
			other.RecordBytes()
			other.Done(false)
		})
		code, body, err := w.send("POST", "/slow/1", "x")
		Expect([]any{code, body, err}).To(Equal([]any{200, twoEvents, nil}))
		Expect(w.requestCounts[1].Load()).To(BeZero())
	})
})
