package writer_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/judge"
	"primrosehook/sharder"
	"primrosehook/simulator"
	"primrosehook/writer"
)

const longTimeout = 20 * time.Second

func start(f *simulator.Fleet, s *simulator.Service, names ...string) []*instance {
	return startWith(f, s, nil, names...)
}

func startWith(f *simulator.Fleet, s *simulator.Service, set []writer.Option, names ...string) []*instance {
	var all []*instance
	for _, name := range names {
		i, err := addInstance(f, s, name, set...)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(i.node.Kill)
		all = append(all, i)
	}
	return all
}

func expectNotRun(err error) {
	GinkgoHelper()
	Expect(err).To(HaveOccurred())
	Expect(judge.Of(err)).To(Equal(judge.NotRun), err.Error())
	Expect(judge.As(err).RetryAfter).To(BeNumerically(">", 0))
}

func expectMayHaveRun(err error) {
	GinkgoHelper()
	Expect(err).To(HaveOccurred())
	Expect(judge.Of(err)).To(Equal(judge.MayHaveRun), err.Error())
}

var _ = Describe("Writer", func() {
	var fleet *simulator.Fleet
	var s *simulator.Service
	BeforeEach(func() {
		fleet = simulator.NewFleet()
		s = simulator.NewService()
	})

	It("runs a write once and answers its repeats at any instance with the same outcome", func() {
		for i, at := range start(fleet, s, "a", "b", "c") {
			r, err := at.write("k", fmt.Sprint("r", i), longTimeout)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(r.Body)).To(Equal("r0"))
			Expect(r.Replayed).To(Equal(i > 0))
		}
		Expect(s.RequestsRun("k")).To(Equal([]string{"r0"}))
	})

	It("runs one of many concurrent requests with the same key", func() {
		all := start(fleet, s, "a", "b", "c")
		var g sync.WaitGroup
		var calls []*call
		for i := range 30 {
			c := &call{at: all[i%3], key: "k", name: fmt.Sprint("r", i), limit: longTimeout, group: &g}
			calls = append(calls, c)
			g.Add(1)
			go c.run()
		}
		g.Wait()
		Expect(s.RequestsRun("k")).To(HaveLen(1))
		for _, c := range calls {
			Expect(c.err).NotTo(HaveOccurred())
			Expect(string(c.response.Body)).To(Equal(s.RequestsRun("k")[0]))
		}
	})

	It("refuses a key that another request used, a write without a key, and a key or body that is too large", func() {
		a := start(fleet, s, "a")[0]
		_, err := a.write("k", "r", longTimeout)
		Expect(err).NotTo(HaveOccurred())
		for _, q := range []writer.Request{
			{Service: "receipts", Method: "POST", Path: "/other", Key: "k"},
			{Service: "receipts", Method: "POST", Path: "/receipts"},
			{Service: "receipts", Key: "big", Body: make([]byte, writer.MaxBody+1)},
			{Service: "receipts", Key: string(make([]byte, writer.MaxKey+1))},
		} {
			_, err := a.writer.Write(context.Background(), q)
			Expect(judge.Of(err)).To(Equal(judge.NotRun))
			Expect(judge.As(err).RetryAfter).To(BeZero())
		}
		Expect(s.Executed).To(HaveLen(1))
	})

	It("tries another server after a failed dial, and releases the key when no server is reachable", func() {
		a := start(fleet, s, "a")[0]
		outcomes := []simulator.SendOutcome{simulator.SendUnreachable, simulator.SendUnreachable, simulator.SendAnswered}
		s.SetBehavior(func() simulator.SendOutcome { f := outcomes[0]; outcomes = outcomes[1:]; return f }, nil)
		_, err := a.write("k", "r", longTimeout)
		Expect(err).NotTo(HaveOccurred())
		s.SetBehavior(simulator.Always(simulator.SendUnreachable), nil)
		_, err = a.write("free", "first", longTimeout)
		expectNotRun(err)
		s.SetBehavior(simulator.Always(simulator.SendAnswered), nil)
		r, err := a.write("free", "second", longTimeout)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(r.Body)).To(Equal("second"))
	})

	It("does not send a write again after a lost reply", func() {
		all3 := start(fleet, s, "a", "b", "c")
		s.SetBehavior(simulator.Always(simulator.SendReplyLost), nil)
		for i := range 3 {
			_, err := all3[i].write("k", fmt.Sprint("r", i), longTimeout)
			expectMayHaveRun(err)
		}
		Expect(s.RequestsRun("k")).To(HaveLen(1))
	})

	It("does not send a write again if its claimant was killed between claim and outcome", func() {
		first, other := ownerAndOther(start(fleet, s, "a", "b", "c"))
		s.SetBehavior(simulator.Always(simulator.SendAnswered), make(chan struct{}))
		var g sync.WaitGroup
		g.Add(1)
		c := &call{at: other, key: "k", name: "first", limit: longTimeout, group: &g}
		go c.run()
		Eventually(s.Executed, "10s").Should(Receive())
		first.node.Kill()
		fleet.Remove(first.node.Name)
		g.Wait()
		expectMayHaveRun(c.err)
		_, err := other.write("k", "second", longTimeout)
		expectMayHaveRun(err)
		Expect(s.RequestsRun("k")).To(Equal([]string{"first"}))
	})

	It("refuses writes as not run while the log is down, without delay after the first", func() {
		all3 := start(fleet, s, "a", "b", "c")
		_, err := all3[0].write("before", "r", longTimeout)
		Expect(err).NotTo(HaveOccurred())
		for _, i := range all3 {
			i.node.Log.SetUnreachable(true)
		}
		first, _ := ownerAndOther(all3)
		for i := range 5 {
			_, err := first.write(fmt.Sprint("k", i), "r", longTimeout)
			expectNotRun(err)
		}
		Expect(s.Executed).To(HaveLen(1))
		for _, i := range all3 {
			i.node.Log.SetUnreachable(false)
		}
		Eventually(func() error {
			_, err := first.write("k0", "again", longTimeout)
			return err
		}, "20s", "50ms").Should(Succeed())
		Expect(s.RequestsRun("k0")).To(Equal([]string{"again"}))
	})

	It("continues when only one owner is disconnected from the log", func() {
		all3 := start(fleet, s, "a", "b", "c")
		first, other := ownerAndOther(all3)
		_, err := other.write("before", "r", longTimeout)
		Expect(err).NotTo(HaveOccurred())
		first.node.Log.SetUnreachable(true)
		for i, at := range []*instance{first, other, first} {
			_, err := at.write(fmt.Sprint("k", i), "r", longTimeout)
			Expect(err).NotTo(HaveOccurred())
		}
	})

	It("does not send a write whose claim reaches the log after the write was given up", func() {
		a, b := start(fleet, s, "a")[0], (*instance)(nil)
		a.node.Log.SetFaults(func() simulator.Fault { return simulator.DelayAppend })
		_, err := a.write("k", "first", longTimeout)
		expectNotRun(err)
		a.node.Log.SetFaults(func() simulator.Fault { return simulator.NoFault })
		fleet.Log.ApplyDelayed()
		b = start(fleet, s, "b")[0]
		Eventually(func() error {
			_, err := b.write("k", "second", longTimeout)
			return err
		}, "20s", "50ms").Should(Succeed())
		Expect(s.RequestsRun("k")).To(Equal([]string{"second"}))
	})

	It("answers the caller if the log goes down after the send, and records the outcome later", func() {
		all3 := start(fleet, s, "a", "b", "c")
		first, other := ownerAndOther(all3)
		gate := make(chan struct{})
		s.SetBehavior(simulator.Always(simulator.SendAnswered), gate)
		var g sync.WaitGroup
		g.Add(1)
		c := &call{at: first, key: "k", name: "first", limit: longTimeout, group: &g}
		go c.run()
		Eventually(s.Executed, "10s").Should(Receive())
		first.node.Log.SetUnreachable(true)
		close(gate)
		g.Wait()
		Expect(c.err).NotTo(HaveOccurred())
		r, err := first.write("k", "repeat", longTimeout)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(r.Body)).To(Equal("first"))
		first.node.Log.SetUnreachable(false)
		Eventually(func() int { return first.writer.Stats().InProgress }, "20s", "20ms").Should(BeZero())
		first.node.Kill()
		fleet.Remove(first.node.Name)
		r, err = other.write("k", "after", longTimeout)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(r.Body)).To(Equal("first"))
		Expect(s.RequestsRun("k")).To(Equal([]string{"first"}))
	})

	// drained sends a write, takes the log down before the response, and drains
	// and stops the owner. The next owner may already be waiting for the
	// outcome.
	drained := func(all []*instance, waiting bool) (*instance, error) {
		first, _ := ownerAndOther(all)
		gate := make(chan struct{})
		s.SetBehavior(simulator.Always(simulator.SendAnswered), gate)
		var g sync.WaitGroup
		g.Add(1)
		c := &call{at: first, key: "k", name: "first", limit: longTimeout, group: &g}
		go c.run()
		Eventually(s.Executed, "10s").Should(Receive())
		if waiting {
			waits := func(i *instance) bool { return i.writer.Stats().InProgress == 1 }
			Eventually(func() bool { return slices.ContainsFunc(except(all, first), waits) }, "10s", "5ms").Should(BeTrue())
		}
		for _, i := range all {
			i.node.Log.SetUnreachable(true)
		}
		close(gate)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		err := first.writer.Drain(ctx)
		g.Wait()
		Expect(c.err).NotTo(HaveOccurred(), "a planned stop cuts no write")
		first.node.Kill()
		fleet.Remove(first.node.Name)
		return first, err
	}

	DescribeTable("hands unrecorded outcomes to the next owner at a planned stop, and on again when that owner stops", func(overlap time.Duration) {
		left := startWith(fleet, s, []writer.Option{
			writer.WithSharding(sharder.WithOverlap(overlap)), writer.WithLimits(300*time.Millisecond, 5*time.Second, longTimeout),
		}, "a", "b", "c")
		for len(left) > 1 {
			var gone *instance
			var err error
			if len(left) == 3 {
				gone, err = drained(left, overlap < longTimeout)
			} else {
				gone, _ = ownerAndOther(left)
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				err = gone.writer.Drain(ctx)
				cancel()
				gone.node.Kill()
				fleet.Remove(gone.node.Name)
			}
			Expect(err).NotTo(HaveOccurred())
			left = except(left, gone)
			for _, i := range left {
				r, err := i.write("k", "repeat", longTimeout)
				Expect(err).NotTo(HaveOccurred(), "the log is down")
				Expect(string(r.Body)).To(Equal("first"))
			}
		}
		// The last instance may have had a repeat that waited. The handover has
		// answered it, but it counts until its goroutine has ended.
		Eventually(func() int { return left[0].writer.Stats().InProgress }, "1s", "5ms").Should(Equal(1))
		// The last instance has not read the claim.
		Consistently(func() int { return left[0].writer.Stats().InProgress }, "2500ms", "100ms").Should(Equal(1))
		left[0].node.Log.SetUnreachable(false)
		Eventually(func() int { return left[0].writer.Stats().InProgress }, "20s", "20ms").Should(BeZero())
		fresh := start(fleet, s, "z")[0]
		left[0].node.Kill()
		fleet.Remove(left[0].node.Name)
		r, err := fresh.write("k", "after", longTimeout)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(r.Body)).To(Equal("first"))
		Expect(s.RequestsRun("k")).To(Equal([]string{"first"}))
	},
		Entry("that no other instance waits for", time.Hour),
		Entry("that already waits for the outcome", 2*time.Second),
	)

	It("does not send a write again if a planned stop during an outage could hand its outcome to no instance", func() {
		_, err := drained(start(fleet, s, "a"), false)
		Expect(err).To(HaveOccurred())
		_, err = start(fleet, s, "b")[0].write("k", "second", longTimeout)
		expectMayHaveRun(err)
		Expect(s.RequestsRun("k")).To(Equal([]string{"first"}))
	})

	It("refuses new writes during a drain and waits for those in progress", func() {
		a := start(fleet, s, "a")[0]
		gate := make(chan struct{})
		s.SetBehavior(simulator.Always(simulator.SendAnswered), gate)
		var g sync.WaitGroup
		g.Add(1)
		c := &call{at: a, key: "k", name: "first", limit: longTimeout, group: &g}
		go c.run()
		Eventually(s.Executed, "10s").Should(Receive())
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		Expect(a.writer.Drain(ctx)).NotTo(Succeed())
		_, err := a.write("new", "r", longTimeout)
		expectNotRun(err)
		close(gate)
		Expect(a.writer.Drain(context.Background())).To(Succeed())
		g.Wait()
		Expect(c.err).NotTo(HaveOccurred())
	})
})
