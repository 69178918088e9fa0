package main_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"primrosehook/driver"
)

// chunk holds the fields of a stream event or a whole response that tests read.
type chunk struct {
	Choices []struct {
		Delta   struct{ Content string }
		Message struct{ Content string }
	}
}

// readTokens reads events until count of them had text, or the stream ends. It
// returns the text and the id of the last event with text.
func readTokens(lines *bufio.Scanner, count int) (text, last string) {
	id := ""
	for count > 0 && lines.Scan() {
		if next, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			id = next
		}
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		var c chunk
		if !ok || json.Unmarshal([]byte(data), &c) != nil || len(c.Choices) == 0 || c.Choices[0].Delta.Content == "" {
			continue
		}
		text, last = text+c.Choices[0].Delta.Content, id
		count--
	}
	return text, last
}

// answer sends a chat request and returns the status, verdict and body of the
// response.
func (f *fleet) answer(ctx context.Context, words string) (status int, verdict, body string) {
	GinkgoHelper()
	p, err := f.sendChat(ctx, words, 40, false)
	Expect(err).NotTo(HaveOccurred())
	defer p.Body.Close()
	text, err := io.ReadAll(p.Body)
	Expect(err).NotTo(HaveOccurred())
	return p.StatusCode, p.Header.Get("Primrosehook-Verdict"), string(text)
}

var _ = Describe("under failure", func() {
	It("a stream can be resumed at another instance when the first is killed", func(ctx context.Context) {
		f := newFleet("-step", "30ms")
		g := f.startPeer()
		_, _, body := f.answer(ctx, "which room is free")
		var want chunk
		Expect(json.Unmarshal([]byte(body), &want)).To(Succeed())

		p, err := f.ask(ctx, 40, true)
		Expect(err).NotTo(HaveOccurred())
		defer p.Body.Close()
		first, last := readTokens(bufio.NewScanner(p.Body), 3)
		f.instance.Kill().Wait()

		q, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.entry+"/v1/streams/"+p.Header.Get("Primrosehook-Resume"), http.NoBody)
		q.Header.Set("Last-Event-ID", last)
		rest, err := http.DefaultClient.Do(q)
		Expect(err).NotTo(HaveOccurred())
		defer rest.Body.Close()
		Expect(rest.StatusCode).To(Equal(http.StatusOK))
		second, _ := readTokens(bufio.NewScanner(rest.Body), 1000)
		Expect(first + second).To(Equal(want.Choices[0].Message.Content))
	})

	DescribeTable("a stream continues with its next token on another engine",
		func(ctx context.Context, fail func(*gexec.Session)) {
			f := newFleet("-step", "30ms")
			_, _, body := f.answer(ctx, "which room is free")
			var want chunk
			Expect(json.Unmarshal([]byte(body), &want)).To(Succeed())
			f.startEngine("-step", "30ms")
			p, err := f.ask(ctx, 40, true)
			Expect(err).NotTo(HaveOccurred())
			defer p.Body.Close()
			lines := bufio.NewScanner(p.Body)
			first, _ := readTokens(lines, 2)
			fail(f.busyEngine())
			rest, _ := readTokens(lines, 1000)
			Expect(first + rest).To(Equal(want.Choices[0].Message.Content))
		},
		Entry("when the engine is killed", func(s *gexec.Session) { s.Kill() }),
		Entry("when the engine is frozen", func(s *gexec.Session) { s.Signal(syscall.SIGSTOP) }),
	)

	It("a request that crashes engines is quarantined on all instances after two crashes", func(ctx context.Context) {
		f := newFleet("-poison", "venom")
		for range 3 {
			f.startEngine("-poison", "venom")
		}
		g := f.startPeer()
		refused := func(on *fleet) func() string {
			return func() string {
				_, _, body := on.answer(ctx, "venom")
				return body
			}
		}
		Eventually(refused(f), "20s", "50ms").Should(ContainSubstring(`"quarantined"`))
		Eventually(func() int { return f.crashed() }, "10s").Should(Equal(2))
		// The other instance receives the quarantine by gossip before it sees the
		// request.
		Eventually(func() string { return string(runCommand(0, "status", "-admin", g.operators).Out.Contents()) }, "20s").
			Should(MatchRegexp(`DIGEST +HELD +MARKS\n +\w+ +[1-9]\w+ `))
		Expect(refused(g)()).To(ContainSubstring(`"quarantined"`))
		status, _, body := g.answer(ctx, "which room is free")
		Expect(status).To(Equal(http.StatusOK), body)
		Expect(f.crashed()).To(Equal(2))
	})
})

// busyEngine returns an engine that is running a request.
func (f *fleet) busyEngine() *gexec.Session {
	GinkgoHelper()
	for i, addr := range f.addrs {
		report, err := driver.NewClient(addr, http.DefaultClient).Report(context.Background())
		Expect(err).NotTo(HaveOccurred())
		if report.Running > 0 {
			return f.engines[i]
		}
	}
	Fail("no engine has a request running")
	return nil
}

// crashed returns the number of engines that have exited.
func (f *fleet) crashed() int {
	count := 0
	for _, e := range f.engines {
		if e.ExitCode() >= 0 {
			count++
		}
	}
	return count
}
