package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of the stand-ins and of the instances. Each process has a loopback address of its own.
const (
	frontPort, readyPort, controlPort, metricsPort = 8149, 8141, 8144, 9464
	storePort, serverPort                          = 8142, 8080

	memoryMB = 284
	// restartDelay is how long the platform takes to start a process that has ended.
	restartDelay = 500 * time.Millisecond
)

// fleet is a small deployment: a store, servers and three instances, each a process.
type fleet struct {
	dir, repository, network string
	keep                     time.Duration
	// instances is the number of instances.
	instances int
	started   time.Time
	record    *os.File

	mu        sync.Mutex
	processes map[string]*process
	// closing is set while the processes are ended.
	closing bool
}

// process is one process that the fleet has started.
type process struct {
	name  string
	start func() *exec.Cmd
	cmd   *exec.Cmd
	ended chan struct{}
	// down is set while the process is to stay down.
	down bool
	// exits counts how often it has ended by itself.
	exits int
}

// newFleet starts a store, which keeps records for a time. It exits the process if it can't.
func newFleet(keep time.Duration, instances int) *fleet {
	repository, err := os.Getwd()
	must(err)
	dir, err := os.MkdirTemp("", "review")
	must(err)
	record, err := os.Create(os.Getenv("RECORD"))
	must(err)
	f := &fleet{dir: dir, repository: repository, keep: keep, instances: instances, started: time.Now(), record: record, processes: map[string]*process{}}
	current = f
	f.network = freeNetwork()
	f.launch("store", func() *exec.Cmd {
		return f.standin("store", "-listen", f.storeAddress(), "-keep", keep.String())
	})
	f.await("the store", func() bool { return f.get(f.storeAddress(), "/state") == http.StatusOK })
	return f
}

// current is the fleet of this case, nil before it starts.
var current *fleet

// must ends the case, and all that it has started, after an error.
func must(err error) {
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "case can't run:", err)
	if current != nil {
		for _, p := range current.processes {
			if p.cmd != nil && p.cmd.Process != nil {
				_ = p.cmd.Process.Kill()
			}
		}
	}
	os.Exit(exitNotRun)
}

// freeNetwork returns the first three numbers of loopback addresses whose ports are free.
func freeNetwork() string {
	for range 50 {
		network := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		free := true
		for _, port := range []int{frontPort, readyPort, controlPort, metricsPort, storePort, serverPort} {
			for _, host := range []int{1, 11, 12, 13, 28, 101, 102, 103, 104, 250} {
				l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", network, host, port))
				if err != nil {
					free = false
					continue
				}
				_ = l.Close()
			}
		}
		if free {
			return network
		}
	}
	must(errors.New("no free ports"))
	return ""
}

func (f *fleet) storeAddress() string { return fmt.Sprintf("%s.1:%d", f.network, storePort) }

func (f *fleet) instanceIP(i int) string { return fmt.Sprintf("%s.%d", f.network, 11+i) }

func (f *fleet) serverAddress(i int) string {
	return fmt.Sprintf("%s.%d:%d", f.network, 101+i, serverPort)
}

// note writes a line to the record.
func (f *fleet) note(format string, values ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, _ = fmt.Fprintf(f.record, "%8.3f %s\n", time.Since(f.started).Seconds(), fmt.Sprintf(format, values...))
}

// standin returns the command of a stand-in.
func (f *fleet) standin(args ...string) *exec.Cmd {
	program, err := os.Executable()
	must(err)
	return exec.Command(program, args...)
}

// launch starts a process, and starts it again when it has ended by itself.
func (f *fleet) launch(name string, start func() *exec.Cmd) {
	p := &process{name: name, start: start}
	f.mu.Lock()
	f.processes[name] = p
	f.mu.Unlock()
	f.up(name)
}

// up starts a process that is down.
func (f *fleet) up(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.processes[name]
	p.down = false
	f.run(p)
}

