package launcher_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/faker"
	"primrosehook/forwarder"
	"primrosehook/judge"
	"primrosehook/launcher"
	"primrosehook/sender"
)

// writeLoad sends writes to a service process while faults are injected, and
// records their verdicts by key.
type writeLoad struct {
	client   *forwarder.Client
	verdicts map[string]judge.Verdict
	done     chan struct{}
}

func (w *writeLoad) run(ctx context.Context, count int) {
	defer close(w.done)
	for i := range count {
		key := fmt.Sprint("key ", i)
		limit, cancel := context.WithTimeout(ctx, 60*time.Millisecond)
		a, err := w.client.Call(limit, forwarder.Call{
			Method: http.MethodPost, Path: "/receipts", Body: []byte(key),
			Header: http.Header{faker.KeyHeader: {key}},
		})
		cancel()
		w.verdicts[key] = judge.Of(err)
		if err == nil && a.Status == http.StatusCreated {
			w.verdicts[key] = judge.Ran
		}
	}
}

// Each verdict is compared with the journal, which outlives a killed process.
var _ = Describe("Verdicts of writes to a process that is killed, suspended and disconnected", func() {
	It("are not-run only for writes that never ran, and no write runs twice", func(ctx context.Context) {
		dir, err := os.MkdirTemp("", "launcher")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(os.RemoveAll, dir)
		programs, err := launcher.Build(ctx, dir)
		Expect(err).NotTo(HaveOccurred())
		c := launcher.New(programs, GinkgoWriter)
		DeferCleanup(func() { c.Stop() })
		_, err = c.Platform(ctx)
		Expect(err).NotTo(HaveOccurred())
		journal := filepath.Join(dir, "journal")
		start := func(addr string) *launcher.Process {
			args := []string{"service", "-listen", addr, "-list", c.PlatformURL(), "-journal", journal, "-time", "1ms"}
			p, err := c.Start(ctx, addr, programs.Standin, nil, args...)
			Expect(err).NotTo(HaveOccurred())
			return p
		}
		addr, err := launcher.FreeAddr()
		Expect(err).NotTo(HaveOccurred())
		service := start(addr)
		proxy, err := launcher.NewFaultProxy(addr)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(proxy.Close)

		w := &writeLoad{
			client:   forwarder.NewClient(proxy.Addr(), sender.NewClient()),
			verdicts: map[string]judge.Verdict{}, done: make(chan struct{}),
		}
		go w.run(ctx, 600)
		random := rand.New(rand.NewPCG(7, 7))
		for busy := true; busy; {
			switch random.IntN(5) {
			case 0:
				Expect(service.Kill()).To(Succeed())
				service = start(addr)
			case 1:
				Expect(service.Suspend()).To(Succeed())
				time.Sleep(100 * time.Millisecond)
				Expect(service.Resume()).To(Succeed())
			case 2:
				proxy.SetFault(launcher.NetworkFault{StallDownstream: true})
				time.Sleep(100 * time.Millisecond)
			case 3:
				proxy.SetFault(launcher.NetworkFault{StallUpstream: true})
				time.Sleep(100 * time.Millisecond)
			case 4:
				proxy.SetFault(launcher.NetworkFault{Cut: true})
				time.Sleep(20 * time.Millisecond)
			}
			proxy.SetFault(launcher.NetworkFault{})
			select {
			case <-w.done:
				busy = false
			case <-time.After(30 * time.Millisecond):
			}
		}
		// Writes that were held back may still be running; wait until none is.
		Eventually(func() faker.ServiceLoad {
			var load faker.ServiceLoad
			Expect(launcher.Get(ctx, service.URL()+"/load", &load)).To(Succeed())
			return load
		}, "10s").Should(HaveField("Running", 0))

		lines, err := faker.ReadJournal(journal)
		Expect(err).NotTo(HaveOccurred())
		ran := map[string]int{}
		for _, line := range lines {
			ran[line.Run.Key]++
		}
		counts := map[judge.Verdict]int{}
		for key, v := range w.verdicts {
			counts[v]++
			Expect(ran[key]).To(BeNumerically("<=", 1), key)
			if v == judge.NotRun {
				Expect(ran[key]).To(BeZero(), key)
			}
			if v == judge.Ran {
				Expect(ran[key]).To(Equal(1), key)
			}
		}
		GinkgoWriter.Println("verdicts", counts, "runs", len(lines))
		Expect(counts[judge.MayHaveRun]).To(BeNumerically(">", 0), "no fault had an effect")
	}, NodeTimeout(120*time.Second))
})
