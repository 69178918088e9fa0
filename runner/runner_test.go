package runner_test

import (
	"context"
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/jobtracker"
	"primrosehook/judge"
	"primrosehook/runner"
	"primrosehook/sharder"
	"primrosehook/simulator"
)

type instance struct {
	node   *simulator.Node
	runner *runner.Runner
}

func start(f *simulator.Fleet, e *simulator.Engine, names ...string) []*instance {
	var all []*instance
	for _, name := range names {
		n, err := f.Add(name)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(n.Kill)
		r := runner.New(n.Log, n, n.Peers, e.Do,
			runner.WithSharding(sharder.WithCount(2), sharder.WithGroupInterval(2*time.Millisecond), sharder.WithOwnerTimeout(600*time.Millisecond)),
			runner.WithLimits(400*time.Millisecond, time.Minute),
			runner.WithDeadlines(time.Hour, time.Hour))
		r.Serve(n.Server)
		r.Start(n.Context)
		all = append(all, &instance{n, r})
	}
	return all
}

func (i *instance) accept(key, body string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return i.runner.Accept(ctx, runner.Request{Key: key, Class: "deferred", Body: []byte(body)})
}

func (i *instance) state(id string) func() string {
	return func() string {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		s, err := i.runner.Fetch(ctx, id)
		if err != nil {
			return judge.As(err).Code
		}
		return strings.TrimSpace(s.State + " " + string(s.Result) + s.Reason)
	}
}

// owner returns the first owner of a job's shard.
func owner(all []*instance, id string) *instance {
	shard, _, _ := strings.Cut(id, "-")
	name := all[0].node.Owners("job."+shard, 1)[0].Name
	return all[slices.IndexFunc(all, func(i *instance) bool { return i.node.Name == name })]
}

func except(all []*instance, one *instance) []*instance {
	return slices.DeleteFunc(slices.Clone(all), func(i *instance) bool { return i == one })
}

