package upgrader_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/faker"
	"primrosehook/platform"
)

// earlierBuild is the commit of the earlier build, UPGRADER_OLD sets another one.
const earlierBuild = "e1e5c9f"

const configuration = `{"version":3,"routes":[
 {"name":"chat","host":"h","path-prefix":"/chat/","kind":"streaming","timeout-ms":4000,"target-latency-ms":600,"service":"llm","max-attempts":2,"resumable":true,"gap-aim-ms":300},
 {"name":"book","host":"h","path-prefix":"/book/","kind":"non_idempotent","timeout-ms":2000,"target-latency-ms":100,"service":"api","max-attempts":2},
 {"name":"form","host":"h","path-prefix":"/form/","kind":"idempotent","timeout-ms":2000,"target-latency-ms":100,"service":"api","max-attempts":2}],
 "services":[{"name":"llm","engine":{"slots":8,"kv-capacity":100000,"weights-mb":230,"adapter-slots":8,"loads-per-s":2.8,
  "models":[{"name":"m0","weights-mb":72,"load-s":0.05},{"name":"m1","weights-mb":72,"load-s":0.05}]}},{"name":"api"}],
 "limits":{"max-body-bytes":1000000}}`

const settings = `node = %q
ip = "127.0.0.1"
zone = "z1"
seeds = [%s]
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
[platform]
address = %q
form = "log"
`

// runs counts how often the servers ran each request.
type runs struct {
	mu    sync.Mutex
	count map[string]int
}

// counted returns a handler that counts the requests that a server runs.
func (r *runs) counted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if id := q.Header.Get("Primrosehook-Request-Id"); id != "" && !strings.HasPrefix(q.URL.Path, "/-/") {
			r.mu.Lock()
			r.count[id]++
			r.mu.Unlock()
		}
		next.ServeHTTP(w, q)
	})
}

// mixedFleet is a fleet of processes of two builds on stand-ins of the platform.
type mixedFleet struct {
	programs  map[string]string
	dir       string
	store     *faker.MetadataStore
	engines   []*faker.ModelServer
	runs      runs
	addresses [][3]string
	processes []*exec.Cmd
	// down is set while an instance is being replaced.
	down []atomic.Bool
}

// buildPrograms builds the program of this tree and that of an earlier commit.
func buildPrograms(dir, commit string) map[string]string {
	top, err := exec.Command("git", "rev-parse", "--show-toplevel").Output()
	if err != nil {
		Skip("there is no history to build an earlier commit from: " + err.Error())
	}
	root := strings.TrimSpace(string(top))
	archive := exec.Command("git", "archive", commit)
	archive.Dir = root
	source, err := archive.Output()
	if err != nil {
		Skip("the history does not reach back to " + commit + "; it is shallow")
	}
	old := filepath.Join(dir, "source")
	Expect(os.Mkdir(old, 0o755)).To(Succeed())
	untar := exec.Command("tar", "-x", "-C", old)
	untar.Stdin = bytes.NewReader(source)
	Expect(untar.Run()).To(Succeed())
	programs := map[string]string{"earlier": filepath.Join(dir, "earlier"), "this": filepath.Join(dir, "this")}
	for name, from := range map[string]string{"earlier": old, "this": root} {
		build := exec.Command("go", "build", "-o", programs[name], "./cmd/primrosehook")
		build.Dir = from
		out, err := build.CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), string(out))
	}
	return programs
}

func freeAddress() string {
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+rand.N(254), rand.N(256), 1+rand.N(254)))
	Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	return l.Addr().String()
}

func newMixedFleet(programs map[string]string, dir string, instances int, build string) *mixedFleet {
	f := &mixedFleet{programs: programs, dir: dir, store: faker.NewMetadataStore(), runs: runs{count: map[string]int{}}, down: make([]atomic.Bool, instances)}
	store := httptest.NewServer(f.store)
	DeferCleanup(store.Close)
	f.store.Put(platform.TopicOperator, platform.KeyConfig, []byte(configuration))
	for i, service := range []string{"llm", "llm", "api"} {
		e := faker.NewModelServer(fmt.Sprintf("i-%d", i), "m0")
		e.LoadTime = 50 * time.Millisecond
		s := httptest.NewServer(f.runs.counted(e))
		DeferCleanup(s.Close)
		f.engines = append(f.engines, e)
		f.store.Put(platform.TopicServers, e.ID, e.Registration(service, s.Listener.Addr().String(), "z1", "ready", 1))
	}
	for range instances {
		f.addresses = append(f.addresses, [3]string{freeAddress(), freeAddress(), freeAddress()})
	}
	for i, a := range f.addresses {
		text := fmt.Sprintf(settings, fmt.Sprint("front-", i), fmt.Sprintf("%q", f.addresses[0][2]), a[0], a[1], a[2], store.Listener.Addr().String())
		Expect(os.WriteFile(f.settingsFile(i), []byte(text), 0o600)).To(Succeed())
		f.processes = append(f.processes, nil)
		f.start(i, build)
	}
	DeferCleanup(func() {
		for i := range f.processes {
			f.stop(i, syscall.SIGKILL)
		}
	})
	for i := range f.addresses {
		f.awaitReady(i)
	}
	return f
}

func (f *mixedFleet) settingsFile(i int) string { return filepath.Join(f.dir, fmt.Sprint(i, ".toml")) }

