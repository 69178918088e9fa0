package main_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"primrosehook/faker"
	"primrosehook/platform"
)

// The cap of the account "capped", in requests.
const processCapRate, processCapBurst = 20.0, 20.0

// processConfig returns a version of the configuration; the key "revoked" is in it until it is revoked.
func processConfig(version int, revoked bool) []byte {
	keys := `["revoked"]`
	if revoked {
		keys = `[]`
	}
	return fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"form","host":"h","path-prefix":"/form/","kind":"idempotent","timeout-ms":2000,"target-latency-ms":100,"service":"api","max-attempts":2},
  {"name":"cap","host":"h","path-prefix":"/cap/","kind":"idempotent","timeout-ms":2000,"target-latency-ms":100,"service":"cap","max-attempts":2}],
 "tenants":[{"name":"a","api-keys":%s},{"name":"b","api-keys":["kept"]},{"name":"c","api-keys":["capped"],"unit":"requests","rate-per-s":%v,"burst":%v}],
 "services":[{"name":"api"},{"name":"cap"}],"limits":{"max-body-bytes":1000000}}`, version, keys, processCapRate, processCapBurst)
}

const processSettings = `node = "front-%d"
ip = %q
zone = "z1"
seeds = [%q]
bootstrap = %t
[listen-addrs]
front = %q
ready = %q
control = %q
[limits]
memory-mb = 284
max-fds = 4100
link-mbps = 1000.0
[bounds]
drain-ms = 2000
grace-s = 3
lease-ms = 300
retry-budget-ratio = 0.2
budget-window-s = 10
budget-slack = 58
ceiling-window-s = 5
ceiling-overage = 1.1
quota-window-s = 8
quota-overage = 0.1
[platform]
address = %q
form = "log"
`

// mostIn returns the most times in any window.
func mostIn(times []time.Time, window time.Duration) int {
	most, first := 0, 0
	for i, t := range times {
		for t.Sub(times[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// entryProcess is a process of an entry instance.
type entryProcess struct {
	front, ready, control, metrics string
	session                        *gexec.Session
}

// runEntries starts entry instances on a store.
func runEntries(store string, count int) []*entryProcess {
	var all []*entryProcess
	for range count {
		all = append(all, &entryProcess{front: freeAddr(), ready: freeAddr(), control: freeAddr(), metrics: freeAddr()})
	}
	for i := range all {
		runEntry(all, i, store, true)
	}
	return all
}

// runEntry starts a process of an instance, and awaits that it is ready.
func runEntry(all []*entryProcess, i int, store string, first bool) {
	p := all[i]
	ip, port, _ := net.SplitHostPort(p.metrics)
	path := filepath.Join(GinkgoT().TempDir(), "settings.toml")
	text := fmt.Sprintf(processSettings, i, ip, all[0].control, first, p.front, p.ready, p.control, store)
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	p.session = start(hookPath, "entry", "-settings", path, "-metrics", port)
	Eventually(func() int {
		a, err := http.Get("http://" + p.ready + "/-/readiness")
		if err != nil {
			return 0
		}
		_ = a.Body.Close()
		return a.StatusCode
	}, "15s", "50ms").Should(Equal(http.StatusOK))
}

// holdsLease reports whether the instance's metrics say that it holds the lease.
func (p *entryProcess) holdsLease() bool {
	a, err := http.Get("http://" + p.metrics)
	if err != nil {
		return false
	}
	defer a.Body.Close()
	for lines := bufio.NewScanner(a.Body); lines.Scan(); {
		if name, value, _ := strings.Cut(lines.Text(), " "); strings.HasSuffix(name, "lease_held") && value == "1" {
			return true
		}
	}
	return false
}

// ask sends a request with a key, to a server of its own if it has a cap, and returns the status, 0 without an answer.
func (p *entryProcess) ask(key string) int {
	path := "/form/1"
	if key == "capped" {
		path = "/cap/1"
	}
	q, err := http.NewRequest(http.MethodPost, "http://"+p.front+path, strings.NewReader("x"))
	Expect(err).NotTo(HaveOccurred())
	q.Host = "h"
	q.Header.Set("Primrosehook-Request-Id", "q")
	q.Header.Set("Primrosehook-Request-Deadline", "2000")
	q.Header.Set("Primrosehook-Key", key)
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0
	}
	_ = a.Body.Close()
	return a.StatusCode
}

var _ = Describe("Client accounts when the process of the lease holder is killed", func() {
	// The load: three processes, a key that asks for three times its cap, and two without caps. The
	// lease holder gets SIGKILL at the moment of a version that revokes a key, and starts again 4 s later.
	// Guards against a revoked key that is served, against other keys that are refused, and against a
	// cap that is exceeded by a new holder or a deputy beside what the killed one granted.
	It("keep revoked keys out, other keys served and usage inside the cap", func() {
		metadata := faker.NewMetadataStore()
		store := httptest.NewServer(metadata)
		DeferCleanup(store.Close)
		servers := map[string]*faker.ModelServer{}
		for i, service := range []string{"api", "cap"} {
			m := faker.NewModelServer(fmt.Sprint("i-", i))
			server := httptest.NewServer(m)
			DeferCleanup(server.Close)
			metadata.Put(platform.TopicServers, m.ID, m.Registration(service, server.Listener.Addr().String(), "z1", "ready", 1))
			servers[service] = m
		}
		metadata.Put(platform.TopicOperator, platform.KeyConfig, processConfig(4, false))
		all := runEntries(store.Listener.Addr().String(), 3)
		holder := -1
		Eventually(func() int {
			for i, p := range all {
				if p.holdsLease() {
					holder = i
				}
			}
			return holder
		}, "15s", "100ms").Should(BeNumerically(">=", 0))
		for _, p := range all {
			Eventually(func() int { return p.ask("kept") }, "10s", "50ms").Should(Equal(200))
		}

		var work sync.WaitGroup
		var mu sync.Mutex
		codes := map[string]map[int]int{"kept": {}, "revoked": {}, "revoked later": {}, "capped": {}}
		var changed time.Time
		stop := make(chan struct{})
		for i, p := range all {
			if i == holder {
				continue
			}
			for key, pause := range map[string]time.Duration{"kept": 100 * time.Millisecond, "revoked": 100 * time.Millisecond, "capped": 33 * time.Millisecond} {
				work.Go(func() {
					defer GinkgoRecover()
					for {
						select {
						case <-stop:
							return
						case <-time.After(pause):
						}
						sent := time.Now()
						code := p.ask(key)
						mu.Lock()
						name := key
						if key == "revoked" && !changed.IsZero() && sent.Sub(changed) > 3*time.Second {
							name = "revoked later"
						}
						codes[name][code]++
						mu.Unlock()
					}
				})
			}
		}
		time.Sleep(4 * time.Second)
		metadata.Put(platform.TopicOperator, platform.KeyConfig, processConfig(5, true))
		all[holder].session.Kill().Wait("5s")
		mu.Lock()
		changed = time.Now()
		mu.Unlock()
		time.Sleep(4 * time.Second)
		runEntry(all, holder, store.Listener.Addr().String(), false)
		Expect(all[holder].ask("revoked")).To(Equal(401), "the instance that has started again")
		time.Sleep(5 * time.Second)
		close(stop)
		work.Wait()

		AddReportEntry("answers", fmt.Sprint(codes))
		Expect(codes["kept"]).To(And(HaveLen(1), HaveKey(200)))
		Expect(codes["revoked"]).To(HaveKey(200))
		Expect(codes["revoked later"]).To(And(HaveLen(1), HaveKey(401)))
		for code := range codes["revoked"] {
			Expect(code).To(Or(Equal(200), Equal(401)))
		}
		for code := range codes["capped"] {
			Expect(code).To(Or(Equal(200), Equal(429)))
		}
		Expect(codes["capped"]).To(And(HaveKey(200), HaveKey(429)))
		// The bound of the specification without its slack, which is meant for tokens.
		Expect(mostIn(servers["cap"].Arrivals(), 8*time.Second)).To(And(
			BeNumerically("<=", (8*processCapRate+processCapBurst)*1.1), BeNumerically(">", 0.5*8*processCapRate)))
	})
})
