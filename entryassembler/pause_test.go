package entryassembler_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/platform"
)

// pausingServer is a server that refuses all requests, or answers them, and says the same in
// each answer: that it leaves or rests.
type pausingServer struct {
	requests atomic.Int64
	address  string
}

// startPausing starts and registers a server of the service without models.
func (g *cluster) startPausing(id string, answer func(w http.ResponseWriter)) *pausingServer {
	p := &pausingServer{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("Primrosehook-Request-Id", q.Header.Get("Primrosehook-Request-Id"))
		p.requests.Add(1)
		answer(w)
	}))
	DeferCleanup(s.Close)
	p.address = s.Listener.Addr().String()
	g.metadata.Put(platform.TopicServers, id, []byte(fmt.Sprintf(
		`{"service":"api","address":%q,"zone":"z1","slots":8,"state":"ready","sequence":1,"born":%d,"models":[]}`, p.address, time.Now().UnixMilli())))
	return p
}

var _ = Describe("A server that is reached through another instance", func() {
	rest := func(w http.ResponseWriter) {
		w.Header().Set("Retry-After", "20")
		w.Header().Set("Primrosehook-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	leave := func(w http.ResponseWriter) {
		w.Header().Set("Server-Leaving", "1")
		w.Header().Set("Primrosehook-Server-Signature", "s")
	}

	// Guards against requests of the instance through which the server said that it rests or
	// leaves: the server takes that for the one it has said it to.
	DescribeTable("gets no requests of the instance either that its answer came through",
		func(answer func(w http.ResponseWriter), code int) {
			g := newCluster(2)
			g.metadata.Put(platform.TopicServers, g.engines[2].ID, nil)
			p := g.startPausing("pausing", answer)
			g.allReady()
			g.links[0].cut(refuses)
			got := 0
			Eventually(func() int { got, _ = g.send(0, "/form/1", ""); return int(p.requests.Load()) }, 5*time.Second).Should(Equal(1))
			Expect(got).To(Equal(code))
			sound := g.startPausing("sound", func(w http.ResponseWriter) { w.Header().Set("Primrosehook-Server-Signature", "s") })
			for i := range 2 {
				Eventually(func() int { code, _ := g.send(i, "/form/2", ""); return code }, 5*time.Second).Should(Equal(200))
				for range 5 {
					code, _ := g.send(i, "/form/3", "")
					Expect(code).To(Equal(200))
				}
			}
			Expect(p.requests.Load()).To(Equal(int64(1)))
			Expect(sound.requests.Load()).To(BeNumerically(">=", 12))
		},
		Entry("that it rests", rest, 503),
		Entry("that it leaves", leave, 200),
	)

	// Guards against requests that come through an instance of which the server wants none.
	It("is not reached through an instance of which it wants no requests", func() {
		g := newCluster(2)
		g.metadata.Put(platform.TopicServers, g.engines[2].ID, nil)
		var resting atomic.Bool
		p := g.startPausing("pausing", func(w http.ResponseWriter) {
			if resting.Load() {
				rest(w)
				return
			}
			w.Header().Set("Primrosehook-Server-Signature", "s")
		})
		g.allReady()
		g.links[0].cut(refuses)
		Eventually(func() int { code, _ := g.send(0, "/form/1", ""); return code }, 5*time.Second).Should(Equal(200))
		resting.Store(true)
		code, _ := g.send(1, "/form/1", "")
		Expect(code).To(Equal(503))
		time.Sleep(100 * time.Millisecond)
		before := p.requests.Load()
		for range 5 {
			code, _ := g.send(0, "/form/2", "")
			Expect(code).To(Equal(503))
		}
		Expect(p.requests.Load()).To(Equal(before))
	})
})
