package balancer_test

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/balancer"
	"primrosehook/registrar"
)

func server(id, zone string, models ...string) registrar.Server {
	s := registrar.Server{ID: id, Life: id, Service: "llm", Address: "10.0.0.1:1", Zone: zone, Slots: 64}
	for _, m := range models {
		s.Holdings = append(s.Holdings, registrar.Holding{Model: m})
	}
	return s
}

var _ = Describe("Core", func() {
	var (
		core *balancer.Core
		now  time.Time
	)
	BeforeEach(func() {
		core = balancer.NewCore("z1", 1)
		now = time.Unix(1000, 0)
	})
	update := func(list ...registrar.Server) { core.Update(now, list) }
	count := func(n int, q balancer.Request) map[string]int {
		m := map[string]int{}
		for range n {
			if id, status := core.Choose(now, q); status == balancer.Found {
				m[id]++
				core.Sent(now, id, q)
			}
		}
		return m
	}
	chat := balancer.Request{Model: "m0", Prompt: 1460, Output: 170}

	It("chooses among holders only, and says why there is none", func() {
		_, status := core.Choose(now, chat)
		Expect(status).To(Equal(balancer.Empty))
		update(server("a", "z1", "m1"))
		_, status = core.Choose(now, chat)
		Expect(status).To(Equal(balancer.Absent))
		update(server("a", "z1", "m1"), server("b", "z2", "m0"))
		id, status := core.Choose(now, chat)
		Expect([]any{id, status}).To(Equal([]any{"b", balancer.Found}))
		again := chat
		again.Exclude = []string{"b"}
		_, status = core.Choose(now, again)
		Expect(status).To(Equal(balancer.Spent))
	})

	It("gives a leaving server nothing", func() {
		s := server("a", "z1", "m0")
		s.Draining = true
		update(s)
		_, status := core.Choose(now, chat)
		Expect(status).To(Equal(balancer.Absent))
	})

	It("spreads a burst evenly over the holders", func() {
		update(server("a", "z1", "m0"), server("b", "z1", "m0"), server("c", "z1", "m0"))
		Expect(count(6, chat)).To(Equal(map[string]int{"a": 2, "b": 2, "c": 2}))
	})

	// Load: one instance of six sees a sixth of a burst; the other five have
	// just sent theirs to the same servers.
	It("counts what other instances have sent", func() {
		update(server("a", "z1", "m0"), server("b", "z1", "m0"))
		core.Others(now, map[string]balancer.Flight{"a": {Reading: 4000, Started: 3, Recent: 4000}})
		Expect(count(2, chat)).To(Equal(map[string]int{"b": 2}))
	})

	// Load: prompts come faster than an engine may read them without making
	// its running streams pause. At 22 tokens/ms and 300 ms, no more than some
	// 60 in 100 of the engine's time may go to prompts.
	It("paces prompts so that running streams do not pause", func() {
		update(server("a", "z1", "m0"))
		sent := 0
		for range 300 {
			if id, status := core.Choose(now, chat); status == balancer.Found {
				core.Sent(now, id, chat)
				core.First(id, chat, 80*time.Millisecond)
				sent += chat.Prompt
			}
			now = now.Add(10 * time.Millisecond)
		}
		rate := float64(sent) / 3000
		Expect(rate).To(And(BeNumerically(">", 0.4*22), BeNumerically("<", 0.75*22)))
	})

	It("keeps a server's cache from being spoken for twice", func() {
		core.Resize(5000)
		update(server("a", "z1", "m0"))
		Expect(count(3, balancer.Request{Model: "m0", Prompt: 100, Output: 2000})).To(Equal(map[string]int{"a": 2}))
	})

	// Load: many requests wait for one server. The answer to one question for a
	// place goes for all of them.
	It("asks for one place at a time, and after a refusal not before its pause", func() {
		update(server("a", "z1", "m0"))
		paced := chat
		paced.Paced = true
		core.Sent(now, "a", chat)
		Expect(count(5, paced)).To(Equal(map[string]int{"a": 1}))
		core.Paced(now, "a", 0, 0)
		Expect(count(5, paced)).To(Equal(map[string]int{"a": 1}))
		core.Cancel("a", paced)
		core.Paced(now, "a", 90*time.Millisecond, 90*time.Millisecond)
		now = now.Add(80 * time.Millisecond)
		Expect(count(1, paced)).To(BeEmpty())
		now = now.Add(20 * time.Millisecond)
		Expect(count(1, paced)).To(Equal(map[string]int{"a": 1}))
	})

	// Seen after all instances were killed: the server runs nothing that this
	// instance knows of, and the keeper of its pace says no.
	It("does not ask again at once for a server that seems idle", func() {
		update(server("a", "z1", "m0"))
		core.Paced(now, "a", 90*time.Millisecond, 90*time.Millisecond)
		Expect(count(1, chat)).To(BeEmpty())
	})

	It("prefers a holder that may get a prompt sooner", func() {
		update(server("a", "z1", "m0"), server("b", "z2", "m0"))
		core.Paced(now, "a", 60*time.Millisecond, 0)
		core.Paced(now, "b", 0, 0)
		Expect(count(1, chat)).To(Equal(map[string]int{"b": 1}))
	})

	It("paces by its own counts when nobody answers", func() {
		update(server("a", "z1", "m0"))
		paced := chat
		paced.Paced = true
		sent := 0
		for range 10 {
			if id, status := core.Choose(now, paced); status == balancer.Found {
				core.Sent(now, id, paced)
				core.Unpaced(id)
				sent++
			}
		}
		Expect(sent).To(And(BeNumerically(">", 1), BeNumerically("<", 5)))
	})

	It("learns how many tokens an event holds from streams as long as they might be", func() {
		Expect(core.Pace(now, "a").EventTokens).To(Equal(4), "assumed")
		for i := range 200 {
			core.Whole(171, 10+i%48)
		}
		Expect(core.Pace(now, "a").EventTokens).To(Equal(3))
		core.Whole(8, 2)
		Expect(core.Pace(now, "a").EventTokens).To(Equal(3), "too short to tell")
	})

	It("avoids a server that fails, and tries it again after a time", func() {
		update(server("a", "z1", "m0"), server("b", "z2", "m0"))
		for range 4 {
			core.Sent(now, "a", chat)
			core.Done(now, "a", chat, false, true, time.Second)
		}
		Expect(count(3, chat)).To(Equal(map[string]int{"b": 3}))
		now = now.Add(20 * time.Second)
		Expect(count(3, chat)).To(HaveKey("a"))
	})

	It("prefers its own availability zone among equals", func() {
		update(server("a", "z2", "m0"), server("b", "z1", "m0"))
		id, _ := core.Choose(now, chat)
		Expect(id).To(Equal("b"))
	})

	It("sends a session to the same server from every instance", func() {
		q := chat
		q.Shared, q.Session = 350, balancer.Hash("session")
		seen := map[string]bool{}
		for seed := range uint64(9) {
			c := balancer.NewCore("z1", seed)
			c.Update(now, []registrar.Server{server("a", "z1", "m0"), server("b", "z1", "m0"), server("c", "z1", "m0")})
			id, _ := c.Choose(now, q)
			seen[id] = true
		}
		Expect(seen).To(HaveLen(1))
	})

	It("believes an order before the registration shows it, until it must have", func() {
		update(server("a", "z1", "m1"))
		core.Ordered(now, []balancer.Overlay{{Server: "a", Life: "a", Key: "m0", Held: true}})
		update(server("a", "z1", "m1"))
		_, status := core.Choose(now, chat)
		Expect(status).To(Equal(balancer.Found))
		now = now.Add(5 * time.Second)
		update(server("a", "z1", "m1"))
		_, status = core.Choose(now, chat)
		Expect(status).To(Equal(balancer.Absent))
	})

	// Load: a server crashed and is back, empty, under its old registration.
	It("sends no second request to a server that lacks the model", func() {
		update(server("a", "z1", "m0"))
		core.Absent(now, "a", "m0")
		update(server("a", "z1", "m0"))
		_, status := core.Choose(now, chat)
		Expect(status).To(Equal(balancer.Absent))
		now = now.Add(2 * time.Second)
		update(server("a", "z1", "m0"))
		_, status = core.Choose(now, chat)
		Expect(status).To(Equal(balancer.Found))
	})
})