var _ = Describe("Runner", func() {
	var fleet *simulator.Fleet
	var e *simulator.Engine
	BeforeEach(func() {
		fleet = simulator.NewFleet()
		e = simulator.NewEngine()
	})

	It("accepts a job once for its key and returns the result at every instance", func() {
		all := start(fleet, e, "a", "b", "c")
		id, err := all[0].accept("k", "digest")
		Expect(err).NotTo(HaveOccurred())
		for _, i := range all {
			again, err := i.accept("k", "digest")
			Expect(err).NotTo(HaveOccurred())
			Expect(again).To(Equal(id))
			Eventually(i.state(id), "20s", "20ms").Should(Equal("done result of digest"))
		}
		Expect(e.RunCount("digest")).To(Equal(1))
		_, err = all[1].accept("k", "other")
		Expect(judge.As(err).Code).To(Equal("key-reused"))
		one, err := all[1].accept("", "same")
		Expect(err).NotTo(HaveOccurred())
		two, err := all[1].accept("", "same")
		Expect(err).NotTo(HaveOccurred())
		Expect(one).NotTo(Equal(two))
	})

	It("refuses jobs and keys that are too large and IDs of unknown jobs", func() {
		a := start(fleet, e, "a")[0]
		_, err := a.accept("k", string(make([]byte, jobtracker.MaxRequest+1)))
		Expect(judge.As(err).Status).To(Equal(413))
		_, err = a.accept(string(make([]byte, runner.MaxKey+1)), "x")
		Expect(judge.Of(err)).To(Equal(judge.NotRun))
		for _, id := range []string{"", "x", "9-abc", "-1-abc", "0-unknown"} {
			Expect(a.state(id)()).To(Equal("job-unknown"), id)
		}
	})

	It("runs a job again after its owner was killed, and after all instances that knew it were killed", func() {
		all := start(fleet, e, "a", "b", "c")
		e.SetBehavior(simulator.Succeed, make(chan struct{}))
		id, err := all[0].accept("k", "digest")
		Expect(err).NotTo(HaveOccurred())
		Eventually(e.Started, "10s").Should(Receive())
		first := owner(all, id)
		first.node.Kill()
		fleet.Remove(first.node.Name)
		Eventually(e.Started, "10s").Should(Receive())
		for _, i := range except(all, first) {
			i.node.Kill()
			fleet.Remove(i.node.Name)
		}
		e.SetBehavior(simulator.Succeed, nil)
		fresh := start(fleet, e, "d", "e")
		Eventually(fresh[1].state(id), "20s", "20ms").Should(Equal("done result of digest"))
	})

	It("accepts no job while the log is down, and records results of that time once the log is available", func() {
		all := start(fleet, e, "a", "b")
		gate := make(chan struct{})
		e.SetBehavior(simulator.Succeed, gate)
		id, err := all[0].accept("k", "digest")
		Expect(err).NotTo(HaveOccurred())
		Eventually(e.Started, "10s").Should(Receive())
		for _, i := range all {
			i.node.Log.SetUnreachable(true)
		}
		close(gate)
		first := owner(all, id)
		Eventually(first.state(id), "20s", "20ms").Should(Equal("done result of digest"))
		Expect(first.runner.Stats().Unrecorded).To(Equal(1))
		_, err = all[0].accept("new", "other")
		Expect(err).To(HaveOccurred())
		for _, i := range all {
			i.node.Log.SetUnreachable(false)
		}
		Eventually(func() int { return first.runner.Stats().Unrecorded }, "20s", "20ms").Should(BeZero())
		first.node.Kill()
		fleet.Remove(first.node.Name)
		Eventually(except(all, first)[0].state(id), "20s", "20ms").Should(Equal("done result of digest"))
		Expect(e.RunCount("digest")).To(Equal(1))
	})

	It("reads the log before it runs the jobs of a killed owner", func() {
		all := start(fleet, e, "a", "b")
		id, err := all[0].accept("k", "digest")
		Expect(err).NotTo(HaveOccurred())
		first := owner(all, id)
		next := except(all, first)[0]
		gate := make(chan struct{})
		e.SetBehavior(simulator.Succeed, gate)
		Eventually(e.Started, "10s").Should(Receive())
		Eventually(func() int { return next.runner.Stats().Open }, "20s", "20ms").Should(Equal(1))
		next.node.Log.SetUnreachable(true)
		close(gate)
		Eventually(func() int64 { return first.runner.Stats().Done }, "20s", "20ms").Should(Equal(int64(1)))
		first.node.Kill()
		fleet.Remove(first.node.Name)
		Consistently(func() int { return e.RunCount("digest") }, "500ms", "20ms").Should(Equal(1))
		next.node.Log.SetUnreachable(false)
		Eventually(next.state(id), "20s", "20ms").Should(Equal("done result of digest"))
		Expect(e.RunCount("digest")).To(Equal(1))
	})

	It("runs the jobs of a killed owner without the log if the log stays unavailable", func() {
		all := start(fleet, e, "a", "b")
		e.SetBehavior(simulator.Succeed, make(chan struct{}))
		id, err := all[0].accept("k", "digest")
		Expect(err).NotTo(HaveOccurred())
		Eventually(e.Started, "10s").Should(Receive())
		first := owner(all, id)
		next := except(all, first)[0]
		Eventually(func() int { return next.runner.Stats().Open }, "20s", "20ms").Should(Equal(1))
		next.node.Log.SetUnreachable(true)
		first.node.Kill()
		fleet.Remove(first.node.Name)
		e.SetBehavior(simulator.Succeed, nil)
		Eventually(next.state(id), "20s", "20ms").Should(Equal("done result of digest"))
	})

	It("returns verdict not run for a job that the log refused", func() {
		a := start(fleet, e, "a")[0]
		a.node.Log.SetFaults(func() simulator.Fault { return simulator.RefuseAppend })
		id, err := a.accept("k", "digest")
		Expect(id).To(BeEmpty())
		Expect(judge.Of(err)).To(Equal(judge.NotRun))
		Expect(judge.As(err).RetryAfter).To(BeNumerically(">", 0))
		Consistently(func() int { return e.RunCount("digest") }, "300ms").Should(BeZero())
	})

	It("retries after a temporary failure, and records a permanent failure with its reason", func() {
		a := start(fleet, e, "a")[0]
		attempts := 0
		e.SetBehavior(func(j jobtracker.Job) error {
			if string(j.Request) == "bad" {
				return judge.Invalid("model", "no such model")
			}
			if attempts++; attempts == 1 {
				return judge.Unavailable("overloaded", "no engine is free", time.Second)
			}
			return nil
		}, nil)
		id, err := a.accept("k", "digest")
		Expect(err).NotTo(HaveOccurred())
		Eventually(a.state(id), "20s", "20ms").Should(Equal("done result of digest"))
		bad, err := a.accept("bad", "bad")
		Expect(err).NotTo(HaveOccurred())
		Eventually(a.state(bad), "20s", "20ms").Should(Equal("failed no such model"))
		Expect(e.RunCount("bad")).To(Equal(1))
	})

	It("starts no job during a drain, records the results of running ones, and leaves the rest to the next owner", func() {
		all := start(fleet, e, "a", "b")
		gate := make(chan struct{})
		e.SetBehavior(simulator.Succeed, gate)
		id, err := all[0].accept("k", "digest")
		Expect(err).NotTo(HaveOccurred())
		Eventually(e.Started, "10s").Should(Receive())
		first := owner(all, id)
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		Expect(first.runner.Drain(ctx)).NotTo(Succeed())
		_, err = first.accept("next", "next")
		Expect(err).NotTo(HaveOccurred(), "another owner accepts the job")
		close(gate)
		Expect(first.runner.Drain(context.Background())).To(Succeed())
		Eventually(except(all, first)[0].state(id), "20s", "20ms").Should(Equal("done result of digest"))
	})

	It("completes every accepted job under seeded faults and kills, and runs none that it reported as not run", func() {
		for seed := int64(1); seed <= 4; seed++ {
			chaos(seed)
		}
	})
})

