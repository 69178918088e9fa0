package auditor_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/auditor"
)

var begin = time.Date(2026, 12, 7, 6, 0, 0, 0, time.UTC)

// at returns a time in seconds since the begin of the soak.
func at(seconds float64) time.Time {
	return begin.Add(time.Duration(seconds * float64(time.Second)))
}

// sound returns a record in which all promises are exercised and kept: the store is away from 0 to
// 2 s, instance 1 stops as planned from 20 to 22 s, instance 0 reloads at 25 s, instance 2 is killed
// at 30 s, a configuration comes at 35 s, and a server is killed from 40 to 41 s.
func sound(random *rand.Rand) *auditor.Record {
	r := auditor.NewRecord(7, auditor.Bounds{
		Contact: 3 * time.Second, Ready: 10 * time.Second, Config: 2 * time.Second, Recovery: 12 * time.Second, Grace: 8 * time.Second,
		Slack: 200 * time.Millisecond, MemoryMB: 284, Descriptors: 4100,
	}, begin)
	r.End = at(70)
	r.Faults = []*auditor.Fault{
		{Kind: "store-late", Store: true, Begin: at(0), End: at(2)},
		{Kind: "stop", Planned: true, Instances: []int{1}, Begin: at(20), End: at(22)},
		{Kind: auditor.KindReload, Planned: true, Instances: []int{0}, Begin: at(25), End: at(25)},
		{Kind: "kill", Instances: []int{2}, Begin: at(30), End: at(30.1)},
		{Kind: auditor.KindChange, Store: true, Planned: true, Begin: at(35), End: at(39)},
		{Kind: "server-kill", Begin: at(40), End: at(41)},
	}
	process := func(instance int, start, end float64, signal string) {
		p := &auditor.Process{Instance: instance, PID: 100 + len(r.Processes), Start: at(start), Signal: signal, PeakMB: 60 + random.IntN(100), PeakDescriptors: 80}
		if signal != "" {
			p.End = at(end)
		}
		r.Processes = append(r.Processes, p)
	}
	process(0, 0, 0, "")
	process(1, 0, 22, "SIGTERM")
	process(2, 0, 30, "SIGKILL")
	process(1, 22, 0, "")
	process(2, 30.1, 0, "")
	for s := 0.5; s < 70; s += 0.5 {
		for i := range 3 {
			r.Samples = append(r.Samples, auditor.Sample{Instance: i, At: at(s), Ready: s > 4})
		}
	}
	r.Configs = []auditor.Config{{Version: 1, At: at(0)}, {Version: 4, At: at(35)}}
	r.Servers = []auditor.Server{{ID: "s0.1", Loads: 3}}
	for n, s := range []float64{10, 21, 25.1, 30, 50, 60} {
		id := fmt.Sprint("w", n)
		r.Requests = append(r.Requests, auditor.Request{Kind: "book", Once: true, Served: true, Attempts: []auditor.Attempt{
			{ID: id + "-r", Instance: 1, Sent: at(s), Done: at(s + 0.01), Status: 503, Complete: true},
			{ID: id, Instance: 0, Sent: at(s + 0.02), Done: at(s + 0.1), Status: 200, Complete: true},
		}})
		r.Runs[id] = []auditor.Run{{Server: "s0.1", At: at(s + 0.05)}}
	}
	r.Requests = append(r.Requests, auditor.Request{Kind: "probe", Version: 4, Served: true, Attempts: []auditor.Attempt{
		{ID: "p", Instance: 0, Sent: at(38), Done: at(38.1), Status: 200, Complete: true},
	}})
	return r
}

// never makes an instance never ready from a time on.
func never(r *auditor.Record, instance int, from float64) {
	for i := range r.Samples {
		if s := &r.Samples[i]; s.Instance == instance && !s.At.Before(at(from)) {
			s.Ready = false
		}
	}
}

// cut ends an attempt without an answer.
func cut(a *auditor.Attempt, sent, done float64, instance int) {
	*a = auditor.Attempt{ID: a.ID, Instance: instance, Sent: at(sent), Done: at(done), Cut: true, Reason: "EOF"}
}