var _ = Describe("Line", func() {
	now := time.Unix(1000, 0)
	request := func(name string, rank int, aim time.Duration) *balancer.Waiter {
		return &balancer.Waiter{Request: balancer.Request{Model: name, Priority: rank, Aim: now.Add(aim)}}
	}

	// Load: more requests than can be in time. Oldest first would make all late.
	It("serves by rank, then those that can be in time, then by objective", func() {
		l := balancer.NewLine()
		late, soon, later, urgent := request("late", 1, -time.Second), request("soon", 1, 100*time.Millisecond), request("later", 1, time.Second), request("urgent", 0, 2*time.Second)
		for _, w := range []*balancer.Waiter{late, later, soon, urgent} {
			l.Add(w)
		}
		var order []string
		l.Serve(now, func(w *balancer.Waiter) bool { order = append(order, w.Model); return true })
		Expect(order).To(Equal([]string{"urgent", "soon", "later", "late"}))
		Expect(l.Len()).To(BeZero())
	})

	It("lets requests for other models pass one that can't go", func() {
		l := balancer.NewLine()
		l.Add(request("hot", 0, time.Second))
		l.Add(request("hot", 0, 2*time.Second))
		l.Add(request("idle", 1, time.Second))
		var offered []string
		l.Serve(now, func(w *balancer.Waiter) bool { offered = append(offered, w.Model); return w.Model == "idle" })
		Expect(offered).To(Equal([]string{"hot", "idle"}))
		Expect(l.Len()).To(Equal(2))
	})

	It("predicts the wait from the line and the latest grants", func() {
		l := balancer.NewLine()
		for range 8 {
			l.Add(request("hot", 0, time.Second))
		}
		q := request("hot", 0, 2*time.Second).Request
		Expect(l.Predict(now, q)).To(Equal(2 * time.Second))
		for range 20 {
			l.Granted(now, "hot")
		}
		Expect(l.Predict(now, q)).To(BeNumerically("<", 700*time.Millisecond))
		Expect(l.Predict(now, request("idle", 0, time.Second).Request)).To(BeZero())
	})
})

