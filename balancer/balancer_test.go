package balancer_test

import (
	"context"
	"net"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/balancer"
	"primrosehook/registrar"
	"primrosehook/reuser"
)

func server(id, zone string, models ...string) registrar.Server {
	s := registrar.Server{ID: id, Incarnation: id, Service: "llm", Address: "10.0.0.1:1", Zone: zone, Slots: 64}
	for _, m := range models {
		s.Loaded = append(s.Loaded, registrar.LoadedModel{Model: m})
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
				core.RecordSent(now, id, q)
			}
		}
		return m
	}
	chat := balancer.Request{Model: "m0", PromptTokens: 1460, OutputTokens: 170}

	It("passes over a server at its rate limit, and says so if there is no other one", func() {
		update(server("a", "z1", "m"), server("b", "z1", "m"))
		core.SetRateLimited("a", now.Add(800*time.Millisecond))
		Expect(count(10, balancer.Request{Model: "m"})).To(HaveKeyWithValue("b", 10))
		core.SetRateLimited("b", now.Add(300*time.Millisecond))
		_, status := core.Choose(now, balancer.Request{Model: "m"})
		Expect(status).To(Equal(balancer.RateLimited))
		Expect(core.PauseEnd(now, "m")).To(Equal(now.Add(300 * time.Millisecond)))
		now = now.Add(300 * time.Millisecond)
		id, status := core.Choose(now, balancer.Request{Model: "m"})
		Expect([]any{id, status}).To(Equal([]any{"b", balancer.Found}))
	})

	It("chooses among replicas only, and reports why there is no choice", func() {
		_, status := core.Choose(now, chat)
		Expect(status).To(Equal(balancer.NoServers))
		update(server("a", "z1", "m1"))
		_, status = core.Choose(now, chat)
		Expect(status).To(Equal(balancer.NotLoaded))
		update(server("a", "z1", "m1"), server("b", "z2", "m0"))
		id, status := core.Choose(now, chat)
		Expect([]any{id, status}).To(Equal([]any{"b", balancer.Found}))
		excluded := chat
		excluded.Exclude = []string{"b"}
		_, status = core.Choose(now, excluded)
		Expect(status).To(Equal(balancer.AllExcluded))
	})

	It("sends no requests to a draining server", func() {
		s := server("a", "z1", "m0")
		s.Draining = true
		update(s)
		_, status := core.Choose(now, chat)
		Expect(status).To(Equal(balancer.NotLoaded))
	})

	It("spreads a burst evenly over the replicas", func() {
		update(server("a", "z1", "m0"), server("b", "z1", "m0"), server("c", "z1", "m0"))
		Expect(count(6, chat)).To(Equal(map[string]int{"a": 2, "b": 2, "c": 2}))
	})

	// One of six instances sees a sixth of a burst, and the other five have just
	// sent their parts to the same servers.
	It("takes the in-flight counts of peers into account", func() {
		update(server("a", "z1", "m0"), server("b", "z1", "m0"))
		core.UpdatePeers(now, map[string]balancer.InFlight{"a": {PrefillTokens: 4000, Requests: 3, RecentPromptTokens: 4000}})
		Expect(count(2, chat)).To(Equal(map[string]int{"b": 2}))
	})

	// Prompts arrive faster than an engine may prefill them without making its
	// running streams pause. At 22 tokens/ms and a gap of 300 ms, prefill may
	// take no more than about 60% of the engine's time.
	It("limits the rate of prompts so that running streams do not pause", func() {
		update(server("a", "z1", "m0"))
		sent := 0
		for range 300 {
			if id, status := core.Choose(now, chat); status == balancer.Found {
				core.RecordSent(now, id, chat)
				core.RecordFirstEvent(id, chat, 80*time.Millisecond)
				sent += chat.PromptTokens
			}
			now = now.Add(10 * time.Millisecond)
		}
		rate := float64(sent) / 3000
		Expect(rate).To(And(BeNumerically(">", 0.4*22), BeNumerically("<", 0.75*22)))
	})

	It("does not overcommit a server's cache", func() {
		core.SetCacheTokens(5000)
		update(server("a", "z1", "m0"))
		Expect(count(3, balancer.Request{Model: "m0", PromptTokens: 100, OutputTokens: 2000})).To(Equal(map[string]int{"a": 2}))
	})

	// Many requests wait for one server. The reply to one reservation applies to
	// all of them.
	It("requests one reservation at a time, and after a refusal none before its pause is over", func() {
		update(server("a", "z1", "m0"))
		withReservation := chat
		withReservation.NeedsReservation = true
		core.RecordSent(now, "a", chat)
		Expect(count(5, withReservation)).To(Equal(map[string]int{"a": 1}))
		core.RecordReservation(now, "a", 0, 0)
		Expect(count(5, withReservation)).To(Equal(map[string]int{"a": 1}))
		core.Cancel("a", withReservation)
		core.RecordReservation(now, "a", 90*time.Millisecond, 90*time.Millisecond)
		now = now.Add(80 * time.Millisecond)
		Expect(count(1, withReservation)).To(BeEmpty())
		now = now.Add(20 * time.Millisecond)
		Expect(count(1, withReservation)).To(Equal(map[string]int{"a": 1}))
	})

	// Seen after all instances were killed: this instance knows of no work at the
	// server, but the owner of the server's schedule refuses a reservation.
	It("requests no reservation during the pause after a refusal, even if the server seems idle", func() {
		update(server("a", "z1", "m0"))
		core.RecordReservation(now, "a", 90*time.Millisecond, 90*time.Millisecond)
		Expect(count(1, chat)).To(BeEmpty())
	})

	It("prefers a replica that can take a prompt sooner", func() {
		update(server("a", "z1", "m0"), server("b", "z2", "m0"))
		core.RecordReservation(now, "a", 60*time.Millisecond, 0)
		core.RecordReservation(now, "b", 0, 0)
		Expect(count(1, chat)).To(Equal(map[string]int{"b": 1}))
	})

	It("limits prompts by its own counts when the owner of the schedule does not reply", func() {
		update(server("a", "z1", "m0"))
		withReservation := chat
		withReservation.NeedsReservation = true
		sent := 0
		for range 10 {
			if id, status := core.Choose(now, withReservation); status == balancer.Found {
				core.RecordSent(now, id, withReservation)
				core.ClearReservation(id)
				sent++
			}
		}
		Expect(sent).To(And(BeNumerically(">", 1), BeNumerically("<", 5)))
	})

	It("derives the tokens per event from streams that generated as many tokens as they may", func() {
		Expect(core.EngineLoad(now, "a").EventTokens).To(Equal(4), "default")
		for i := range 200 {
			core.RecordStreamEnd(171, 10+i%48)
		}
		Expect(core.EngineLoad(now, "a").EventTokens).To(Equal(3))
		core.RecordStreamEnd(8, 2)
		Expect(core.EngineLoad(now, "a").EventTokens).To(Equal(3), "stream too short to count")
	})

	It("avoids a server that fails, and tries it again after some time", func() {
		update(server("a", "z1", "m0"), server("b", "z2", "m0"))
		for range 4 {
			core.RecordSent(now, "a", chat)
			core.RecordDone(now, "a", chat, false, true, time.Second)
		}
		Expect(count(3, chat)).To(Equal(map[string]int{"b": 3}))
		now = now.Add(20 * time.Second)
		Expect(count(3, chat)).To(HaveKey("a"))
	})

	It("prefers its own availability zone among otherwise equal servers", func() {
		update(server("a", "z2", "m0"), server("b", "z1", "m0"))
		id, _ := core.Choose(now, chat)
		Expect(id).To(Equal("b"))
	})

	It("sends a session to the same server from every instance", func() {
		q := chat
		q.SharedTokens, q.SessionHash, q.Prompt = 350, balancer.Hash("session"), reuser.NewPrompt("m0", "")
		q.Prompt.Add("first", 210)
		q.Prompt.Add("second", 140)
		q.Prompt.Add("own", 1110)
		seen := map[string]bool{}
		for seed := range uint64(9) {
			c := balancer.NewCore("z1", seed)
			c.Update(now, []registrar.Server{server("a", "z1", "m0"), server("b", "z1", "m0"), server("c", "z1", "m0")})
			id, _ := c.Choose(now, q)
			seen[id] = true
		}
		Expect(seen).To(HaveLen(1))
	})

	It("applies an overlay until the registration must show the change", func() {
		update(server("a", "z1", "m1"))
		core.ApplyOverlays(now, []balancer.Overlay{{Server: "a", Incarnation: "a", Key: "m0", Loaded: true}})
		update(server("a", "z1", "m1"))
		_, status := core.Choose(now, chat)
		Expect(status).To(Equal(balancer.Found))
		now = now.Add(5 * time.Second)
		update(server("a", "z1", "m1"))
		_, status = core.Choose(now, chat)
		Expect(status).To(Equal(balancer.NotLoaded))
	})

	// A server has restarted after a crash with no model loaded, while its old
	// registration still lists the model.
	It("does not choose a server again for a while after it reported the model as not loaded", func() {
		update(server("a", "z1", "m0"))
		core.MarkNotLoaded(now, "a", "m0")
		update(server("a", "z1", "m0"))
		_, status := core.Choose(now, chat)
		Expect(status).To(Equal(balancer.NotLoaded))
		now = now.Add(2 * time.Second)
		update(server("a", "z1", "m0"))
		_, status = core.Choose(now, chat)
		Expect(status).To(Equal(balancer.Found))
	})
})

