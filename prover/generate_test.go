package prover_test

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/faker"
	"primrosehook/launcher"
)

var _ = Describe("a client receives the complete answer to its own request", func() {
	var w *world
	BeforeEach(func(ctx context.Context) {
		w = startWorld(ctx, 3, 3)
	})

	DescribeTable("when", func(injectFault func()) {
		all := w.startCallers(12, 8)
		w.waitBusy(w.engines[0])
		injectFault()
		got := waitReplies(all)
		for _, e := range w.engines {
			Expect(e.Resume()).To(Succeed())
		}
		expectComplete(got)
		w.checkNotRun(got)
	},
		Entry("nothing fails", func() {}),
		Entry("an engine is killed while it streams", func() { Expect(w.engines[0].Kill()).To(Succeed()) }),
		Entry("an engine is suspended while it streams and resumes later", func() { Expect(w.engines[0].Suspend()).To(Succeed()) }),
		Entry("engines run requests and their answers are lost", func() {
			for _, e := range w.engines {
				faults := faker.EngineFaults{Faults: faker.Faults{LoseReplies: 4}}
				Expect(launcher.Put(w.ctx, e.URL()+"/faults", faults)).To(Succeed())
			}
		}),
		Entry("one engine is killed and another frozen while the log hangs", func() {
			w.setOutages(hangs, healthy)
			Expect(w.engines[0].Kill()).To(Succeed())
			Expect(w.engines[1].Suspend()).To(Succeed())
		}),
		Entry("the log and the list are unavailable", func() {
			w.setOutages(hangs, drops)
		}),
	)

	It("when the entry instance is killed and another resumes the stream", func() {
		long := newQuestion(7)
		long.MaxTokens = 90
		cut := w.newCaller(w.entries[:1], long)
		go cut.run()
		Eventually(w.requestsRun, waitLimit, "5ms").WithArguments(w.engines).Should(Equal(1))
		time.Sleep(100 * time.Millisecond)
		Expect(w.entries[0].Kill()).To(Succeed())
		Eventually(cut.done, waitLimit).Should(BeClosed())
		part := cut.replies[0]
		Expect(part.complete).To(BeFalse())
		Expect(part.token).NotTo(BeEmpty())
		part.check()
		rest := w.resume(w.entries[1], part)
		rest.check()
		Expect(rest.complete).To(BeTrue())
	})
})

var _ = Describe("a request that crashes engines", func() {
	It("is quarantined on every instance, and bystanders are served", func(ctx context.Context) {
		w := startWorld(ctx, 6, 3, "-poison", "boom")
		bystanders := w.startCallers(8, 12)
		poison := newQuestion(1)
		poison.Prompt = "please go boom"
		// The client retries it repeatedly, each time at another instance.
		var last reply
		Eventually(func() bool {
			for _, e := range w.entries {
				last = w.send(e, poison)
				Expect(last.complete).To(BeFalse())
			}
			return last.status == http.StatusServiceUnavailable || last.status == http.StatusTooManyRequests ||
				last.status == http.StatusUnprocessableEntity
		}, waitLimit, pollInterval).Should(BeTrue())
		Expect(w.lostEngines()).To(BeNumerically("<=", 4), "engines lost to one request")
		got := waitReplies(bystanders)
		expectComplete(got)
	})
})

var _ = Describe("a planned stop", func() {
	DescribeTable("cuts off no request in flight",
		func(ctx context.Context, injectFault func(w *world)) {
			w := startWorld(ctx, 2, 2, "-step", "20ms")
			injectFault(w)
			all := w.startCallers(10, 1)
			Eventually(w.requestsRun, waitLimit, "5ms").WithArguments(w.engines).Should(Equal(10))
			Expect(w.entries[0].Terminate()).To(Succeed())
			got := waitReplies(all)
			expectComplete(got)
			Eventually(w.entries[0].Done(), "60s").Should(BeClosed())
			code, err := w.entries[0].Wait(ctx)
			Expect(err).NotTo(HaveOccurred())
			Expect(code).To(BeZero(), "exit code")
		},
		Entry("without faults", func(*world) {}),
		Entry("while the log and the list hang", func(w *world) { w.setOutages(hangs, hangs) }),
		Entry("while the log and the list refuse", func(w *world) { w.setOutages(refuses, refuses) }),
		Entry("while the log and the list lose replies", func(w *world) { w.setOutages(loses, loses) }),
		Entry("while instances are cut off from each other", func(w *world) { w.mesh.SetAllFaults(launcher.NetworkFault{Cut: true}) }),
		Entry("while messages between instances are held back", func(w *world) {
			w.mesh.SetAllFaults(launcher.NetworkFault{StallUpstream: true, StallDownstream: true})
		}),
		Entry("after a freeze past its lease", func(w *world) {
			Expect(w.entries[0].Suspend()).To(Succeed())
			time.Sleep(8 * time.Second)
			Expect(w.entries[0].Resume()).To(Succeed())
		}),
	)
})