var _ = Describe("Fleet", func() {
	var (
		clock *clockwork.FakeClock
		fleet *balancer.Fleet
	)
	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		fleet = balancer.NewFleet("z1", 1, clock)
	})
	q := func() balancer.Request {
		return balancer.Request{Model: "m0", Prompt: 100, Aim: clock.Now().Add(time.Second), Leave: clock.Now().Add(2 * time.Second)}
	}

	It("wakes a request when its model has been loaded, and tells that it waits", func() {
		fleet.Update([]registrar.Server{server("a", "z1", "m1")})
		got := make(chan balancer.Status, 1)
		go func() {
			_, status := fleet.Await(context.Background(), "llm", q())
			got <- status
		}()
		Eventually(fleet.Missed()).Should(Receive())
		Expect(fleet.Wants()).To(ContainElement(balancer.Want{Service: "llm", Key: "m0", Waiting: 1}))
		fleet.Ordered([]balancer.Overlay{{Server: "a", Life: "a", Key: "m0", Held: true}})
		Eventually(got).Should(Receive(Equal(balancer.Found)))
		Expect(fleet.Wants()).To(BeEmpty())
	})

	It("lets a request go when it is not worth waiting any longer", func() {
		fleet.Update([]registrar.Server{server("a", "z1", "m1")})
		got := make(chan balancer.Status, 1)
		go func() {
			_, status := fleet.Await(context.Background(), "llm", q())
			got <- status
		}()
		Expect(clock.BlockUntilContext(context.Background(), 1)).To(Succeed())
		clock.Advance(2 * time.Second)
		Eventually(got).Should(Receive(Equal(balancer.Absent)))
	})

	// Load: a steady overload. Whoever is let in is served in time; the others
	// know at once, and none is held only to be refused.
	It("refuses at once what a steady overload would make late", func() {
		s := server("a", "z1", "m0")
		s.Slots = 1
		fleet.Update([]registrar.Server{s})
		hold, status := fleet.Take("llm", q())
		Expect(status).To(Equal(balancer.Found))
		request := q()
		request.Wait = 500 * time.Millisecond
		waiting := make(chan balancer.Status, 10)
		join := func() {
			_, status := fleet.Await(context.Background(), "llm", request)
			waiting <- status
		}
		for range 4 {
			go join()
		}
		// Four grants a second are assumed: three join, the fourth would wait longer.
		Eventually(waiting).Should(Receive(Equal(balancer.Full)))
		Expect(fleet.Backlog("llm", request, balancer.Full)).To(Equal(250 * time.Millisecond))
		Consistently(waiting, "50ms").ShouldNot(Receive())
		hold.Done(false)
		Eventually(waiting).Should(Receive(Equal(balancer.Found)))
	})

	// Load: more requests for one model than its server may get at once. Each
	// asks for a place in turn, as soon as the one before has its answer.
	It("lets the next request ask once the one before has a place", func() {
		paced := q()
		paced.Paced, paced.Wait, paced.Leave = true, time.Second, clock.Now().Add(10*time.Second)
		fleet.Update([]registrar.Server{server("a", "z1", "m0")})
		first, status := fleet.Await(context.Background(), "llm", paced)
		Expect(status).To(Equal(balancer.Found))
		second := make(chan *balancer.Lease, 1)
		go func() {
			l, _ := fleet.Await(context.Background(), "llm", paced)
			second <- l
		}()
		Eventually(fleet.Waiting).Should(Equal(1))
		Consistently(second, "50ms").ShouldNot(Receive())
		first.Paced(0)
		var l *balancer.Lease
		Eventually(second).Should(Receive(&l))
		l.Postpone(100 * time.Millisecond)
		again := make(chan *balancer.Lease, 1)
		go func() {
			l, _ := fleet.Await(context.Background(), "llm", paced)
			again <- l
		}()
		Eventually(fleet.Waiting).Should(Equal(1))
		Consistently(again, "50ms").ShouldNot(Receive())
		clock.Advance(110 * time.Millisecond)
		Eventually(again).Should(Receive())
	})

	It("counts a cancelled lease as never taken", func() {
		fleet.Update([]registrar.Server{server("a", "z1", "m0")})
		l, status := fleet.Take("llm", q())
		Expect(status).To(Equal(balancer.Found))
		Expect(fleet.Flights()["a"].Started).To(Equal(1))
		l.Cancel()
		Expect(fleet.Flights()["a"].Started).To(BeZero())
	})
})