var _ = Describe("WaitQueue", func() {
	now := time.Unix(1000, 0)
	request := func(name string, priority int, target time.Duration) *balancer.Waiter {
		return &balancer.Waiter{Request: balancer.Request{Model: name, Priority: priority, TargetTime: now.Add(target)}}
	}

	// There are more requests than can be served in time. Serving the oldest
	// first would make all of them late.
	It("serves by priority, then those that can be in time, then by target time", func() {
		wq := balancer.NewWaitQueue()
		late, soon, later, urgent := request("late", 1, -time.Second), request("soon", 1, 100*time.Millisecond), request("later", 1, time.Second), request("urgent", 0, 2*time.Second)
		for _, w := range []*balancer.Waiter{late, later, soon, urgent} {
			wq.Add(w)
		}
		var order []string
		wq.Serve(now, func(w *balancer.Waiter) bool { order = append(order, w.Model); return true })
		Expect(order).To(Equal([]string{"urgent", "soon", "later", "late"}))
		Expect(wq.Len()).To(BeZero())
	})

	It("lets requests for other models pass one that can't be served", func() {
		wq := balancer.NewWaitQueue()
		wq.Add(request("hot", 0, time.Second))
		wq.Add(request("hot", 0, 2*time.Second))
		wq.Add(request("idle", 1, time.Second))
		var offered []string
		wq.Serve(now, func(w *balancer.Waiter) bool { offered = append(offered, w.Model); return w.Model == "idle" })
		Expect(offered).To(Equal([]string{"hot", "idle"}))
		Expect(wq.Len()).To(Equal(2))
	})

	It("predicts the wait from the queue length and the recent rate of grants", func() {
		wq := balancer.NewWaitQueue()
		for range 8 {
			wq.Add(request("hot", 0, time.Second))
		}
		q := request("hot", 0, 2*time.Second).Request
		Expect(wq.Predict(now, q)).To(Equal(2 * time.Second))
		for range 20 {
			wq.RecordGrant(now, balancer.Request{Model: "hot"})
		}
		Expect(wq.Predict(now, q)).To(BeNumerically("<", 700*time.Millisecond))
		Expect(wq.Predict(now, request("idle", 0, time.Second).Request)).To(BeZero())
	})
})