var _ = Describe("The checks", func() {
	results := func(r *auditor.Record) map[string]auditor.Result {
		byName := map[string]auditor.Result{}
		for _, one := range auditor.Audit(r, auditor.Checks()) {
			byName[one.Name] = one
		}
		return byName
	}

	// Guards against checks that call a sound system broken, or that pass since nothing put them to
	// the test.
	It("find nothing in a sound record, and are all exercised", func() {
		r := sound(rand.New(rand.NewPCG(1, 1)))
		for name, one := range results(r) {
			Expect(one.Broken).To(BeEmpty(), name)
			if name != "races" {
				Expect(one.Times).To(BeNumerically(">", 0), name)
			}
		}
		r.Bounds.RaceDetector = true
		Expect(results(r)["races"].Times).To(Equal(5))
	})

	// Guards against checks that don't see what they are for.
	DescribeTable("flag a mutated record", func(name string, mutate func(*auditor.Record, int)) {
		for seed := range uint64(20) {
			random := rand.New(rand.NewPCG(seed, 2))
			r := sound(random)
			// The number selects one of the writes.
			mutate(r, random.IntN(6))
			for other, one := range results(r) {
				if other == name {
					Expect(one.Broken).NotTo(BeEmpty(), "seed %d", seed)
				} else {
					Expect(one.Broken).To(BeEmpty(), "seed %d: %s", seed, other)
				}
			}
		}
	},
		Entry("a process that ends by itself", "processes", func(r *auditor.Record, _ int) {
			p := r.Processes[0]
			p.End, p.Status, p.Ending = at(65), -1, "signal: broken pipe"
		}),
		Entry("a planned stop that fails", "processes", func(r *auditor.Record, _ int) { r.Processes[1].Status = 2 }),
		Entry("a planned stop that takes longer than the grace period", "processes", func(r *auditor.Record, _ int) {
			r.Processes[1].Overdue, r.Processes[1].Signal = true, "SIGTERM"
		}),
		Entry("an instance that is never ready after the store is back", "readiness", func(r *auditor.Record, n int) { never(r, n%2, 0) }),
		Entry("an instance that is never ready after a start", "readiness", func(r *auditor.Record, _ int) { never(r, 2, 30) }),
		Entry("a request that is not served after the recovery", "recovery", func(r *auditor.Record, _ int) {
			q := &r.Requests[5]
			q.Served, q.Attempts = false, q.Attempts[:1]
		}),
		Entry("a part of an answer that looks complete", "answers", func(r *auditor.Record, n int) {
			r.Requests[n].Attempts[1].Wrong = "the stream ends as complete after event 3 of 10"
		}),
		Entry("an event of another request in an answer that is broken off", "answers", func(r *auditor.Record, n int) {
			a := &r.Requests[n].Attempts[1]
			a.Wrong, a.Complete = "event 4 follows event 2", false
		}),
		Entry("a refused request that ran", "refusals", func(r *auditor.Record, n int) {
			r.Runs[r.Requests[n].Attempts[0].ID] = []auditor.Run{{Server: "s0.1", At: at(69)}}
		}),
		Entry("a write that ran twice", "once", func(r *auditor.Record, n int) {
			id := r.Requests[n].Attempts[1].ID
			r.Runs[id] = append(r.Runs[id], auditor.Run{Server: "s1.1", At: at(69)})
		}),
		Entry("a request that a planned stop cuts after it ran", "stops", func(r *auditor.Record, _ int) { cut(&r.Requests[1].Attempts[1], 21, 21.1, 1) }),
		Entry("a request that a planned stop holds and cuts", "stops", func(r *auditor.Record, _ int) { cut(&r.Requests[1].Attempts[0], 21, 21.5, 1) }),
		Entry("a request that a reload cuts", "stops", func(r *auditor.Record, _ int) { cut(&r.Requests[2].Attempts[1], 25.1, 25.2, 0) }),
		Entry("a route that is unknown beyond the bound", "configuration", func(r *auditor.Record, _ int) {
			r.Requests[6].Attempts[0].Status, r.Requests[6].Served = 404, false
		}),
		Entry("a process above its limit of memory", "limits", func(r *auditor.Record, _ int) { r.Processes[3].PeakMB = 285 }),
		Entry("a process above its limit of descriptors", "limits", func(r *auditor.Record, _ int) { r.Processes[3].PeakDescriptors = 4101 }),
		Entry("a server that is ordered to load too much", "weights", func(r *auditor.Record, _ int) { r.Servers[0].Overcommitted = true }),
		Entry("a data race", "races", func(r *auditor.Record, _ int) { r.Bounds.RaceDetector, r.Processes[0].Races = true, 1 }),
	)

	// Guards against findings that the system is not to blame for.
	DescribeTable("find nothing where the system is excused", func(mutate func(*auditor.Record)) {
		r := sound(rand.New(rand.NewPCG(1, 1)))
		mutate(r)
		Expect(auditor.Held(auditor.Audit(r, auditor.Checks()))).To(BeTrue())
	},
		Entry("a request that is cut while an instance is killed", func(r *auditor.Record) { cut(&r.Requests[3].Attempts[1], 29.9, 30, 2) }),
		Entry("a request that crosses the close of a planned stop", func(r *auditor.Record) { cut(&r.Requests[1].Attempts[0], 21, 21.1, 1) }),
		Entry("a route that is unknown within the bound", func(r *auditor.Record) {
			a := &r.Requests[6].Attempts[0]
			a.Sent, a.Status = at(36.5), 404
		}),
		Entry("an instance that is not ready, and killed before the bound", func(r *auditor.Record) {
			never(r, 2, 0)
			for i := range r.Samples {
				r.Samples[i].Ready = r.Samples[i].Ready || r.Samples[i].Instance == 2 && r.Samples[i].At.After(at(31))
			}
			r.Processes[2].End = at(9)
			r.Processes[4].Start = at(30.1)
			r.Faults = append(r.Faults, &auditor.Fault{Kind: "kill", Instances: []int{2}, Begin: at(9), End: at(9)})
		}),
	)

	// Guards against a page that hides what was not checked, or what broke.
	It("write a page that names what broke, with its request, and what was not exercised", func() {
		r := sound(rand.New(rand.NewPCG(1, 1)))
		r.Runs["w3"] = append(r.Runs["w3"], auditor.Run{Server: "s1.1", At: at(69)})
		var page strings.Builder
		Expect(auditor.WritePage(&page, r, auditor.Audit(r, auditor.Checks()))).To(Succeed())
		Expect(page.String()).To(And(ContainSubstring("once           BROKEN 1 times of 6"), ContainSubstring("request w3: book at instance 0: ran 2 times"), ContainSubstring("races          not exercised")))
	})
})
