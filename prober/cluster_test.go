package prober_test

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/faker"
	"primrosehook/judge"
	"primrosehook/launcher"
)

const (
	servers = 3
	entries = 4
	// slack bounds every wait for the processes.
	slack = "60s"
)

// cluster is real processes: a platform, plain services and entry instances,
// and what trouble a seed makes for them.
type cluster struct {
	*launcher.Cluster
	seed     int64
	platform *launcher.Process
	services *launcher.Process

	mu      sync.Mutex
	random  *rand.Rand
	entries []*launcher.Process
}

func rules(name string) string {
	return fmt.Sprintf(`name: %s
models: [{name: tiny, pool: gpu, memory: 1}]
services: [{name: kiosk, pool: kiosk, writes: [/receipts]}]
rules: [{name: all, when: true, then: {class: urgent, queue: 2s}}]
`, name)
}

func start(ctx context.Context, programs launcher.Programs, seed int64) *cluster {
	c := &cluster{Cluster: launcher.New(programs, GinkgoWriter), seed: seed, random: rand.New(rand.NewSource(seed))}
	DeferCleanup(func() { c.Stop() })
	var err error
	c.platform, err = c.Platform(ctx, "-list-renewal", "3s")
	Expect(err).NotTo(HaveOccurred())
	c.services, err = c.Service(ctx, "-pool", "kiosk", "-count", strconv.Itoa(servers))
	Expect(err).NotTo(HaveOccurred())
	for range entries {
		c.addEntry(ctx)
	}
	return c
}

func (c *cluster) addEntry(ctx context.Context) {
	p, err := c.Entry(ctx, "-linger", "1s")
	Expect(err).NotTo(HaveOccurred())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries = append(c.entries, p)
}

func (c *cluster) intn(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.Intn(n)
}

func (c *cluster) pick() *launcher.Process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.entries[c.random.Intn(len(c.entries))]
}

func (c *cluster) each() []*launcher.Process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*launcher.Process(nil), c.entries...)
}

// replace kills an entry instance and starts another.
func (c *cluster) replace(ctx context.Context) {
	c.mu.Lock()
	i := c.random.Intn(len(c.entries))
	victim := c.entries[i]
	c.entries = slices.Delete(c.entries, i, i+1)
	c.mu.Unlock()
	Expect(victim.Kill()).To(Succeed())
	c.addEntry(ctx)
}

// trouble makes one kind of trouble and ends it.
func (c *cluster) trouble(ctx context.Context) {
	switch c.intn(5) {
	case 0:
		c.replace(ctx)
	case 1:
		// The other mischief may have killed the process.
		p := c.pick()
		_ = p.Freeze()
		c.pause(1500)
		_ = p.Thaw()
	case 2:
		modes := []string{faker.OutageRefuse, faker.OutageHang, faker.OutageDrop}
		c.setLog(ctx, faker.Faults{Outage: modes[c.intn(len(modes))]})
		c.pause(1200)
		c.setLog(ctx, faker.Faults{})
	case 3:
		c.setLog(ctx, faker.Faults{LoseReplies: 4 + c.intn(12)})
		c.pause(400)
	case 4:
		server := c.services.Member(c.intn(servers))
		Expect(launcher.Put(ctx, server+"/faults", faker.ServiceFaults{Faults: faker.Faults{LoseReplies: 2}})).To(Succeed())
		c.pause(300)
	}
}

// mischief is one trouble on a goroutine of its own, so that two may come
// together.
type mischief struct {
	cluster *cluster
	group   *sync.WaitGroup
}

func (m *mischief) run(ctx context.Context) {
	defer GinkgoRecover()
	defer m.group.Done()
	m.cluster.trouble(ctx)
}

func (c *cluster) pause(ms int) { time.Sleep(time.Duration(ms/2+c.intn(ms)) * time.Millisecond) }

func (c *cluster) setLog(ctx context.Context, f faker.Faults) {
	Expect(launcher.Put(ctx, c.platform.URL()+"/faults/log", faker.LogFaults{Faults: f})).To(Succeed())
}

// heal ends all trouble and waits until every entry instance takes work.
func (c *cluster) heal(ctx context.Context) {
	c.setLog(ctx, faker.Faults{})
	for n := range servers {
		Expect(launcher.Put(ctx, c.services.Member(n)+"/faults", faker.ServiceFaults{})).To(Succeed())
	}
}

// runs returns how often each key ran, over all servers.
func (c *cluster) runs(ctx context.Context) map[string]int {
	counts := map[string]int{}
	for n := range servers {
		var ran map[string]faker.Run
		Expect(launcher.Get(ctx, c.services.Member(n)+"/ran", &ran)).To(Succeed())
		for key, r := range ran {
			counts[key] += r.Count
		}
	}
	return counts
}

// answer is what a caller or an operator got.
type answer struct {
	status  int
	header  http.Header
	body    string
	verdict judge.Verdict
	err     error
}

// ask sends a request. One without an answer may have run.
func ask(ctx context.Context, method, url, key, body string, limit time.Duration) answer {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return answer{err: err, verdict: judge.NotRun}
	}
	if key != "" {
		q.Header.Set("Idempotency-Key", key)
	}
	p, err := http.DefaultClient.Do(q)
	if err != nil {
		return answer{err: err, verdict: judge.FromNetworkError(err, "entry", "entry instance").Verdict}
	}
	defer p.Body.Close()
	data, err := io.ReadAll(io.LimitReader(p.Body, 1<<20))
	if err != nil {
		return answer{err: err, verdict: judge.MayHaveRun}
	}
	a := answer{status: p.StatusCode, header: p.Header, body: string(data), verdict: judge.Ran}
	if p.StatusCode >= http.StatusMultipleChoices {
		a.verdict = judge.Parse(p.Header.Get(judge.Header))
	}
	return a
}

// faultsHang has the log answer nothing.
var faultsHang = faker.Faults{Outage: faker.OutageHang}

var programs launcher.Programs

var _ = BeforeSuite(func(ctx context.Context) {
	dir, err := os.MkdirTemp("", "prober")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(os.RemoveAll, dir)
	programs, err = launcher.Build(ctx, dir)
	Expect(err).NotTo(HaveOccurred())
})
