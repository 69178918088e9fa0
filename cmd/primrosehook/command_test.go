package main_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"github.com/onsi/gomega/gexec"
)

// writeTempFile writes a file that is removed when the test ends, and returns its
// path.
func writeTempFile(text string) string {
	GinkgoHelper()
	name := filepath.Join(GinkgoT().TempDir(), "rules.yaml")
	Expect(os.WriteFile(name, []byte(text), 0o600)).To(Succeed())
	return name
}

// runCommand runs primrosehook until it exits and expects an exit code.
func runCommand(code int, args ...string) *gexec.Session {
	GinkgoHelper()
	s := start(hookPath, args...)
	Eventually(s, "20s").Should(gexec.Exit(code))
	return s
}

// fleet is an entry instance with its platform and engines.
type fleet struct {
	platform  *gexec.Session
	instance  *gexec.Session
	engines   []*gexec.Session
	addrs     []string
	log       string
	entry     string
	operators string
}

// newFleet starts a platform, an engine with the given flags and an instance,
// publishes a rule list and waits until the instance is ready.
func newFleet(engine ...string) *fleet {
	GinkgoHelper()
	f := &fleet{log: freeAddr()}
	f.platform = start(standinPath, "platform", "-listen", f.log)
	reachable(f.log)
	f.startEngine(engine...)
	f.startInstance()
	runCommand(0, "publish", "-admin", f.operators, "-base", "0", writeTempFile(rules))
	Eventually(f.ready, "20s").Should(Equal(http.StatusOK))
	return f
}

// startEngine adds an engine to the fleet.
func (f *fleet) startEngine(flags ...string) {
	GinkgoHelper()
	addr := freeAddr()
	s := start(standinPath, append([]string{"engine", "-listen", addr, "-list", "http://" + f.log, "-pool", "gpu"}, flags...)...)
	reachable(addr)
	f.engines = append(f.engines, s)
	f.addrs = append(f.addrs, addr)
}

// startInstance starts the fleet's instance.
func (f *fleet) startInstance() {
	GinkgoHelper()
	platform := "http://" + f.log
	f.entry, f.operators = freeAddr(), freeAddr()
	f.instance = start(hookPath, "serve", "-listen", f.entry, "-operate", f.operators, "-peer", freeAddr(),
		"-list", platform, "-log", platform, "-store", platform, "-linger", "1s")
	reachable(f.operators)
}

// startPeer starts another instance on the same platform and waits until it is
// ready.
func (f *fleet) startPeer() *fleet {
	GinkgoHelper()
	g := &fleet{platform: f.platform, log: f.log}
	g.startInstance()
	Eventually(g.ready, "20s").Should(Equal(http.StatusOK))
	return g
}

func (f *fleet) ready() int {
	p, err := http.Get("http://" + f.operators + "/readyz")
	if err != nil {
		return 0
	}
	p.Body.Close()
	return p.StatusCode
}

// ask sends a chat request with a fixed prompt and returns the response with its
// body unread.
func (f *fleet) ask(ctx context.Context, tokens int, stream bool) (*http.Response, error) {
	return f.sendChat(ctx, "which room is free", tokens, stream)
}

func (f *fleet) sendChat(ctx context.Context, words string, tokens int, stream bool) (*http.Response, error) {
	body := fmt.Sprintf(`{"model":"tiny","seed":7,"max_tokens":%d,"stream":%v,"messages":[{"role":"user","content":%q}]}`, tokens, stream, words)
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.entry+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	return http.DefaultClient.Do(q)
}

var _ = Describe("the command line", func() {
	It("prints its help and version", func() {
		Expect(runCommand(0, "help").Out).To(gbytes.Say("serve"))
		Expect(runCommand(0, "help", "publish").Out).To(gbytes.Say("conflict|was faster"))
		Expect(runCommand(0, "-version").Out).To(gbytes.Say("primrosehook"))
		Expect(runCommand(0, "help", "serve").Out.Contents()).To(ContainSubstring("PRIMROSEHOOK_LISTEN"))
	})

	It("reports all invalid settings at once", func() {
		s := runCommand(2, "serve", "-listen", "here", "-tries", "0")
		Expect(string(s.Err.Contents())).To(And(ContainSubstring(`-listen (PRIMROSEHOOK_LISTEN): "here"`), ContainSubstring(`-tries`)))
	})

	It("validates rule lists offline", func() {
		Expect(runCommand(0, "check", "../../examples/vertrekpunt.yaml", "../../examples/bunya.yaml").Out).To(gbytes.Say("40 models, 100 adapters"))
		s := runCommand(1, "check", writeTempFile("rules: [{when: true, then: {ready: x}}]"))
		Expect(string(s.Err.Contents())).To(MatchRegexp(`rules.yaml:1:\d+: rule 1: then.ready: "x" must be`))
	})

	It("explains an unpublished rule list", func() {
		s := runCommand(0, "explain", "-file", "../../examples/bunya.yaml", "rules", "kind=chat", "model=assistant-en", "hour=18")
		Expect(s.Out).To(gbytes.Say(`evening-chat +true +true`))
	})
})

