package crowder_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/faker"
	"primrosehook/platform"
)

const (
	memoryMB       = 64
	maxDescriptors = 400
	maxBody        = 1 << 20
)

const configuration = `{"version":3,"routes":[
 {"name":"form","host":"h","path-prefix":"/form/","kind":"idempotent","timeout-ms":4000,"target-latency-ms":100,"service":"api","max-attempts":2},
 {"name":"book","host":"h","path-prefix":"/book/","kind":"non_idempotent","timeout-ms":15000,"target-latency-ms":100,"service":"api","max-attempts":1}],
 "services":[{"name":"api"}],"limits":{"max-body-bytes":%d}}`

const settings = `node = "front-0"
ip = "127.0.0.1"
zone = "z1"
seeds = [%q]
[listen-addrs]
front = %q
ready = %q
control = %q
[limits]
memory-mb = %d
max-fds = %d
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

// instance is a process of an entry instance on stand-ins of the platform.
type instance struct {
	front, ready, control string
	// path is what ordinary requests ask for, readyPath what readiness checks do.
	path, readyPath string
	// served is the status of an ordinary request that is served.
	served  int
	engine  *faker.ModelServer
	records *faker.MetadataStore
	// platform answers calls to the platform, platformFault in its place if it is set.
	platform      http.Handler
	platformFault atomic.Pointer[http.HandlerFunc]
	process       *exec.Cmd
	exited        chan struct{}
}

// maxBodyOf returns the limit of bodies of an instance with a memory in MB: that of the sites
// unless its memory is lowered.
func maxBodyOf(memory int) int {
	if memory == memoryMB {
		return maxBody
	}
	return 4 << 20
}

// buildProgram builds the program of this tree.
func buildProgram(dir string) string {
	program := filepath.Join(dir, "primrosehook")
	build := exec.Command("go", "build", "-o", program, "./cmd/primrosehook")
	build.Dir = ".."
	out, err := build.CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
	return program
}

func freeAddress() string {
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+rand.N(254), rand.N(256), 1+rand.N(254)))
	Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	return l.Addr().String()
}

// startInstance starts an instance with a memory in MB, and with descriptors other than
// maxDescriptors if there are any, and waits until it is ready.
func startInstance(program, dir string, memory int, descriptors ...int) *instance {
	records := faker.NewMetadataStore()
	n := &instance{front: freeAddress(), ready: freeAddress(), control: freeAddress(), path: "/form/1", readyPath: "/-/readiness", served: http.StatusOK, records: records, platform: records}
	store := httptest.NewServer(http.HandlerFunc(n.answerPlatform))
	DeferCleanup(store.Close)
	records.Put(platform.TopicOperator, platform.KeyConfig, fmt.Appendf(nil, configuration, maxBodyOf(memory)))
	engine := faker.NewModelServer("i-0")
	engine.WorkTime = 300 * time.Millisecond
	server := httptest.NewServer(engine)
	DeferCleanup(server.Close)
	records.Put(platform.TopicServers, engine.ID, engine.Registration("api", server.Listener.Addr().String(), "z1", "ready", 1))
	n.engine = engine
	file := filepath.Join(dir, "settings.toml")
	text := fmt.Sprintf(settings, n.control, n.front, n.ready, n.control, memory, append(descriptors, maxDescriptors)[0], store.Listener.Addr().String())
	Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
	n.start(exec.Command(program, "entry", "-settings", file))
	n.expectReady()
	return n
}

// answerPlatform answers a call to the platform.
func (n *instance) answerPlatform(w http.ResponseWriter, q *http.Request) {
	if fault := n.platformFault.Load(); fault != nil {
		(*fault)(w, q)
		return
	}
	n.platform.ServeHTTP(w, q)
}

// start starts the process, which is killed at the end of the test.
func (n *instance) start(process *exec.Cmd) {
	n.process, n.exited = process, make(chan struct{})
	process.Stdout, process.Stderr = GinkgoWriter, GinkgoWriter
	Expect(process.Start()).To(Succeed())
	go n.runWait()
	DeferCleanup(func() {
		_ = process.Process.Kill()
		<-n.exited
	})
}

// expectReady waits until the instance answers readiness checks.
func (n *instance) expectReady() {
	Eventually(func() int {
		p, err := http.Get("http://" + n.ready + n.readyPath)
		if err != nil {
			return 0
		}
		_ = p.Body.Close()
		return p.StatusCode
	}, "15s", "50ms").Should(Equal(http.StatusOK))
}

// runWait waits for the end of the process.
func (n *instance) runWait() {
	_ = n.process.Wait()
	close(n.exited)
}

// memory returns a field of the process's status in MiB.
func (n *instance) memory(field string) float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.process.Process.Pid))
	Expect(err).NotTo(HaveOccurred())
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, field+":"); ok {
			kB, err := strconv.Atoi(strings.Fields(rest)[0])
			Expect(err).NotTo(HaveOccurred())
			return float64(kB) / 1024
		}
	}
	return 0
}

// descriptors returns the number of open files of the process.
func (n *instance) descriptors() int {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.process.Process.Pid))
	Expect(err).NotTo(HaveOccurred())
	return len(list)
}

// send sends a request with a body of a size on a connection of its own.
func (n *instance) send(id string, size int) int {
	q, err := http.NewRequest(http.MethodPost, "http://"+n.front+n.path, bytes.NewReader(make([]byte, size)))
	Expect(err).NotTo(HaveOccurred())
	q.Host, q.Close = "h", true
	q.Header.Set("Primrosehook-Request-Id", id)
	client := &http.Client{Timeout: 10 * time.Second}
	p, err := client.Do(q)
	if err != nil {
		return 0
	}
	defer p.Body.Close()
	return p.StatusCode
}

// expectServed sends a request until it is served: a refusal in between is allowed.
func (n *instance) expectServed(what string, size int) {
	try := 0
	Eventually(func() int {
		try++
		return n.send(fmt.Sprint(what, "-", try), size)
	}, "30s", "300ms").Should(Equal(n.served), what)
}

// expectWithinLimits checks that the process lives and is within the limits of its settings.
func (n *instance) expectWithinLimits() {
	Expect(n.exited).NotTo(BeClosed(), "the process has ended")
	peak, now, files := n.memory("VmHWM"), n.memory("VmRSS"), n.descriptors()
	AddReportEntry("held", fmt.Sprintf("peak %.0f MiB, now %.0f MiB, %d descriptors", peak, now, files))
	Expect(peak).To(BeNumerically("<=", memoryMB), "peak of memory in MiB")
	Expect(files).To(BeNumerically("<=", maxDescriptors), "open descriptors")
}