// chaos submits jobs at all instances while appends fail, the log is
// disconnected and two of five instances are killed, then waits for the
// accepted jobs to complete.
func chaos(seed int64) {
	r := rand.New(rand.NewSource(seed))
	fleet, e := simulator.NewFleet(), simulator.NewEngine()
	e.SetBehavior(func(jobtracker.Job) error {
		if r.Intn(4) == 0 {
			return judge.Unknown("engine", "engine was lost", nil)
		}
		return nil
	}, nil)
	all := start(fleet, e, "a", "b", "c", "d", "e")
	for _, i := range all {
		faults := rand.New(rand.NewSource(r.Int63()))
		i.node.Log.SetFaults(func() simulator.Fault { return simulator.Fault(max(0, faults.Intn(11)-5)) })
	}
	accepted := map[string]string{}
	var refused []string
	for round := range 12 {
		body := fmt.Sprint("job", round)
		at := all[round%len(all)]
		id, err := at.accept(body, body)
		switch {
		case err == nil:
			accepted[id] = body
		case judge.Of(err) == judge.NotRun:
			refused = append(refused, body)
		}
		if round == 4 || round == 8 {
			at.node.Kill()
			fleet.Remove(at.node.Name)
			all = except(all, at)
		}
		fleet.Log.ApplyDelayed()
	}
	for _, i := range all {
		i.node.Log.SetFaults(func() simulator.Fault { return simulator.NoFault })
	}
	Expect(accepted).NotTo(BeEmpty())
	for id, body := range accepted {
		Eventually(all[0].state(id), "60s", "20ms").Should(Equal("done result of "+body), "seed %d", seed)
	}
	for _, body := range refused {
		Expect(e.RunCount(body)).To(BeZero(), "seed %d: %s", seed, body)
	}
}