var _ = Describe("an instance", func() {
	It("can be operated with publish, status and explain", func(ctx context.Context) {
		f := newFleet()
		s := runCommand(1, "publish", "-admin", f.operators, "-base", "0", writeTempFile(rules))
		Expect(s.Err).To(gbytes.Say("conflict: .*nothing was published"))
		Expect(runCommand(0, "publish", "-admin", f.operators, "-show").Out.Contents()).To(BeEquivalentTo(rules))
		Expect(runCommand(0, "status", "-admin", f.operators).Out).To(gbytes.Say("thin"))
		p, err := f.ask(ctx, 6, false)
		Expect(err).NotTo(HaveOccurred())
		p.Body.Close()
		Expect(p.StatusCode).To(Equal(http.StatusOK))
		s = runCommand(0, "explain", "-admin", f.operators, "request", p.Header.Get("X-Request-Id"))
		Expect(s.Out).To(gbytes.Say(`rule "all" of version`))
		Expect(s.Out).To(gbytes.Say(`answered: 6 tokens`))
		Expect(runCommand(0, "explain", "-admin", f.operators, "requests", "model=tiny").Out).To(gbytes.Say("answered"))

		more := strings.Replace(rules, "models: [", "models: [{name: next, pool: gpu, memory: 1}, ", 1)
		more = strings.Replace(more, "class: urgent", "class: urgent, ready: 1", 1)
		runCommand(0, "publish", "-admin", f.operators, "-base", "1", writeTempFile(more))
		order := regexp.MustCompile(`"order": "([^"]+)"`)
		var found []string
		Eventually(func() []string {
			found = order.FindStringSubmatch(string(runCommand(0, "status", "-admin", f.operators, "-json").Out.Contents()))
			return found
		}, "20s", "100ms").ShouldNot(BeEmpty())
		Eventually(func() string {
			return string(runCommand(0, "explain", "-admin", f.operators, "order", found[1]).Out.Contents())
		}, "20s", "100ms").Should(And(ContainSubstring(`"outcome": "done"`), ContainSubstring(`"model": "next"`)))
	})

	DescribeTable("stops without cutting off a request in flight",
		func(ctx context.Context, down bool) {
			f := newFleet("-step", "50ms")
			p, err := f.ask(ctx, 40, true)
			Expect(err).NotTo(HaveOccurred())
			defer p.Body.Close()
			if down {
				Expect(f.platform.Kill().Wait()).To(gexec.Exit())
			}
			f.instance.Signal(syscall.SIGTERM)
			Eventually(f.ready, "5s").Should(Equal(http.StatusServiceUnavailable))
			Consistently(f.instance, "300ms").ShouldNot(gexec.Exit())
			text, err := io.ReadAll(p.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(text)).To(HaveSuffix("data: [DONE]\n\n"))
			Eventually(f.instance, "20s").Should(gexec.Exit(0))
		},
		Entry("at a planned stop", false),
		Entry("while the log is down", true),
	)
})

var hookPath, standinPath string

var _ = SynchronizedBeforeSuite(func() []byte {
	one, err := gexec.Build("primrosehook/cmd/primrosehook")
	Expect(err).NotTo(HaveOccurred())
	two, err := gexec.Build("primrosehook/cmd/standin")
	Expect(err).NotTo(HaveOccurred())
	return []byte(one + "\n" + two)
}, func(paths []byte) {
	hookPath, standinPath, _ = strings.Cut(string(paths), "\n")
})

var _ = SynchronizedAfterSuite(func() {}, gexec.CleanupBuildArtifacts)