// start starts an instance of a build.
func (f *mixedFleet) start(i int, build string) {
	p := exec.Command(f.programs[build], "entry", "-settings", f.settingsFile(i))
	p.Stdout, p.Stderr = GinkgoWriter, GinkgoWriter
	Expect(p.Start()).To(Succeed())
	f.processes[i] = p
}

// stop ends an instance by a signal and waits for its end.
func (f *mixedFleet) stop(i int, signal os.Signal) {
	if f.processes[i] == nil {
		return
	}
	f.down[i].Store(true)
	_ = f.processes[i].Process.Signal(signal)
	_ = f.processes[i].Wait()
	f.processes[i] = nil
}

func (f *mixedFleet) awaitReady(i int) {
	Eventually(func() int {
		p, err := http.Get("http://" + f.addresses[i][1] + "/-/readiness")
		if err != nil {
			return 0
		}
		_ = p.Body.Close()
		return p.StatusCode
	}, "15s", "50ms").Should(Equal(http.StatusOK))
	f.down[i].Store(false)
}

// replace replaces an instance by one of a build.
func (f *mixedFleet) replace(i int, signal os.Signal, build string) {
	f.stop(i, signal)
	f.start(i, build)
	f.awaitReady(i)
}

// send sends a request to an instance, as a client with a connection of its own.
func (f *mixedFleet) send(i int, id, path, model string) (int, string) {
	q, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+f.addresses[i][0]+path, strings.NewReader("x"))
	Expect(err).NotTo(HaveOccurred())
	q.Host, q.Close = "h", true
	q.Header.Set("Primrosehook-Request-Id", id)
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
	if err != nil {
		return 0, err.Error()
	}
	return p.StatusCode, string(body)
}

// loop sends one request after the other to instances that are not being replaced, until the
// context ends, and counts those that are not answered with success on the second try at the
// latest.
func (f *mixedFleet) loop(ctx context.Context, name, path, model string, sent, failed *atomic.Int64) {
	for n := 0; ctx.Err() == nil; n++ {
		served := false
		for try := 0; try < 2 && !served; try++ {
			i := rand.N(len(f.addresses))
			for f.down[i].Load() && ctx.Err() == nil {
				i = rand.N(len(f.addresses))
			}
			code, _ := f.send(i, fmt.Sprint(name, "-", n, "-", try), path, model)
			served = code == http.StatusOK
		}
		sent.Add(1)
		if !served {
			failed.Add(1)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

var _ = Describe("A fleet of two builds", Ordered, func() {
	var programs map[string]string
	BeforeAll(func() {
		commit := os.Getenv("UPGRADER_OLD")
		if commit == "" {
			commit = earlierBuild
		}
		programs = buildPrograms(GinkgoT().TempDir(), commit)
	})

	// Guards against an upgrade for which the fleet has to be stopped: requests that run twice,
	// answers that are lost, orders that nobody sends while the builds are mixed.
	DescribeTable("serves while its instances are replaced one after the other", func(from, to string) {
		const instances = 4
		f := newMixedFleet(programs, GinkgoT().TempDir(), instances, from)
		ctx, cancel := context.WithCancel(context.Background())
		var clients sync.WaitGroup
		var sent, failed atomic.Int64
		for i := range 3 {
			clients.Go(func() { f.loop(ctx, fmt.Sprint("form", i), "/form/1", "", &sent, &failed) })
			clients.Go(func() { f.loop(ctx, fmt.Sprint("book", i), "/book/1", "", &sent, &failed) })
			clients.Go(func() { f.loop(ctx, fmt.Sprint("chat", i), "/chat/1", "m0", &sent, &failed) })
		}
		defer clients.Wait()
		defer cancel()
		f.replace(0, syscall.SIGTERM, to)
		f.replace(1, syscall.SIGTERM, to)
		// Whoever holds the lease, one of these is likely to be it, or its successor.
		f.replace(0, syscall.SIGKILL, to)
		f.replace(2, syscall.SIGKILL, from)
		Eventually(func() int { code, _ := f.send(3, "order", "/chat/1", "m1"); return code }, "15s", "100ms").Should(Equal(http.StatusOK), "a model that no server had loaded")
		f.store.SetFaults(true, false)
		time.Sleep(1500 * time.Millisecond)
		f.store.SetFaults(false, false)
		f.replace(2, syscall.SIGTERM, to)
		f.replace(3, syscall.SIGTERM, to)
		for i := range instances {
			Eventually(func() int { code, _ := f.send(i, fmt.Sprint("last-", i), "/chat/1", "m1"); return code }, "10s", "100ms").Should(Equal(http.StatusOK))
		}
		cancel()
		clients.Wait()
		for id, n := range f.runs.count {
			if strings.HasPrefix(id, "book") {
				Expect(n).To(Equal(1), "%s ran more than once", id)
			}
		}
		for _, e := range f.engines {
			Expect(e.Overcommitted()).To(BeFalse())
		}
		Expect(sent.Load()).To(BeNumerically(">", 300))
		// Two processes were killed with requests in progress, one of each client at the most.
		Expect(failed.Load()).To(BeNumerically("<=", 2*9), "of %d", sent.Load())
	},
		Entry("to this build", "earlier", "this"),
		Entry("back to the earlier build", "this", "earlier"),
	)
})
