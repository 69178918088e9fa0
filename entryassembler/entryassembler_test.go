package entryassembler_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"primrosehook/entryassembler"
	"primrosehook/faker"
	"primrosehook/platform"
)

// port returns a free loopback address. Its IP is drawn, because a socket of
// another process may get a free port of 127.0.0.1 before the instance listens.
func port() string {
	ip := net.IPv4(127, byte(1+rand.N(254)), byte(rand.N(256)), byte(1+rand.N(254)))
	l, err := net.Listen("tcp", net.JoinHostPort(ip.String(), "0"))
	Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	return l.Addr().String()
}

// cluster is a store, two model servers, one server of a service without models,
// and entry instances.
type cluster struct {
	metadata *faker.MetadataStore
	store    string
	engines  []*faker.ModelServer
	// addresses are those of the engines.
	addresses []string
	stops     []context.CancelFunc
	fronts    []string
	readies   []string
	metrics   []string
	ended     []chan struct{}
	// links are the instances' links to servers, peers those between instances, nil if they
	// are never cut. storeCut are set while an instance is cut off from the store.
	links    []*serverLinks
	peers    *peerLinks
	storeCut []*atomic.Bool
	// settings are those of the instances, controls their addresses for peers.
	settings []platform.Settings
	controls []string
	// seeded makes the instances that are started earlier the seeds of each.
	seeded bool
	// fixed are the addresses for peers of all instances, each a seed of all; link is their links' speed.
	fixed []string
	link  float64
	// rejects makes the store reject a call of an instance with 503.
	rejects func(i int, q *http.Request) bool
}

const config = `{"version":%d,"routes":[
 {"name":"chat","host":"h","path-prefix":"/chat/","kind":"streaming","timeout-ms":4000,"target-latency-ms":600,"service":"llm","max-attempts":2,"resumable":true,"gap-aim-ms":300},
 {"name":"form","host":"h","path-prefix":"/%s/","kind":"idempotent","timeout-ms":2000,"target-latency-ms":100,"service":"api","max-attempts":2}],
 "services":[{"name":"llm","engine":{"slots":8,"kv-capacity":100000,"weights-mb":230,"adapter-slots":8,"loads-per-s":2.8,
  "models":[{"name":"m0","weights-mb":72,"load-s":0.05,"adapters":1,"adapter-mb":0.1},{"name":"m1","weights-mb":72,"load-s":0.05}]}},{"name":"api"}],
 "limits":{"max-body-bytes":1000000}}`

func newCluster(instances int) *cluster {
	g := &cluster{metadata: faker.NewMetadataStore()}
	s := httptest.NewServer(g.metadata)
	DeferCleanup(s.Close)
	g.store = s.Listener.Addr().String()
	g.metadata.Put(platform.TopicOperator, platform.KeyConfig, []byte(fmt.Sprintf(config, 3, "form")))
	for i, service := range []string{"llm", "llm", "api"} {
		e := faker.NewModelServer(fmt.Sprintf("i-%d", i), "m0")
		e.LoadTime = 50 * time.Millisecond
		es := httptest.NewServer(e)
		DeferCleanup(es.Close)
		g.engines = append(g.engines, e)
		g.addresses = append(g.addresses, es.Listener.Addr().String())
		g.metadata.Put(platform.TopicServers, e.ID, e.Registration(service, es.Listener.Addr().String(), "z1", "ready", 1))
	}
	g.metadata.Put(platform.TopicServers, "ghost", []byte("\x00 no registration"))
	for i := range instances {
		g.start(i)
	}
	return g
}

// start starts a new instance with a number, which is that of the last one and one more.
func (g *cluster) start(i int) {
	cut := &atomic.Bool{}
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if cut.Load() {
			_, _ = io.Copy(io.Discard, q.Body)
			select {
			case <-q.Context().Done():
			case <-time.After(3 * time.Second):
			}
			panic(http.ErrAbortHandler)
		}
		if g.rejects != nil && g.rejects(i, q) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		g.metadata.ServeHTTP(w, q)
	}))
	DeferCleanup(store.Close)
	s := platform.Settings{
		Instance: fmt.Sprintf("front-%d", i), IP: "127.0.0.1", Zone: "z1", Front: port(), Ready: port(), Control: port(), Metrics: port(), Store: store.Listener.Addr().String(),
		Memory: 284, Descriptors: 4100, Grace: 3 * time.Second, Drain: 2 * time.Second, Lease: 300 * time.Millisecond,
		RetryRatio: 0.2, RetrySlack: 58, RetryWindow: 10 * time.Second, CeilingWindow: 5 * time.Second, CeilingOverage: 1.1,
	}
	s.Link = g.link
	if g.fixed != nil {
		s.Control, s.Seeds = g.fixed[i], slices.Clone(g.fixed)
	}
	if g.seeded {
		s.Seeds = slices.Clone(g.controls)
	}
	g.settings, g.controls, g.storeCut = append(g.settings, s), append(g.controls, s.Control), append(g.storeCut, cut)
	g.links = append(g.links, &serverLinks{})
	g.metrics = append(g.metrics, s.Metrics)
	g.fronts, g.readies = append(g.fronts, s.Front), append(g.readies, s.Ready)
	g.stops, g.ended = append(g.stops, nil), append(g.ended, nil)
	g.run(i)
	DeferCleanup(func() { g.stops[i](); <-g.ended[i] })
}

