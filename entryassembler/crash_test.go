package entryassembler_test

import (
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
// are back a second later at the same address as new incarnations.
type crashingService struct {
	cluster *cluster
	name    string
	// models are the loaded models as in a registration.
	models string
	// isFatal reports whether a request crashes its server; a fatal stream does so after
	// the head of its answer.
	isFatal func(q *http.Request) bool
	mu      sync.Mutex
	starts  int
	crashes []time.Time
	closing bool
	servers map[string]*http.Server
}

// start starts a server at an address.
func (c *crashingService) start(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return
	}
	l, err := net.Listen("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	c.starts++
	id := fmt.Sprint("crashing-", c.starts)
	s := &http.Server{ReadHeaderTimeout: time.Second}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("Primrosehook-Request-Id", q.Header.Get("Primrosehook-Request-Id"))
		if q.Header.Get("Primrosehook-Expect-Instance") != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		time.Sleep(20 * time.Millisecond)
		w.Header().Set("Primrosehook-Server-Signature", id)
		if c.models != "[]" {
			_ = http.NewResponseController(w).Flush()
		}
		if c.isFatal(q) {
			c.crash(id, l.Addr().String(), s)
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
	c.cluster.metadata.Put(platform.TopicServers, id, []byte(fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":"z1","slots":8,"state":"ready","sequence":1,"born":%d,"models":%s}`, c.name, l.Addr(), time.Now().UnixMilli(), c.models)))
}

// crash ends a server under a request.
func (c *crashingService) crash(id, address string, s *http.Server) {
	c.mu.Lock()
	c.crashes = append(c.crashes, time.Now())
	delete(c.servers, id)
	c.mu.Unlock()
	_ = s.Close()
	c.cluster.metadata.Put(platform.TopicServers, id, nil)
	time.AfterFunc(time.Second, func() { c.start(address) })
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
