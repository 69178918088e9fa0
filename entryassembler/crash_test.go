package entryassembler_test

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/platform"
)

// crashingService is a plain service of some servers that crash under a request, and
// are back a second later at the same address as new incarnations.
type crashingService struct {
	cluster *cluster
	path    string
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
		if q.URL.Path == c.path {
			c.crash(id, l.Addr().String(), s)
		}
		w.Header().Set("Primrosehook-Server-Signature", id)
		_, _ = fmt.Fprint(w, id)
	})
	c.servers[id] = s
	go func() { _ = s.Serve(l) }()
	c.cluster.metadata.Put(platform.TopicServers, id, []byte(fmt.Sprintf(
		`{"service":"api","address":%q,"zone":"z1","slots":8,"state":"ready","sequence":1,"born":%d,"models":[]}`, l.Addr(), time.Now().UnixMilli())))
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
		c := &crashingService{cluster: g, path: "/form/crash", servers: map[string]*http.Server{}}
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
		clients.Go(func() { send(c.path, 150*time.Millisecond) })
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
