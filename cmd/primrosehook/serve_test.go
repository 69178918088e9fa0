package main_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os/exec"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"github.com/onsi/gomega/gexec"
)

const rules = `
name: thin
models: [{name: tiny, pool: gpu, memory: 1}]
rules: [{name: all, when: true, then: {class: urgent, queue: 2s}}]
`

// usedAddrs are the addresses that freeAddr has returned. The kernel may choose a
// port again before the test's program has opened it.
var usedAddrs = map[string]bool{}

// freeAddr returns a loopback address that nothing listens on.
func freeAddr() string {
	for {
		// Another socket may take the port before the program that is started does. On an address of
		// the loopback range that nothing else uses, it can't.
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+rand.N(254), rand.N(256), 1+rand.N(254)))
		Expect(err).NotTo(HaveOccurred())
		addr := l.Addr().String()
		l.Close()
		if !usedAddrs[addr] {
			usedAddrs[addr] = true
			return addr
		}
	}
}

func start(program string, args ...string) *gexec.Session {
	s, err := gexec.Start(exec.Command(program, args...), GinkgoWriter, GinkgoWriter)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { s.Kill().Wait() })
	return s
}

func reachable(addr string) {
	Eventually(func() error {
		c, err := net.Dial("tcp", addr)
		if err == nil {
			c.Close()
		}
		return err
	}, "10s", "20ms").Should(Succeed())
}

var _ = Describe("serve", func() {
	It("forwards a chat request to an engine and returns the answer", func(ctx context.Context) {
		platform, engine, entry, operators := freeAddr(), freeAddr(), freeAddr(), freeAddr()
		start(standinPath, "platform", "-listen", platform)
		reachable(platform)
		start(standinPath, "engine", "-listen", engine, "-list", "http://"+platform)
		reachable(engine)
		start(hookPath, "serve", "-listen", entry, "-operate", operators, "-peer", freeAddr(),
			"-list", "http://"+platform, "-log", "http://"+platform)
		reachable(operators)
		done := runCommand(0, "publish", "-admin", operators, "-base", "0", writeTempFile(rules))
		Expect(done.Out).To(gbytes.Say("version .* is published in place of 0"))

		Eventually(func() int {
			p, err := http.Get("http://" + entry + "/readyz")
			if err != nil {
				return 0
			}
			defer p.Body.Close()
			return p.StatusCode
		}, "20s", "50ms").Should(Equal(http.StatusOK))

		body := `{"model":"tiny","max_tokens":9,"messages":[{"role":"user","content":"which room is free"}]}`
		q, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/v1/chat/completions", strings.NewReader(body))
		p, err := http.DefaultClient.Do(q)
		Expect(err).NotTo(HaveOccurred())
		defer p.Body.Close()
		Expect(p.StatusCode).To(Equal(http.StatusOK))
		var answer struct {
			Choices []struct {
				Message struct{ Content string }
			}
		}
		Expect(json.NewDecoder(p.Body).Decode(&answer)).To(Succeed())
		Expect(answer.Choices[0].Message.Content).To(ContainSubstring("which room is free"))
	})
})