// run starts a process. f.mu must be held.
func (f *fleet) run(p *process) {
	out, err := os.OpenFile(filepath.Join(f.dir, p.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	must(err)
	p.cmd = p.start()
	p.cmd.Stdout, p.cmd.Stderr = out, out
	must(p.cmd.Start())
	p.ended = make(chan struct{})
	go f.runWatch(p, p.cmd, p.ended, out)
}

func (f *fleet) runWatch(p *process, cmd *exec.Cmd, ended chan struct{}, out *os.File) {
	err := cmd.Wait()
	_ = out.Close()
	close(ended)
	f.mu.Lock()
	own := !p.down && !f.closing
	if own {
		p.exits++
	}
	f.mu.Unlock()
	if !own {
		return
	}
	f.note("%s has ended by itself: %v", p.name, err)
	time.Sleep(restartDelay)
	f.mu.Lock()
	defer f.mu.Unlock()
	if !p.down && !f.closing {
		f.run(p)
	}
}

// kill ends a process with SIGKILL; it stays down until up.
func (f *fleet) kill(name string) {
	f.mu.Lock()
	p := f.processes[name]
	p.down = true
	f.mu.Unlock()
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.ended
}

// exits returns how often a process has ended by itself.
func (f *fleet) exits(name string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.processes[name].exits
}

// close ends all processes, and keeps their logs in the folder KEEP if that is set.
func (f *fleet) close() {
	f.mu.Lock()
	f.closing = true
	var list []*process
	for _, p := range f.processes {
		list = append(list, p)
	}
	f.mu.Unlock()
	for _, p := range list {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		<-p.ended
	}
	f.copyJournals()
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(f.dir))
	}
	_ = os.RemoveAll(f.dir)
	_ = f.record.Close()
}

// copyJournals adds to the record what the servers did, but for the runs of requests, which are
// counted.
func (f *fleet) copyJournals() {
	files, _ := filepath.Glob(filepath.Join(f.dir, "*.journal"))
	for _, name := range files {
		raw, _ := os.ReadFile(name)
		runs := 0
		for line := range strings.Lines(string(raw)) {
			ms, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
			if strings.Contains(rest, " runs ") {
				runs++
				continue
			}
			n, _ := strconv.ParseInt(ms, 10, 64)
			_, _ = fmt.Fprintf(f.record, "%8.3f server %s\n", time.UnixMilli(n).Sub(f.started).Seconds(), rest)
		}
		_, _ = fmt.Fprintf(f.record, "%s ran %d requests\n", strings.TrimSuffix(filepath.Base(name), ".journal"), runs)
	}
}

// journal returns the lines that a server has written.
func (f *fleet) journal(id string) string {
	raw, _ := os.ReadFile(filepath.Join(f.dir, id+".journal"))
	return string(raw)
}

// startServer starts the server i of a service.
func (f *fleet) startServer(i int, service string, flags ...string) string {
	id := fmt.Sprintf("i-%d", i+1)
	f.launch(id, func() *exec.Cmd {
		args := []string{"engine", "-id", id, "-service", service, "-zone", "z1", "-listen", f.serverAddress(i), "-store", f.storeAddress(), "-dir", f.dir}
		if _, err := os.Stat(filepath.Join(f.dir, id+".journal")); err != nil {
			args = append(args, flags...)
		} else if strings.Contains(strings.Join(flags, " "), "-plain") {
			args = append(args, "-plain")
		}
		// A server that starts again has no models.
		return f.standin(args...)
	})
	f.await(id, func() bool { return f.get(f.serverAddress(i), "/health") == http.StatusOK })
	return id
}

// startInstances starts the instances with the command of the deploy file.
func (f *fleet) startInstances() {
	for i := range f.instances {
		name := fmt.Sprintf("front-%d", i+1)
		settings := filepath.Join(f.dir, name+".toml")
		must(os.WriteFile(settings, []byte(f.settings(i, name)), 0o644))
		f.launch(name, func() *exec.Cmd {
			cmd := exec.Command("target/primrosehook", "entry", "-metrics", strconv.Itoa(metricsPort))
			cmd.Dir = f.repository
			cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "PRIMROSEHOOK_BOOT=" + settings}
			return cmd
		})
	}
	f.await("the instances", func() bool {
		for i := range f.instances {
			if !f.ready(i) {
				return false
			}
		}
		return true
	})
	f.note("%d instances are ready", f.instances)
}

