package relayer_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// setBuilds registers the servers with builds, in their order.
func (w *fixture) setBuilds(builds ...string) {
	for i, b := range builds {
		w.servers[i].Build = b
	}
	w.fleet.Update(w.servers)
}

var _ = Describe("Streams at servers of several builds", func() {
	const threeEvents = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n"

	// Guards against an answer with events of two builds after its server has broken it
	// off.
	It("are not continued at another build inside one answer", func() {
		w := startRelayer(streamEvents(3, 2), streamEvents(3, 0))
		w.setBuilds("a", "b")
		_, _, err := w.send(http.MethodPost, "/chat/1", "x")
		Expect(err).To(HaveOccurred())
		Expect(w.requestCounts[1].Load()).To(BeZero())
	})

	It("are continued at the build that began them inside one answer", func() {
		w := startRelayer(streamEvents(3, 2), streamEvents(3, 0), streamEvents(3, 0))
		w.setBuilds("a", "b", "a")
		code, body, err := w.send(http.MethodPost, "/chat/1", "x")
		Expect([]any{code, body, err}).To(Equal([]any{200, threeEvents, nil}))
		Expect(w.requestCounts[1].Load()).To(BeZero())
	})

	// Guards against an answer with events of two builds after its server was silent.
	It("are not continued at another build when their server is silent", func() {
		w := startRelayer(pausedStream(3, 2, 1700*time.Millisecond), streamEvents(3, 0))
		w.setBuilds("a", "b")
		code, body, err := w.send(http.MethodPost, "/chat/1", "x")
		Expect([]any{code, body, err}).To(Equal([]any{200, threeEvents, nil}))
		Expect(w.requestCounts[1].Load()).To(BeZero())
	})

	// Guards against joining a stream of which no instance knows the build.
	It("are refused at once when it is not known which build began them", func() {
		w := startRelayer(streamEvents(3, 0), streamEvents(3, 0))
		w.setBuilds("a", "b")
		started := time.Now()
		code, _, err := w.send(http.MethodPost, "/chat/1", "x", "Last", "1", "Resumes", "q0")
		Expect([]any{code, err}).To(Equal([]any{503, nil}))
		Expect(time.Since(started)).To(BeNumerically("<", 500*time.Millisecond))
		Expect(w.attemptCount()).To(BeZero())
	})
})
