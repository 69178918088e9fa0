package poolmanager_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/driver"
	"primrosehook/faker"
	"primrosehook/launcher"
	"primrosehook/server"
)

// Parameters of the test with real processes.
const (
	historyRounds  = 8
	historyModels  = 5
	historyEngines = 3
	recoveryLimit  = "150s"
)

// deployment is a set of real processes with more models than one engine has room
// for, and a seeded source of faults.
type deployment struct {
	*launcher.Cluster
	rng      *rand.Rand
	platform *launcher.Process
	engines  []*launcher.Process
	entries  []*launcher.Process
}

func startProcesses(ctx context.Context, seed uint64) *deployment {
	dir := GinkgoT().TempDir()
	programs, err := launcher.Build(ctx, dir)
	Expect(err).NotTo(HaveOccurred())
	p := &deployment{Cluster: launcher.New(programs, GinkgoWriter), rng: rand.New(rand.NewPCG(seed, 0))}
	DeferCleanup(p.Stop)
	p.platform, err = p.Platform(ctx, "-list-renewal", "5s", "-store-rate", "0", "-store-slots", "0")
	Expect(err).NotTo(HaveOccurred())
	for i := range historyEngines {
		e, err := p.Engine(ctx, "-pool", "assistant", "-total", "11000", "-reserve", "2000",
			"-fences="+strconv.FormatBool(i == 0), "-remembers="+strconv.FormatBool(i != 2))
		Expect(err).NotTo(HaveOccurred())
		p.engines = append(p.engines, e)
	}
	for range 3 {
		p.addEntry(ctx)
	}
	p.publish(ctx)
	return p
}

// publish publishes rules that require three replicas of two models, which fill all
// engines, so that the next rules require both unloads and loads.
func (p *deployment) publish(ctx context.Context) {
	a := p.rng.IntN(historyModels)
	text := historyRules(a, (a+1)%historyModels)
	Eventually(func() error { return replaceRules(ctx, "http://"+p.entries[0].OperatorAddr+"/admin/rules", text) },
		recoveryLimit, "500ms").Should(Succeed())
}

func replaceRules(ctx context.Context, url, text string) error {
	base := "0"
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return err
	}
	if a, err := http.DefaultClient.Do(q); err == nil {
		a.Body.Close()
		if version := a.Header.Get(server.VersionHeader); version != "" {
			base = version
		}
	}
	q, err = http.NewRequestWithContext(ctx, http.MethodPost, url+"?base="+base, strings.NewReader(text))
	if err != nil {
		return err
	}
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return err
	}
	defer a.Body.Close()
	if a.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("publish answered status %d", a.StatusCode)
	}
	return nil
}

func historyRules(a, b int) string {
	var text strings.Builder
	text.WriteString("name: history\nweights: {attainment: 0.9, moves: 0.1}\nmodels:\n")
	for i := range historyModels {
		fmt.Fprintf(&text, "  - {name: m%d, pool: assistant, memory: 3000}\n", i)
	}
	text.WriteString("rules:\n")
	fmt.Fprintf(&text, "  - {name: wanted, when: 'kind == \"model\" && model in [\"m%d\", \"m%d\"]', then: {ready: 3}}\n", a, b)
	text.WriteString("  - {name: models, when: 'kind == \"model\"', then: {ready: 1}}\n")
	text.WriteString("  - {name: all, when: \"true\", then: {class: urgent, queue: 2s}}\n")
	return text.String()
}

func (p *deployment) addEntry(ctx context.Context) {
	e, err := p.Entry(ctx, "-lease", "3s", "-linger", "1s")
	Expect(err).NotTo(HaveOccurred())
	p.entries = append(p.entries, e)
}