// run runs an instance that does not run.
func (g *cluster) run(i int) {
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	g.stops[i], g.ended[i] = stop, done
	settings := g.settings[i]
	set := []entryassembler.Option{entryassembler.WithDialer(g.links[i])}
	if g.peers != nil {
		set = append(set, entryassembler.WithPeerDialer(peerDialer{g.peers, settings.Control}))
	}
	go func() {
		defer GinkgoRecover()
		defer close(done)
		Expect(entryassembler.Run(ctx, settings, clockwork.NewRealClock(), zap.NewNop(), set...)).To(Succeed())
	}()
}

func (g *cluster) ready(i int) int {
	p, err := http.Get("http://" + g.readies[i] + "/-/readiness")
	if err != nil {
		return 0
	}
	_ = p.Body.Close()
	return p.StatusCode
}

func (g *cluster) send(i int, path, model string) (int, string) {
	q, err := http.NewRequest(http.MethodPost, "http://"+g.fronts[i]+path, strings.NewReader("x"))
	Expect(err).NotTo(HaveOccurred())
	q.Host = "h"
	q.Header.Set("Primrosehook-Request-Id", "q")
	q.Header.Set("Primrosehook-Request-Deadline", "4000")
	if model != "" {
		q.Header.Set("Primrosehook-Model", model)
	}
	p, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0, err.Error()
	}
	defer p.Body.Close()
	body, err := io.ReadAll(p.Body)
	Expect(err).NotTo(HaveOccurred())
	return p.StatusCode, string(body)
}

func (g *cluster) allReady() {
	for i := range g.fronts {
		Eventually(func() int { return g.ready(i) }, 10*time.Second).Should(Equal(200))
	}
}

