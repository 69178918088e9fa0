package entryassembler_test

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/platform"
)

// crashingService is a service of some servers that crash under some requests, and
// are back some time later at the same address as new incarnations.
type crashingService struct {
	cluster *cluster
	name    string
	// models are the loaded models as in a registration.
	models string
	// isFatal reports whether a request crashes its server; a fatal stream does so after
	// the head of its answer.
	isFatal func(q *http.Request) bool
	// restart is how long a crashed server is away, a second if it is zero.
	restart time.Duration
	mu      sync.Mutex
	starts  int
	crashes []time.Time
	closing bool
	// silent servers end without closing their connections or leaving the registry, and are
	// back under their old ID.
	silent  bool
	servers map[string]*http.Server
	// records are the registrations by ID.
	records map[string][]byte
	// heartbeats counts the registrations that were written again.
	heartbeats int
}

// setSilent makes servers end without a word from now on.
func (c *crashingService) setSilent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = true
}

// disturbRegistrations lets one registration lapse and garbles another one for a while.
func (c *crashingService) disturbRegistrations() {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for id, record := range c.records {
		switch n++; n {
		case 1:
			c.cluster.metadata.Put(platform.TopicServers, id, nil)
		case 2:
			c.cluster.metadata.Put(platform.TopicServers, id, []byte("{garbled"))
		default:
			continue
		}
		time.AfterFunc(300*time.Millisecond, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			if c.records[id] != nil {
				c.heartbeats++
				record = bytes.Replace(record, []byte(`"sequence":1,`), []byte(fmt.Sprintf(`"sequence":%d,`, 1+c.heartbeats)), 1)
				c.cluster.metadata.Put(platform.TopicServers, id, record)
			}
		})
	}
}

// start starts a server at an address.
func (c *crashingService) start(address string) { c.startAs("", address) }

// startAs starts a server with an ID at an address, with a new ID if that is empty.
func (c *crashingService) startAs(id, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return
	}
	l, err := net.Listen("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	c.starts++
	if id == "" {
		id = fmt.Sprint("crashing-", c.starts)
	}
	hung := make(chan struct{})
	s := &http.Server{ReadHeaderTimeout: time.Second}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("Primrosehook-Request-Id", q.Header.Get("Primrosehook-Request-Id"))
		if q.Header.Get("Primrosehook-Expect-Instance") != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		time.Sleep(20 * time.Millisecond)
		select {
		case <-hung:
			// The server has ended without a word.
			<-q.Context().Done()
			panic(http.ErrAbortHandler)
		default:
		}
		w.Header().Set("Primrosehook-Server-Signature", id)
		if c.models != "[]" {
			_ = http.NewResponseController(w).Flush()
		}
		if c.isFatal(q) {
			c.crash(q, id, l, s, hung)
		}
		for i := range 5 {
			if c.models == "[]" {
				break
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i+1)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(20 * time.Millisecond)
		}
		if c.models == "[]" {
			_, _ = fmt.Fprint(w, id)
		}
	})
	c.servers[id] = s
	go func() { _ = s.Serve(l) }()
	if c.records == nil {
		c.records = map[string][]byte{}
	}
	c.records[id] = []byte(fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":"z1","slots":8,"state":"ready","sequence":1,"born":%d,"models":%s}`, c.name, l.Addr(), time.Now().UnixMilli(), c.models))
	c.cluster.metadata.Put(platform.TopicServers, id, c.records[id])
}

// crash ends a server under a request.
func (c *crashingService) crash(q *http.Request, id string, l net.Listener, s *http.Server, hung chan struct{}) {
	address := l.Addr().String()
	c.mu.Lock()
	if c.servers[id] != s {
		// Another request has crashed it.
		c.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	c.crashes = append(c.crashes, time.Now())
	delete(c.servers, id)
	delete(c.records, id)
	silent, restart := c.silent, cmp.Or(c.restart, time.Second)
	c.mu.Unlock()
	if silent {
		close(hung)
		_ = l.Close()
		time.AfterFunc(restart, func() { c.startAs(id, address) })
		<-q.Context().Done()
		panic(http.ErrAbortHandler)
	}
	_ = s.Close()
	c.cluster.metadata.Put(platform.TopicServers, id, nil)
	time.AfterFunc(restart, func() { c.start(address) })
	panic(http.ErrAbortHandler)
}

func (c *crashingService) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	for _, s := range c.servers {
		_ = s.Close()
	}
}

var _ = Describe("A request that crashes the servers of a service", func() {
	// Guards against a service that is down again and again under one request, which its
	// client sends to any instance, with another query and from another address each time.
	It("reaches servers three times at most once three have crashed under it", func() {
		g := newCluster(3)
		const fatalPath = "/form/crash"
		c := &crashingService{
			cluster: g, name: "api", models: "[]", isFatal: func(q *http.Request) bool { return q.URL.Path == fatalPath }, servers: map[string]*http.Server{},
		}
		DeferCleanup(c.close)
		g.metadata.Put(platform.TopicServers, g.engines[2].ID, nil)
		for range 3 {
			c.start("127.0.0.1:0")
		}
		g.allReady()
		stop := make(chan struct{})
		var clients sync.WaitGroup
		DeferCleanup(clients.Wait)
		DeferCleanup(sync.OnceFunc(func() { close(stop) }))
		send := func(path string, pause time.Duration) {
			for {
				select {
				case <-stop:
					return
				case <-time.After(pause):
				}
				ip := net.IPv4(127, 0, 0, byte(1+rand.N(200)))
				client := http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{
					DisableKeepAlives: true, DialContext: (&net.Dialer{LocalAddr: &net.TCPAddr{IP: ip}}).DialContext,
				}}
				q, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s%s?page=%d", g.fronts[rand.N(len(g.fronts))], path, rand.N(1000)), strings.NewReader("x"))
				if err != nil {
					return
				}
				q.Host = "h"
				q.Header.Set("Primrosehook-Request-Id", fmt.Sprint(rand.Uint64()))
				q.Header.Set("Primrosehook-Request-Deadline", "3000")
				if p, err := client.Do(q); err == nil {
					_ = p.Body.Close()
				}
			}
		}
		for i := range 6 {
			clients.Go(func() { send(fmt.Sprint("/form/", i), 30*time.Millisecond) })
		}
		clients.Go(func() { send(fatalPath, 150*time.Millisecond) })
		time.Sleep(12 * time.Second)
		c.mu.Lock()
		defer c.mu.Unlock()
		Expect(len(c.crashes)).To(BeNumerically(">=", 1))
		later := 0
		for i, at := range c.crashes {
			if i >= 3 && at.Sub(c.crashes[2]) > 3*time.Second {
				later++
			}
		}
		Expect(later).To(BeNumerically("<=", 3), "crashes: %d", len(c.crashes))
		Expect(len(c.crashes)).To(BeNumerically("<=", 6))
	})
})

