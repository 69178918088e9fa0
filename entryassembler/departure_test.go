package entryassembler_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/platform"
)

// idServer is a server of the service without models that answers after some work, and records
// the IDs of its requests.
type idServer struct {
	mu  sync.Mutex
	ids map[string]time.Time
}

// arrived reports whether a request has arrived.
func (s *idServer) arrived(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.ids[id]
	return ok
}

// startIDServer starts and registers the only server of the service without models.
func (g *cluster) startIDServer(work time.Duration) *idServer {
	s := &idServer{ids: map[string]time.Time{}}
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		id := q.Header.Get("Primrosehook-Request-Id")
		s.mu.Lock()
		s.ids[id] = time.Now()
		s.mu.Unlock()
		select {
		case <-time.After(work):
		case <-q.Context().Done():
		}
		w.Header().Set("Primrosehook-Request-Id", id)
		w.Header().Set("Primrosehook-Server-Signature", "s")
		_, _ = io.WriteString(w, "body")
	}))
	DeferCleanup(h.Close)
	g.metadata.Put(platform.TopicServers, g.engines[2].ID, nil)
	g.metadata.Put(platform.TopicServers, "ids", []byte(fmt.Sprintf(
		`{"service":"api","address":%q,"zone":"z1","slots":200,"state":"ready","sequence":1,"born":%d,"models":[]}`, h.Listener.Addr().String(), time.Now().UnixMilli())))
	return s
}

// awaitOnly waits until the first instance sends requests to the server, and to no other one.
func (s *idServer) awaitOnly(g *cluster) {
	GinkgoHelper()
	Eventually(func() bool { g.send(0, "/form/1", ""); return s.arrived("q") }, 10*time.Second).Should(BeTrue())
	// The registry is read in one piece: the server before is gone at the next read.
	time.Sleep(time.Second)
}

// connectClient opens a connection to an instance.
func (g *cluster) connectClient(i int) net.Conn {
	GinkgoHelper()
	c, err := net.Dial("tcp", g.fronts[i])
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = c.Close() })
	return c
}

// writeRequest writes a request for the service without models. Each asks for a resource of its
// own: requests that are alike are sent one after the other while servers seem to be lost.
func writeRequest(c net.Conn, id string) error {
	_, err := fmt.Fprintf(c, "GET /form/%s HTTP/1.1\r\nHost: h\r\nPrimrosehook-Request-Id: %s\r\nPrimrosehook-Request-Deadline: 4000\r\n\r\n", id, id)
	return err
}

var _ = Describe("A request that was written while the path to its server was cut", func() {
	// The kernel delivers what was written before a plain close once the path works again, long
	// after the client has left.
	DescribeTable("does not reach the server after its client has left", func(instances int, breakPath func(g *cluster)) {
		g := newCluster(instances)
		s := g.startIDServer(0)
		g.allReady()
		if instances > 1 {
			g.links[0].cut(refuses)
		}
		// Leaves an idle connection, on which the request is written at once.
		Eventually(func() int { code, _ := g.send(0, "/form/1", ""); return code }, 5*time.Second).Should(Equal(200))
		breakPath(g)
		c := g.connectClient(0)
		Expect(writeRequest(c, "gone")).To(Succeed())
		time.Sleep(200 * time.Millisecond)
		Expect(c.Close()).To(Succeed())
		time.Sleep(600 * time.Millisecond)
		for i := range instances {
			g.links[i].cut(notCut)
		}
		Eventually(func() int { code, _ := g.send(0, "/form/1", ""); return code }, 5*time.Second).Should(Equal(200))
		Expect(s.arrived("gone")).To(BeFalse())
	},
		Entry("directly", 1, func(g *cluster) { g.links[0].cut(hangs) }),
		Entry("through a peer that is cut off from the server", 2, func(g *cluster) { g.links[1].cut(hangs) }),
	)
})