func (f *fleet) settings(i int, name string) string {
	var seeds []string
	for j := range min(f.instances, 3) {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", f.instanceIP(j), controlPort)))
	}
	ip := f.instanceIP(i)
	return fmt.Sprintf(`node = %q
role = "entry"
machine-class = "front"
serves = ["front","control"]
ip = %q
zone = "z1"
region = "r1"
internal-ports = [7380,7395]
seeds = [%s]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat-ms = %d
contracts = ["base","drain","config","cost","retry","recover","fleet","stream","engine","platform"]
[zones]
z1 = "r1"
[listen-addrs]
front = "%s:%d"
ready = "%s:%d"
control = "%s:%d"
[limits]
cpu-share = 0.4
cores = 1
memory-mb = %d
max-fds = 4100
link-mbps = 1000.0
disk-mb = 0
[bounds]
contact-ms = 3000
drain-ms = 2000
grace-s = 8
config-ms = 2000
retry-budget-ratio = 0.2
budget-window-s = 10
budget-slack = 58
recovery-s = 12
require-fence = false
lease-ms = 3000
thaw-ms = 300
ceiling-window-s = 5
ceiling-overage = 1.1
[platform]
address = %q
form = "log"
writes-per-s = 400
reads-per-s = 2000
parts = 24
keep_s = %d
`, name, ip, strings.Join(seeds, ","), heartbeat.Milliseconds(), ip, frontPort, ip, readyPort, ip, controlPort, memoryMB, f.storeAddress(), int(f.keep.Seconds()))
}

// configure writes the configuration as the operator does. models is the number of models of the
// service of engines.
func (f *fleet) configure(models int) {
	var list []map[string]any
	for m := range models {
		list = append(list, map[string]any{"name": modelName(m), "weights-mb": modelMB, "load-s": 1.2, "warm-s": 0.63, "disk-s": 0.82, "adapters": 0, "adapter-mb": 66.0})
	}
	raw, err := json.Marshal(map[string]any{
		"version": 7,
		"routes": []map[string]any{
			{"name": "r-chat", "host": "site.example", "path-prefix": "/chat/", "kind": "streaming", "timeout-ms": 8000, "target-latency-ms": 1500, "priority": 1, "service": "pool", "max-attempts": 2, "session-affinity": true, "resumable": true, "gap-aim-ms": 300},
			{"name": "r-post", "host": "site.example", "path-prefix": "/post/", "kind": "non_idempotent", "timeout-ms": 3000, "target-latency-ms": 300, "priority": 2, "service": "api", "max-attempts": 1},
		},
		"services": []map[string]any{
			{"name": "pool", "health-path": "/health", "max-connections": 370, "protocol": "h1", "engine": map[string]any{
				"slots": 64, "kv-capacity": 141417, "models": list, "weights-mb": serverMB, "adapter-slots": 8, "loads-per-s": 2.8,
			}},
			{"name": "api", "health-path": "/health", "max-connections": 1000, "protocol": "h1"},
		},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": maxBody, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	must(err)
	resp, err := http.Post("http://"+f.storeAddress()+"/put?"+url.Values{"topic": {"keyed.op"}, "key": {"config"}}.Encode(), "application/json", bytes.NewReader(raw))
	must(err)
	_ = resp.Body.Close()
}

// maxBody is the largest body that clients may send.
const maxBody = 4 << 20

func modelName(m int) string { return fmt.Sprintf("m%d", m) }

// await waits until something holds, and exits the process if it does not soon.
func (f *fleet) await(what string, holds func() bool) {
	for deadline := time.Now().Add(15 * time.Second); !holds(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			f.note("%s does not start", what)
			f.close()
			os.Exit(exitNotRun)
		}
	}
}

// get returns the status of a GET, zero if there is no answer.
func (f *fleet) get(address, path string) int {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + address + path)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

func (f *fleet) ready(i int) bool {
	return f.get(fmt.Sprintf("%s:%d", f.instanceIP(i), readyPort), "/-/readiness") == http.StatusOK
}

// leaseHolder returns the name of the instance that last logged that it took the lease, empty if
// none has.
func (f *fleet) leaseHolder() string {
	holder, newest := "", 0.0
	for i := range f.instances {
		name := fmt.Sprintf("front-%d", i+1)
		raw, _ := os.ReadFile(filepath.Join(f.dir, name+".log"))
		for line := range strings.Lines(string(raw)) {
			var l struct {
				TS  float64 `json:"ts"`
				Msg string  `json:"msg"`
			}
			if json.Unmarshal([]byte(line), &l) == nil && l.Msg == "lease: taken" && l.TS > newest {
				holder, newest = name, l.TS
			}
		}
	}
	return holder
}

// troubled reports whether the case has its disruption.
func troubled() bool { return os.Getenv("TROUBLE") != "0" }

// noteStore writes the state of the store to the record.
func (f *fleet) noteStore() {
	resp, err := http.Get("http://" + f.storeAddress() + "/state")
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	var b bytes.Buffer
	_, _ = b.ReadFrom(resp.Body)
	f.note("store: %s", strings.TrimSpace(b.String()))
}