var _ = Describe("An entry instance", func() {
	It("serves requests and streams, loads requested models, and sends orders from one instance only", func() {
		g := newCluster(2)
		g.allReady()
		for i := range g.fronts {
			code, body := g.send(i, "/form/1", "")
			Expect(code).To(Equal(200))
			Expect(body).To(Equal("i-2 ran x"))
			for _, model := range []string{"m0", "m0/a1", "m1"} {
				Eventually(func() int { code, _ := g.send(i, "/chat/1", model); return code }, 10*time.Second).Should(Equal(200), model)
			}
		}
		holders := map[string]bool{}
		for _, e := range g.engines {
			_, given := e.Accepted()
			for _, h := range given {
				holders[h] = true
			}
		}
		Expect(holders).To(HaveLen(1))
	})

	It("is not ready and refuses requests until it has a configuration", func() {
		g := newCluster(0)
		g.metadata.SetFaults(true, false)
		g.start(0)
		Eventually(func() int { return g.ready(0) }, 5*time.Second).Should(Equal(503))
		code, _ := g.send(0, "/form/1", "")
		Expect(code).To(Equal(503))
		g.metadata.SetFaults(false, false)
		g.allReady()
	})

	It("applies a new configuration, and keeps it while the store is unavailable or the record is malformed", func() {
		g := newCluster(2)
		g.allReady()
		g.metadata.Put(platform.TopicOperator, platform.KeyConfig, []byte(fmt.Sprintf(config, 5, "moved")))
		for i := range g.fronts {
			Eventually(func() int { code, _ := g.send(i, "/moved/1", ""); return code }, 5*time.Second).Should(Equal(200))
		}
		g.metadata.Put(platform.TopicOperator, platform.KeyConfig, []byte(`{"version":`))
		g.metadata.Put(platform.TopicOperator, platform.KeyConfig, []byte(fmt.Sprintf(config, 4, "old")))
		g.metadata.SetFaults(true, false)
		Consistently(func() int { code, _ := g.send(0, "/moved/1", ""); return code }, time.Second, 100*time.Millisecond).Should(Equal(200))
	})

	// A former lease holder ordered a load that the server executes late. The
	// model is in no report until it is loaded, so a load ordered meanwhile would
	// exceed the server's memory.
	It("sends no load order to a server that is executing one from a former lease holder", func() {
		g := newCluster(0)
		tight := strings.Replace(fmt.Sprintf(config, 4, "form"), `"weights-mb":230`, `"weights-mb":100`, 1)
		g.metadata.Put(platform.TopicOperator, platform.KeyConfig, []byte(tight))
		e := faker.NewModelServer("i-9")
		e.LoadTime, e.ReportLag, e.MaxModels = 1200*time.Millisecond, 100*time.Millisecond, 1
		s := httptest.NewServer(e)
		DeferCleanup(s.Close)
		g.metadata.Put(platform.TopicServers, e.ID, e.Registration("llm", s.Listener.Addr().String(), "z1", "ready", 1))
		e.BeginUnreportedLoad("m0")
		g.start(0)
		Consistently(e.Overcommitted, 4*time.Second, 50*time.Millisecond).Should(BeFalse())
	})

	It("exposes only metrics that the operators' page documents", func() {
		g := newCluster(1)
		g.allReady()
		g.send(0, "/form/1", "")
		g.send(0, "/chat/1", "m0")
		g.send(0, "/none/1", "")
		page, err := os.ReadFile("../docs/OPERATIONS.md")
		Expect(err).NotTo(HaveOccurred())
		p, err := http.Get("http://" + g.metrics[0])
		Expect(err).NotTo(HaveOccurred())
		defer p.Body.Close()
		body, err := io.ReadAll(p.Body)
		Expect(err).NotTo(HaveOccurred())
		count := 0
		for line := range strings.Lines(string(body)) {
			name, _, _ := strings.Cut(strings.Fields(line)[0], "{")
			name = strings.TrimSuffix(name, "_count")
			for _, kind := range []string{"idempotent", "nonidempotent", "streaming"} {
				if rest, ok := strings.CutSuffix(name, "_ms_"+kind); ok {
					name = rest + "_ms_KIND"
				}
			}
			Expect(string(page)).To(ContainSubstring("`" + name + "`"))
			count++
		}
		Expect(count).To(BeNumerically(">", 20))
	})

	It("answers on a connection that was idle when the stop began, and announces that it closes", func() {
		g := newCluster(1)
		g.allReady()
		c, err := net.Dial("tcp", g.fronts[0])
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		r := bufio.NewReader(c)
		ask := func() *http.Response {
			_, err := io.WriteString(c, "POST /form/1 HTTP/1.1\r\nHost: h\r\nPrimrosehook-Request-Id: q\r\nContent-Length: 1\r\n\r\nx")
			Expect(err).NotTo(HaveOccurred())
			p, err := http.ReadResponse(r, nil)
			Expect(err).NotTo(HaveOccurred())
			_, err = io.Copy(io.Discard, p.Body)
			Expect(err).NotTo(HaveOccurred())
			return p
		}
		Expect(ask().Close).To(BeFalse())
		g.stops[0]()
		Eventually(func() int { return g.ready(0) }).Should(Equal(503))
		p := ask()
		Expect(p.StatusCode).To(Equal(200))
		Expect(p.Close).To(BeTrue())
	})

	It("finishes a partly read request after the stop began, and accepts connections for a while", func() {
		g := newCluster(1)
		g.allReady()
		c, err := net.Dial("tcp", g.fronts[0])
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		_, err = io.WriteString(c, "POST /chat/1 HTTP/1.1\r\nHost: h\r\nPrimrosehook-Request-Id: q\r\nPrimrosehook-Model: m0\r\nContent-Length: 3\r\n\r\nx")
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(50 * time.Millisecond)
		g.stops[0]()
		Eventually(func() int { return g.ready(0) }).Should(Equal(503))
		code, _ := g.send(0, "/form/1", "")
		Expect(code).To(Equal(200))
		_, err = io.WriteString(c, "xx")
		Expect(err).NotTo(HaveOccurred())
		p, err := http.ReadResponse(bufio.NewReader(c), nil)
		Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(p.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(p.StatusCode).To(Equal(200))
		Expect(string(body)).To(And(ContainSubstring("id: 3\n"), HaveSuffix("\n\n")))
		Eventually(g.ended[0], 5*time.Second).Should(BeClosed())
	})

	// Guards against cutting a request that has waited for its model until the end of
	// the grace period: its client is told nothing.
	It("refuses a request that still waits for its model near the end of the grace period", func() {
		g := newCluster(1)
		for _, e := range g.engines {
			e.LoadTime = time.Minute
		}
		g.allReady()
		g.stops[0]()
		time.Sleep(time.Second)
		code, body := g.send(0, "/chat/1", "m1")
		Expect(code).To(Equal(503), body)
		Eventually(g.ended[0], 5*time.Second).Should(BeClosed())
	})
})
