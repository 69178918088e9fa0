package balancer_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/balancer"
	"primrosehook/registrar"
)

// failingFleet is some instances with one core each, which exchange the outcomes of requests as
// reports and replies do.
type failingFleet struct {
	now   time.Time
	cores []*balancer.Core
	// known are the servers that count as failing.
	known   map[string]bool
	tracker balancer.FailureTracker
	// answers reports whether a server answers an instance.
	answers      func(instance int, server string) bool
	sent, failed map[string]int
	// held is for how long a request that is answered holds a slot, open are those that do.
	held time.Duration
	open []openRequest
}

type openRequest struct {
	core   *balancer.Core
	server string
	until  time.Time
}

func newFailingFleet(instances, servers int, answers func(int, string) bool) *failingFleet {
	f := &failingFleet{now: time.Unix(1000, 0), answers: answers, sent: map[string]int{}, failed: map[string]int{}}
	var list []registrar.Server
	for i := range servers {
		s := server(fmt.Sprint("s", i), "z1", "m")
		s.Slots = 12
		list = append(list, s)
	}
	for i := range instances {
		c := balancer.NewCore("z1", uint64(i+1))
		c.Update(f.now, list)
		f.cores = append(f.cores, c)
	}
	return f
}

// run has each instance send a request every 200 ms for a time, and exchange outcomes every 300 ms.
func (f *failingFleet) run(d time.Duration) {
	q := balancer.Request{Model: "m", PromptTokens: 600, OutputTokens: 170}
	for at := time.Duration(0); at < d; at += 20 * time.Millisecond {
		for len(f.open) > 0 && !f.now.Before(f.open[0].until) {
			f.open[0].core.RecordDone(f.now, f.open[0].server, q, true, false, f.held)
			f.open = f.open[1:]
		}
		for i, c := range f.cores {
			if (at+time.Duration(i)*20*time.Millisecond)%(200*time.Millisecond) != 0 {
				continue
			}
			id, status := c.Choose(f.now, q)
			if status != balancer.Found {
				f.sent[status.String()]++
				continue
			}
			f.sent[id]++
			c.RecordSent(f.now, id, q)
			if f.answers(i, id) {
				c.RecordFirstEvent(id, q, 80*time.Millisecond)
				c.RecordOutcome(f.now, id, true)
				f.open = append(f.open, openRequest{c, id, f.now.Add(f.held)})
			} else {
				f.failed[id]++
				c.RecordOutcome(f.now, id, false)
				c.RecordDone(f.now, id, q, false, true, time.Millisecond)
			}
		}
		if at%(300*time.Millisecond) == 0 {
			f.exchange()
		}
		f.now = f.now.Add(20 * time.Millisecond)
	}
}

func (f *failingFleet) exchange() {
	total, inFlight := map[string]balancer.Outcomes{}, map[string]balancer.InFlight{}
	for _, c := range f.cores {
		for id, n := range c.OwnInFlight(f.now) {
			inFlight[id] = inFlight[id].Add(n)
		}
	}
	for _, c := range f.cores {
		for id, o := range c.OwnOutcomes(f.now) {
			total[id] = total[id].Add(o)
		}
	}
	failing := f.tracker.Update(f.now, total, len(f.cores))
	f.known = map[string]bool{}
	for id, all := range failing {
		if all {
			f.known[id] = true
		}
	}
	for _, c := range f.cores {
		c.UpdateFailing(f.now, failing)
		peers := map[string]balancer.InFlight{}
		own := c.OwnInFlight(f.now)
		for id, n := range inFlight {
			peers[id] = n.Sub(own[id])
		}
		c.UpdatePeers(f.now, peers)
	}
}

// The load: 40 instances send five requests a second each to 12 replicas.
var _ = Describe("A server that resets all requests while it stays registered", func() {
	// Guards against requests of all instances, each of which learns of the failures by itself and
	// soon forgets them.
	It("gets few of them, also while the others are busy", func() {
		f := newFailingFleet(40, 12, func(_ int, id string) bool { return id != "s3" })
		f.held = 700 * time.Millisecond
		f.run(7 * time.Second)
		AddReportEntry("failed", f.failed["s3"])
		Expect(f.failed["s3"]).To(BeNumerically("<=", 40), "of 1,400 requests: three and those of an exchange, in each of a few tries")
		Expect(f.sent).NotTo(HaveKey("spent"))
	})

	It("gets its share again some seconds after it works", func() {
		works := false
		f := newFailingFleet(40, 12, func(_ int, id string) bool { return works || id != "s3" })
		f.run(4 * time.Second)
		works = true
		f.run(6 * time.Second)
		clear(f.sent)
		f.run(5 * time.Second)
		Expect(f.sent["s3"]).To(BeNumerically("~", f.sent["s4"], 30))
	})

	// Guards against servers that are taken out since one instance does not reach them.
	It("does not count as one by what a single instance sees", func() {
		f := newFailingFleet(40, 12, func(i int, _ string) bool { return i != 7 })
		f.run(5 * time.Second)
		Expect(f.known).To(BeEmpty())
	})

	// Guards against a service that is refused as a whole for a cause that is not its servers'.
	It("is used nevertheless if more than half of the servers seem to fail", func() {
		f := newFailingFleet(40, 4, func(_ int, id string) bool { return id == "s0" })
		f.run(3 * time.Second)
		Expect(f.known).To(HaveLen(3))
		_, status := f.cores[0].Choose(f.now, balancer.Request{Model: "m", PromptTokens: 600, Exclude: []string{"s0"}})
		Expect(status).To(Equal(balancer.Found))
	})

	// Guards against servers that are slow or full and refuse some requests.
	It("does not count as one while it answers a fifth of them", func() {
		count := 0
		f := newFailingFleet(40, 12, func(_ int, id string) bool {
			if id == "s3" {
				count++
			}
			return id != "s3" || count%5 == 0
		})
		f.run(5 * time.Second)
		Expect(f.known).To(BeEmpty())
	})

	It("leaves the request to wait for another replica if it is the only one", func() {
		f := newFailingFleet(40, 1, func(int, string) bool { return false })
		c := f.cores[0]
		c.Update(f.now, []registrar.Server{server("s0", "z1", "m"), server("s1", "z1", "n")})
		c.UpdateFailing(f.now, map[string]bool{"s0": true})
		_, status := c.Choose(f.now, balancer.Request{Model: "m", PromptTokens: 600})
		Expect(status).To(Equal(balancer.AllExcluded))
	})
})