// partLog has the arrivals of requests with a fatal part at servers.
type partLog struct {
	mu       sync.Mutex
	arrivals []time.Time
}

var _ = Describe("A part of the prompt that crashes the servers of a service", func() {
	// Guards against servers that are down again and again under requests that have one
	// part of their prompts in common and differ otherwise, at any instance, and against
	// refusing sound requests that share the other parts.
	It("reaches servers three times at most once five have crashed under it, and others are served", func() {
		const instances, servers = 6, 9
		g := newCluster(instances)
		for _, e := range g.engines[:2] {
			g.metadata.Put(platform.TopicServers, e.ID, nil)
		}
		var fatal partLog
		c := &crashingService{cluster: g, name: "llm", models: `[{"name":"m0","version":1,"adapters":[]}]`, servers: map[string]*http.Server{}}
		c.isFatal = func(q *http.Request) bool {
			if !strings.Contains(q.Header.Get("Primrosehook-Prompt-Prefix"), "dead") {
				return false
			}
			fatal.mu.Lock()
			defer fatal.mu.Unlock()
			fatal.arrivals = append(fatal.arrivals, time.Now())
			return true
		}
		DeferCleanup(c.close)
		for range servers {
			c.start("127.0.0.1:0")
		}
		g.allReady()
		stop := make(chan struct{})
		var clients sync.WaitGroup
		DeferCleanup(clients.Wait)
		DeferCleanup(sync.OnceFunc(func() { close(stop) }))
		// outcomes are when sound requests were sent, and whether they were served.
		type outcome struct {
			at     time.Time
			served bool
		}
		var mu sync.Mutex
		var outcomes []outcome
		send := func(middle string, pause time.Duration) {
			for {
				select {
				case <-stop:
					return
				case <-time.After(pause/2 + rand.N(pause)):
				}
				q, err := http.NewRequest(http.MethodPost, "http://"+g.fronts[rand.N(instances)]+"/chat/1", strings.NewReader(fmt.Sprint(rand.Uint64())))
				if err != nil {
					return
				}
				q.Host = "h"
				q.Header.Set("Primrosehook-Request-Id", fmt.Sprint(rand.Uint64()))
				q.Header.Set("Primrosehook-Request-Deadline", "4000")
				q.Header.Set("Primrosehook-Model", "m0")
				q.Header.Set("Primrosehook-Prompt-Prefix", fmt.Sprintf("f1:100,%s,%x:20", middle, rand.Uint32()))
				at := time.Now()
				p, err := (&http.Client{Timeout: 4 * time.Second}).Do(q)
				served := err == nil && p.StatusCode == http.StatusOK
				if err == nil {
					_, _ = io.Copy(io.Discard, p.Body)
					_ = p.Body.Close()
				}
				if !strings.Contains(middle, "dead") {
					mu.Lock()
					outcomes = append(outcomes, outcome{at, served})
					mu.Unlock()
				}
			}
		}
		for i := range 12 {
			clients.Go(func() { send(fmt.Sprintf("5e%d:50", i%4), 100*time.Millisecond) })
		}
		time.Sleep(2 * time.Second)
		begin := time.Now()
		clients.Go(func() { send("5e0:50,dead1:30", 400*time.Millisecond) })
		time.Sleep(14 * time.Second)
		c.mu.Lock()
		crashes := slices.Clone(c.crashes)
		c.mu.Unlock()
		Expect(len(crashes)).To(BeNumerically(">=", 3))
		fifth := crashes[min(len(crashes), 5)-1]
		late := 0
		fatal.mu.Lock()
		for _, at := range fatal.arrivals {
			if at.Sub(fifth) > 3*time.Second {
				late++
			}
		}
		fatal.mu.Unlock()
		Expect(late).To(BeNumerically("<=", 3), "crashes: %d", len(crashes))
		var before, after, servedBefore, servedAfter int
		mu.Lock()
		defer mu.Unlock()
		for _, o := range outcomes {
			switch {
			case o.at.Before(begin):
				before++
				if o.served {
					servedBefore++
				}
			case o.at.Sub(crashes[2]) > 6*time.Second:
				after++
				if o.served {
					servedAfter++
				}
			}
		}
		Expect(min(before, after)).To(BeNumerically(">=", 20))
		Expect(float64(servedAfter)/float64(after)).To(BeNumerically(">=", 0.5*float64(servedBefore)/float64(before)), "%d of %d served, %d of %d before", servedAfter, after, servedBefore, before)
	})
})
