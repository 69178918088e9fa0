package main_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/faker"
	"primrosehook/platform"
)

// lonePipe returns a pipe's end for writing whose other end nobody reads, because it is
// closed or the pipe is full.
func lonePipe(full bool) *os.File {
	GinkgoHelper()
	r, w, err := os.Pipe()
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(w.Close)
	if !full {
		Expect(r.Close()).To(Succeed())
		return w
	}
	DeferCleanup(r.Close)
	Expect(w.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))).To(Succeed())
	_, err = w.Write(make([]byte, 4<<20))
	Expect(err).To(MatchError(os.ErrDeadlineExceeded))
	return w
}

// startOn starts primrosehook with a pipe as both of its outputs. The channel returned gets
// its exit code.
func startOn(out *os.File, args ...string) (*exec.Cmd, <-chan int) {
	GinkgoHelper()
	c := exec.Command(hookPath, args...)
	c.Stdout, c.Stderr = out, out
	Expect(c.Start()).To(Succeed())
	code, ended := make(chan int, 1), make(chan struct{})
	go func() {
		_ = c.Wait()
		code <- c.ProcessState.ExitCode()
		close(ended)
	}()
	DeferCleanup(func() {
		_ = c.Process.Kill()
		<-ended
	})
	return c, code
}

// status returns the status of a GET, 0 without an answer.
func status(url string) int {
	a, err := (&http.Client{Timeout: 2 * time.Second}).Get(url)
	if err != nil {
		return 0
	}
	_ = a.Body.Close()
	return a.StatusCode
}

// newConfiguredStore returns a store with a configuration and a server.
func newConfiguredStore(set ...func(*httptest.Server)) (*faker.MetadataStore, string) {
	metadata := faker.NewMetadataStore()
	m := faker.NewModelServer("i-0")
	upstream := httptest.NewServer(m)
	DeferCleanup(upstream.Close)
	metadata.Put(platform.TopicServers, m.ID, m.Registration("api", upstream.Listener.Addr().String(), "z1", "ready", 1))
	metadata.Put(platform.TopicOperator, platform.KeyConfig, processConfig(4, false))
	store := httptest.NewUnstartedServer(metadata)
	for _, f := range set {
		f(store)
	}
	store.Start()
	DeferCleanup(store.Close)
	return metadata, store.Listener.Addr().String()
}

// writeSettings writes the settings file of an instance with four addresses: for clients, for
// checks, for peers and for metrics.
func writeSettings(store string, p *entryProcess) string {
	GinkgoHelper()
	ip, _, err := net.SplitHostPort(p.metrics)
	Expect(err).NotTo(HaveOccurred())
	path := filepath.Join(GinkgoT().TempDir(), "settings.toml")
	text := fmt.Sprintf(processSettings, 0, ip, p.control, true, p.front, p.ready, p.control, store)
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return path
}

func newEntryProcess() *entryProcess {
	return &entryProcess{front: freeAddr(), ready: freeAddr(), control: freeAddr(), metrics: freeAddr()}
}

var _ = Describe("An instance whose output nobody reads", func() {
	// Guards against the end of all instances of a site, by SIGPIPE, when the collector of their
	// log restarts, and against a start, a request or a stop that waits for a full pipe.
	DescribeTable("of the subcommand entry serves and stops", func(full bool) {
		p := newEntryProcess()
		_, store := newConfiguredStore()
		path := writeSettings(store, p)
		_, port, _ := net.SplitHostPort(p.metrics)
		c, code := startOn(lonePipe(full), "entry", "-settings", path, "-metrics", port)
		Eventually(func() int { return status("http://" + p.ready + "/-/readiness") }, "15s", "50ms").Should(Equal(http.StatusOK))
		for range 20 {
			Expect(p.ask("kept")).To(Equal(http.StatusOK))
		}
		if !full {
			Eventually(func() string { return body("http://" + p.metrics) }).Should(MatchRegexp(`log_lines_dropped [1-9]`))
		}
		Expect(c.Process.Signal(syscall.SIGTERM)).To(Succeed())
		Eventually(code, "5s").Should(Receive(Equal(0)))
	}, Entry("since the reader has ended", false), Entry("since the reader has stopped", true))

	DescribeTable("of the subcommand serve serves and stops", func(full bool) {
		platform, operators := freeAddr(), freeAddr()
		start(standinPath, "platform", "-listen", platform)
		reachable(platform)
		c, code := startOn(lonePipe(full), "serve", "-listen", freeAddr(), "-operate", operators, "-peer", freeAddr(),
			"-list", "http://"+platform, "-log", "http://"+platform, "-store", "http://"+platform, "-linger", "100ms", "-trace", "stdout")
		Eventually(func() int { return status("http://" + operators + "/healthz") }, "10s", "50ms").Should(Equal(http.StatusOK))
		if !full {
			Eventually(func() string { return body("http://" + operators + "/debug/vars") }).Should(MatchRegexp(`"lines_dropped":[1-9]`))
		}
		Expect(c.Process.Signal(syscall.SIGTERM)).To(Succeed())
		Eventually(code, "15s").Should(Receive(Equal(0)))
	}, Entry("since the reader has ended", false), Entry("since the reader has stopped", true))

	// Guards against a standard library that logs bytes on an idle connection to a full standard
	// error while it holds the lock of the connection pool.
	It("goes on using a store that sends bytes between its answers", func() {
		p := newEntryProcess()
		metadata, store := newConfiguredStore(func(s *httptest.Server) {
			s.Config.ConnState = func(c net.Conn, state http.ConnState) {
				if state == http.StateIdle {
					_, _ = c.Write([]byte(strings.Repeat("junk", 10)))
				}
			}
		})
		_, port, _ := net.SplitHostPort(p.metrics)
		startOn(lonePipe(true), "entry", "-settings", writeSettings(store, p), "-metrics", port)
		Eventually(func() int { return status("http://" + p.ready + "/-/readiness") }, "15s", "50ms").Should(Equal(http.StatusOK))
		metadata.Put(platform.TopicOperator, platform.KeyConfig, processConfig(5, true))
		Eventually(func() string { return body("http://" + p.metrics) }, "10s", "100ms").Should(ContainSubstring("config_version 5"))
	})

	It("ends at bad settings", func() {
		_, code := startOn(lonePipe(true), "entry", "-settings", "/nowhere")
		Eventually(code, "5s").Should(Receive(Equal(2)))
	})
})

// body returns the body of a GET, empty without an answer.
func body(url string) string {
	a, err := (&http.Client{Timeout: 2 * time.Second}).Get(url)
	if err != nil {
		return ""
	}
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	if err != nil {
		return ""
	}
	return string(text)
}