// sendRequests sends some chat requests for one model, so that there is demand.
func (p *deployment) sendRequests(ctx context.Context) {
	model := p.rng.IntN(historyModels)
	for range 20 {
		entry := p.entries[p.rng.IntN(len(p.entries))]
		body := fmt.Sprintf(`{"model":"m%d","max_tokens":3,"messages":[{"role":"user","content":"a"}]}`, model)
		limit, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
		q, err := http.NewRequestWithContext(limit, http.MethodPost, entry.URL()+"/v1/chat/completions", strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		if a, err := http.DefaultClient.Do(q); err == nil {
			_, _ = io.Copy(io.Discard, a.Body)
			a.Body.Close()
		}
		cancel()
	}
}

// injectFaults injects one fault into the orders to an engine and one into a
// process or the log. It returns what it did to the latter.
func (p *deployment) injectFaults(ctx context.Context) string {
	engine := p.engines[p.rng.IntN(len(p.engines))]
	faults := faker.EngineFaults{OrderDelay: 2 * time.Second}
	switch p.rng.IntN(4) {
	case 0:
		faults.LoseOrders = 1
	case 1:
		faults.DelayOrders = 2
	case 2:
		faults.DuplicateOrders = 2
	case 3:
		faults.LoseReplies = 2
	}
	Expect(launcher.Put(ctx, engine.URL()+"/faults", faults)).To(Succeed())
	i := p.rng.IntN(len(p.entries))
	switch p.rng.IntN(4) {
	case 0:
		Expect(p.entries[i].Kill()).To(Succeed())
		p.entries = append(p.entries[:i], p.entries[i+1:]...)
		p.addEntry(ctx)
		return "killed an instance"
	case 1:
		Expect(p.entries[i].Suspend()).To(Succeed())
		p.sleepAtLeast(5 * time.Second)
		Expect(p.entries[i].Resume()).To(Succeed())
		return "froze an instance past its lease"
	case 2:
		p.setLog(ctx, faker.Faults{Outage: faker.OutageHang})
		p.sleepAtLeast(5 * time.Second)
		p.setLog(ctx, faker.Faults{})
		return "made the log hang"
	}
	p.setLog(ctx, faker.Faults{LoseReplies: 6})
	p.sleepAtLeast(time.Second)
	return "lost replies of the log"
}

func (p *deployment) sleepAtLeast(least time.Duration) {
	time.Sleep(least + time.Duration(p.rng.Int64N(int64(time.Second))))
}

func (p *deployment) setLog(ctx context.Context, f faker.Faults) {
	Expect(launcher.Put(ctx, p.platform.URL()+"/faults/log", faker.LogFaults{Faults: f})).To(Succeed())
}

// violations returns the times at which an engine was overcommitted, and the
// number of orders that reached the engines.
func (p *deployment) violations(ctx context.Context) ([]faker.Violation, int) {
	var all []faker.Violation
	orders := 0
	for _, e := range p.engines {
		var some []faker.Violation
		Expect(launcher.Get(ctx, e.URL()+"/violations", &some)).To(Succeed())
		all = append(all, some...)
		var report driver.Report
		Expect(launcher.Get(ctx, e.URL()+"/report", &report)).To(Succeed())
		orders += len(report.Orders)
	}
	return all, orders
}

// ready returns a function that counts the models that are ready on some engine.
func (p *deployment) ready(ctx context.Context) func() int {
	return func() int {
		models := map[string]bool{}
		for _, e := range p.engines {
			var report driver.Report
			if launcher.Get(ctx, e.URL()+"/report", &report) != nil {
				continue
			}
			for _, r := range report.Loaded {
				models[r.Model] = models[r.Model] || r.State == driver.StateReady
			}
		}
		return len(models)
	}
}

var _ = Describe("Real processes", func() {
	It("never overcommit an engine, and load every model again after faults", func(ctx context.Context) {
		seed, err := strconv.ParseUint(os.Getenv("HOLDER_SEED"), 10, 64)
		if err != nil {
			seed = 1
		}
		By(fmt.Sprintf("replay: HOLDER_SEED=%d go test ./poolmanager", seed))
		p := startProcesses(ctx, seed)
		Eventually(p.ready(ctx), recoveryLimit).Should(Equal(historyModels))
		for range historyRounds {
			p.publish(ctx)
			p.sendRequests(ctx)
			By(p.injectFaults(ctx))
			found, _ := p.violations(ctx)
			Expect(found).To(BeEmpty())
		}
		for _, e := range p.engines {
			Expect(launcher.Put(ctx, e.URL()+"/faults", faker.EngineFaults{})).To(Succeed())
		}
		p.setLog(ctx, faker.Faults{})
		Eventually(p.ready(ctx), recoveryLimit).Should(Equal(historyModels))
		found, orders := p.violations(ctx)
		Expect(found).To(BeEmpty())
		GinkgoWriter.Printf("%d orders reached the engines\n", orders)
		Expect(orders).To(BeNumerically(">=", historyModels))
	}, NodeTimeout(8*time.Minute))
})
