package prover_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/launcher"
)

// monitor polls a number that must never decrease, such as the version in force on an
// instance, and records the first violation. The same number from another source is a
// violation too; 0 means that there is no number and is ignored.
type monitor struct {
	poll       func() (n int64, by string)
	stop       chan struct{}
	done       chan struct{}
	high       int64
	source     string
	regression string
}

func startMonitor(look func() (int64, string)) *monitor {
	s := &monitor{poll: look, stop: make(chan struct{}), done: make(chan struct{})}
	go s.run()
	return s
}

func monitorVersion(at *launcher.Process) *monitor {
	return startMonitor(func() (int64, string) { return at.RulesVersion(), at.Addr })
}

func (s *monitor) run() {
	defer close(s.done)
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		n, by := s.poll()
		if n != 0 && s.regression == "" && (n < s.high || n == s.high && by != s.source) {
			s.regression = fmt.Sprintf("%d of %s after %d of %s", n, by, s.high, s.source)
		}
		if n > s.high {
			s.high, s.source = n, by
		}
	}
}

// expectNoRegression stops the monitor and expects that it saw no violation.
func (s *monitor) expectNoRegression() {
	close(s.stop)
	Eventually(s.done, waitLimit).Should(BeClosed())
	Expect(s.regression).To(BeEmpty())
}

// operator publishes rule lists, each with the version in force at its instance as
// base.
type operator struct {
	name  string
	at    *launcher.Process
	tries int
	won   []int64
	lost  int
	wait  *sync.WaitGroup
}

func (o *operator) run() {
	defer GinkgoRecover()
	defer o.wait.Done()
	for n := range o.tries {
		base := o.at.RulesVersion()
		text := strings.Replace(rules, "name: proof", fmt.Sprintf("name: %s-%d", o.name, n), 1)
		version, status := o.at.Publish(base, text)
		switch status {
		case http.StatusOK:
			o.won = append(o.won, version)
		case http.StatusConflict:
			o.lost++
		}
	}
}

// race runs one operator at each instance concurrently. It returns the sorted versions
// of the accepted lists and the number of conflicts.
func (w *world) race(tries int) (won []int64, lost int) {
	var all []*operator
	var wait sync.WaitGroup
	for n, e := range w.entries {
		o := &operator{name: fmt.Sprint("op", n), at: e, tries: tries, wait: &wait}
		all = append(all, o)
		wait.Add(1)
		go o.run()
	}
	wait.Wait()
	for _, o := range all {
		won = append(won, o.won...)
		lost += o.lost
	}
	slices.Sort(won)
	return won, lost
}

// waitVersion waits until instances have a version of the rule list in force.
func (w *world) waitVersion(want int64, entries ...*launcher.Process) {
	for _, e := range entries {
		Eventually(e.RulesVersion, waitLimit, pollInterval).Should(Equal(want))
	}
}

var _ = Describe("an accepted rule list", func() {
	var w *world
	BeforeEach(func(ctx context.Context) {
		w = startWorld(ctx, 1, 5)
	})

	It("wins against lists of racing operators and comes into force on every instance", func() {
		var watches []*monitor
		for _, e := range w.entries {
			watches = append(watches, monitorVersion(e))
		}
		won, lost := w.race(8)
		Expect(slices.Compact(slices.Clone(won))).To(Equal(won), "each version has one winner")
		Expect(len(won) + lost).To(Equal(40))
		Expect(lost).To(BeNumerically(">", 0))
		w.waitVersion(won[len(won)-1], w.entries...)
		for _, s := range watches {
			s.expectNoRegression()
		}
		var status struct {
			Fleet map[string]struct{ Rules struct{ Version int64 } }
		}
		Eventually(func() int {
			Expect(launcher.Get(w.ctx, "http://"+w.entries[0].OperatorAddr+"/admin/status?fleet=1", &status)).To(Succeed())
			return len(status.Fleet)
		}, waitLimit, pollInterval).Should(Equal(4), "one instance reports the others")
		for _, one := range status.Fleet {
			Expect(one.Rules.Version).To(Equal(won[len(won)-1]))
		}
	})

	It("stays in force when log replies are lost, and is accepted only once", func() {
		w.setOutages(loses, healthy)
		won, _ := w.race(4)
		Expect(slices.Compact(slices.Clone(won))).To(Equal(won))
		Expect(won).NotTo(BeEmpty())
		w.waitVersion(won[len(won)-1], w.entries...)
	})

	It("reaches an instance that starts while the log hangs, and never reverts there", func() {
		won, _ := w.race(2)
		newest := won[len(won)-1]
		w.waitVersion(newest, w.entries...)
		w.setOutages(hangs, healthy)
		late := w.entry()
		w.waitVersion(newest, late)
		Eventually(late.Ready, waitLimit, pollInterval).Should(BeTrue())
		watch := monitorVersion(late)
		w.setOutages(healthy, healthy)
		version, status := w.entries[0].Publish(newest, rules)
		Expect(status).To(Equal(http.StatusOK))
		w.waitVersion(version, w.entries...)
		watch.expectNoRegression()
	})

	It("survives the loss of every instance during a log outage", func() {
		newest := w.entries[0].RulesVersion()
		w.setOutages(refuses, healthy)
		for _, e := range w.entries {
			Expect(e.Kill()).To(Succeed())
		}
		w.entries = nil
		late := w.entry()
		Consistently(late.RulesVersion, "1s", pollInterval).Should(BeZero(), "no list is in force during the outage")
		w.setOutages(healthy, healthy)
		w.waitVersion(newest, late)
		Eventually(late.Ready, waitLimit, pollInterval).Should(BeTrue())
	})

	It("reaches an instance that was frozen, and no version in force decreases", func() {
		watch := monitorVersion(w.entries[0])
		Expect(w.entries[4].Suspend()).To(Succeed())
		version, status := w.entries[0].Publish(w.entries[0].RulesVersion(), rules)
		Expect(status).To(Equal(http.StatusOK))
		w.waitVersion(version, w.entries[:4]...)
		Expect(w.entries[4].Resume()).To(Succeed())
		w.waitVersion(version, w.entries[4])
		watch.expectNoRegression()
	})

	It("is rejected as a whole if it is invalid, and the previous one stays in force", func() {
		newest := w.entries[0].RulesVersion()
		_, status := w.entries[0].Publish(newest, rules+"  - {name: bad, when: 'nonsense(', then: {}}\n")
		Expect(status).To(Equal(http.StatusBadRequest))
		w.waitVersion(newest, w.entries...)
	})
})
