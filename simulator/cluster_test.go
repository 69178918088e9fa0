package simulator_test

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
	// waitLimit limits every wait for the processes.
	waitLimit = "60s"
)

// cluster is a set of real processes: a platform, plain services and entry
// instances. Its seed determines the injected faults.
type cluster struct {
	*launcher.Cluster
	seed     int64
	platform *launcher.Process
	services *launcher.Process

	mu      sync.Mutex
	random  *rand.Rand
	entries []*launcher.Process
}

// ruleList returns a rule list with the given name.
func ruleList(name string) string {
	return fmt.Sprintf(`name: %s
models: [{name: tiny, pool: gpu, memory: 1}]
services: [{name: kiosk, pool: kiosk, writes: [/receipts]}]
rules: [{name: all, when: true, then: {class: urgent, queue: 2s}}]
`, name)
}

func startCluster(ctx context.Context, programs launcher.Programs, seed int64) *cluster {
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

// randomEntry returns a random entry instance.
func (c *cluster) randomEntry() *launcher.Process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.entries[c.random.Intn(len(c.entries))]
}

// allEntries returns the running entry instances.
func (c *cluster) allEntries() []*launcher.Process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*launcher.Process(nil), c.entries...)
}

// replaceEntry kills a random entry instance and starts another.
func (c *cluster) replaceEntry(ctx context.Context) {
	c.mu.Lock()
	i := c.random.Intn(len(c.entries))
	victim := c.entries[i]
	c.entries = slices.Delete(c.entries, i, i+1)
	c.mu.Unlock()
	Expect(victim.Kill()).To(Succeed())
	c.addEntry(ctx)
}

// injectFault injects one random fault. It removes the fault before it returns,
// except for lost replies, which end after a number of requests.
func (c *cluster) injectFault(ctx context.Context) {
	switch c.intn(5) {
	case 0:
		c.replaceEntry(ctx)
	case 1:
		// A concurrent fault injection may have killed the process.
		p := c.randomEntry()
		_ = p.Suspend()
		c.pause(1500)
		_ = p.Resume()
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

// faultInjection injects one fault on its own goroutine, so that two faults may
// overlap.
type faultInjection struct {
	cluster *cluster
	group   *sync.WaitGroup
}

func (m *faultInjection) run(ctx context.Context) {
	defer GinkgoRecover()
	defer m.group.Done()
	m.cluster.injectFault(ctx)
}

// pause sleeps for a random time between half of ms and one and a half times ms
// milliseconds.
func (c *cluster) pause(ms int) { time.Sleep(time.Duration(ms/2+c.intn(ms)) * time.Millisecond) }

func (c *cluster) setLog(ctx context.Context, f faker.Faults) {
	Expect(launcher.Put(ctx, c.platform.URL()+"/faults/log", faker.LogFaults{Faults: f})).To(Succeed())
}

// clearFaults removes the faults of the log and of all servers.
func (c *cluster) clearFaults(ctx context.Context) {
	c.setLog(ctx, faker.Faults{})
	for n := range servers {
		Expect(launcher.Put(ctx, c.services.Member(n)+"/faults", faker.ServiceFaults{})).To(Succeed())
	}
}

// runCounts returns how often each key ran, over all servers.
func (c *cluster) runCounts(ctx context.Context) map[string]int {
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

// response is what a client or an operator received.
type response struct {
	status  int
	header  http.Header
	body    string
	verdict judge.Verdict
	err     error
}

// sendRequest sends a request and reads the response. If the response is not
// complete, the request may have run.
func sendRequest(ctx context.Context, method, url, key, body string, timeout time.Duration) response {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return response{err: err, verdict: judge.NotRun}
	}
	if key != "" {
		q.Header.Set("Idempotency-Key", key)
	}
	p, err := http.DefaultClient.Do(q)
	if err != nil {
		return response{err: err, verdict: judge.FromNetworkError(err, "entry", "entry instance").Verdict}
	}
	defer p.Body.Close()
	data, err := io.ReadAll(io.LimitReader(p.Body, 1<<20))
	if err != nil {
		return response{err: err, verdict: judge.MayHaveRun}
	}
	a := response{status: p.StatusCode, header: p.Header, body: string(data), verdict: judge.Ran}
	if p.StatusCode >= http.StatusMultipleChoices {
		a.verdict = judge.Parse(p.Header.Get(judge.Header))
	}
	return a
}

// logHangs makes the log answer no requests.
var logHangs = faker.Faults{Outage: faker.OutageHang}

var programs launcher.Programs

var _ = BeforeSuite(func(ctx context.Context) {
	dir, err := os.MkdirTemp("", "simulator")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(os.RemoveAll, dir)
	programs, err = launcher.Build(ctx, dir)
	Expect(err).NotTo(HaveOccurred())
})