// closingDialer opens connections that ask a question in another goroutine when they are closed,
// and report whether it was answered.
type closingDialer struct {
	ask    func()
	closed chan bool
}

// Dial implements connector.Dialer.
func (d *closingDialer) Dial(context.Context, string) (net.Conn, error) {
	c, _ := net.Pipe()
	return &closingConn{Conn: c, dialer: d}, nil
}

type closingConn struct {
	net.Conn
	dialer *closingDialer
}

// Close implements net.Conn.
func (c *closingConn) Close() error {
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		c.dialer.ask()
	}()
	select {
	case <-answered:
		c.dialer.closed <- true
	case <-time.After(2 * time.Second):
		c.dialer.closed <- false
	}
	return c.Conn.Close()
}

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
		return balancer.Request{Model: "m0", PromptTokens: 100, TargetTime: clock.Now().Add(time.Second), Deadline: clock.Now().Add(2 * time.Second)}
	}

	It("grants a waiting request a server once its model is loaded, and reports the demand before", func() {
		fleet.Update([]registrar.Server{server("a", "z1", "m1")})
		got := make(chan balancer.Status, 1)
		go func() {
			_, status := fleet.Await(context.Background(), nil, "llm", q())
			got <- status
		}()
		Eventually(fleet.NoReplica()).Should(Receive())
		Expect(fleet.TakeDemand()).To(ContainElement(balancer.Demand{Service: "llm", Key: "m0", Waiting: 1}))
		fleet.ApplyOverlays([]balancer.Overlay{{Server: "a", Incarnation: "a", Key: "m0", Loaded: true}})
		Eventually(got).Should(Receive(Equal(balancer.Found)))
		Expect(fleet.TakeDemand()).To(BeEmpty())
	})

	It("ends the wait of a request at its deadline", func() {
		fleet.Update([]registrar.Server{server("a", "z1", "m1")})
		got := make(chan balancer.Status, 1)
		go func() {
			_, status := fleet.Await(context.Background(), nil, "llm", q())
			got <- status
		}()
		Expect(clock.BlockUntilContext(context.Background(), 1)).To(Succeed())
		clock.Advance(2 * time.Second)
		Eventually(got).Should(Receive(Equal(balancer.NotLoaded)))
	})

	// Under a steady overload, requests that are queued are served in time. The
	// others are refused at once, and none waits only to be refused.
	It("refuses at once requests that a steady overload would make late", func() {
		s := server("a", "z1", "m0")
		s.Slots = 1
		fleet.Update([]registrar.Server{s})
		assigned, status := fleet.Take("llm", q())
		Expect(status).To(Equal(balancer.Found))
		request := q()
		request.MaxWait = 500 * time.Millisecond
		waiting := make(chan balancer.Status, 10)
		await := func() {
			_, status := fleet.Await(context.Background(), nil, "llm", request)
			waiting <- status
		}
		for range 4 {
			go await()
		}
		// Four grants a second are assumed: three requests are queued, the fourth
		// would wait too long.
		Eventually(waiting).Should(Receive(Equal(balancer.Full)))
		Expect(fleet.RetryDelay("llm", request, balancer.Full)).To(Equal(250 * time.Millisecond))
		Consistently(waiting, "50ms").ShouldNot(Receive())
		assigned.Done(false)
		Eventually(waiting).Should(Receive(Equal(balancer.Found)))
	})

	// There are more requests for one model than its server can take at once.
	// Each asks for a reservation in turn, as soon as the previous one has its
	// reply.
	It("lets the next request ask for a reservation once the previous one has its reply", func() {
		withReservation := q()
		withReservation.NeedsReservation, withReservation.MaxWait, withReservation.Deadline = true, time.Second, clock.Now().Add(10*time.Second)
		fleet.Update([]registrar.Server{server("a", "z1", "m0")})
		first, status := fleet.Await(context.Background(), nil, "llm", withReservation)
		Expect(status).To(Equal(balancer.Found))
		second := make(chan *balancer.Assignment, 1)
		go func() {
			assigned, _ := fleet.Await(context.Background(), nil, "llm", withReservation)
			second <- assigned
		}()
		Eventually(fleet.QueueLen).Should(Equal(1))
		Consistently(second, "50ms").ShouldNot(Receive())
		first.RecordReservation(0)
		var assigned *balancer.Assignment
		Eventually(second).Should(Receive(&assigned))
		assigned.Postpone(100 * time.Millisecond)
		third := make(chan *balancer.Assignment, 1)
		go func() {
			assigned, _ := fleet.Await(context.Background(), nil, "llm", withReservation)
			third <- assigned
		}()
		Eventually(fleet.QueueLen).Should(Equal(1))
		Consistently(third, "50ms").ShouldNot(Receive())
		clock.Advance(110 * time.Millisecond)
		Eventually(third).Should(Receive())
	})

	// Guards against a process that hangs: closing a connection may need a lock under which
	// another goroutine asks whether a server is known.
	It("closes connections to servers that are gone without its lock", func() {
		d := &closingDialer{closed: make(chan bool, 1)}
		fleet := balancer.NewFleet("z1", 1, clock, balancer.WithDialer(d))
		d.ask = func() { fleet.HasServer("127.0.0.1:1") }
		fleet.Update([]registrar.Server{server("a", "z1", "m0")})
		assigned, status := fleet.Take("llm", q())
		Expect(status).To(Equal(balancer.Found))
		Expect(assigned.Pool.Probe(context.Background())).To(Succeed())
		assigned.Done(false)
		fleet.Update(nil)
		Expect(d.closed).To(Receive(BeTrue()))
	})

	// Guards against sending requests whose clients have left: a server that becomes free while
	// a wait ends may be granted to it.
	It("grants no server to a request whose context has ended", func() {
		s := server("a", "z1", "m0")
		s.Slots = 1
		fleet.Update([]registrar.Server{s})
		request := q()
		request.MaxWait = time.Second
		for range 50 {
			holder, status := fleet.Await(context.Background(), nil, "llm", request)
			Expect(status).To(Equal(balancer.Found))
			ctx, cancel := context.WithCancel(context.Background())
			type result struct {
				assigned *balancer.Assignment
				status   balancer.Status
			}
			waited := make(chan result, 1)
			go func() {
				assigned, status := fleet.Await(ctx, nil, "llm", request)
				waited <- result{assigned, status}
			}()
			Eventually(fleet.QueueLen).Should(Equal(1))
			cancel()
			holder.Done(false)
			Eventually(waited).Should(Receive(Equal(result{nil, balancer.Ended})))
			assigned, status := fleet.Await(ctx, nil, "llm", request)
			Expect(assigned).To(BeNil())
			Expect(status).To(Equal(balancer.Ended))
			Expect(fleet.OwnInFlight()["a"].Requests).To(BeZero())
		}
	})

	It("takes a cancelled request off the in-flight counts", func() {
		fleet.Update([]registrar.Server{server("a", "z1", "m0")})
		assigned, status := fleet.Take("llm", q())
		Expect(status).To(Equal(balancer.Found))
		Expect(fleet.OwnInFlight()["a"].Requests).To(Equal(1))
		assigned.Cancel()
		Expect(fleet.OwnInFlight()["a"].Requests).To(BeZero())
	})
})
