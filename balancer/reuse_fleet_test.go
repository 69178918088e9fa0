package balancer_test

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"primrosehook/balancer"
	"primrosehook/messenger"
	"primrosehook/pacer"
	"primrosehook/registrar"
	"primrosehook/reuser"
)

// reuseLoad is a load pattern of the model: requests for models that have a number of replicas each.
type reuseLoad struct {
	servers, models, replicas, instances int
	perSecond                            float64
	// prefix returns the first parts of the next prompt, which are 210 and 140 tokens long.
	prefix func(r *rand.Rand, at time.Duration) (model int, parts []string)
	// disturb changes the fleet after 20 of 40 s.
	disturb func(f *reuseFleet)
}

type reuseRequest struct {
	query    balancer.Request
	instance int
	chains   [3]reuseChain
	arrived  time.Time
	unread   int
	// stated is how many tokens the server holds according to the owner.
	stated int
}

// reuseServer holds the parts of prompts that it has read, the least recently used first.
type reuseServer struct {
	registration     registrar.Server
	speed            float64
	reading, running []*reuseRequest
	held             []reuseChain
	active           bool
}

// reuseChain is a part of a prompt with its model and the parts before it.
type reuseChain struct {
	hash  uint64
	level int
}

// chainsOf returns the chains of a prompt.
func chainsOf(q balancer.Request) (chains [3]reuseChain) {
	for level := range chains {
		chains[level] = reuseChain{balancer.Hash(fmt.Sprint(q.Model, q.Prompt.Parts[:level+1])), level}
	}
	return chains
}

// heldOf returns how many of the leading parts of a prompt a server holds.
func (s *reuseServer) heldOf(chains [3]reuseChain) int {
	n := 0
	for n < len(chains) && slices.Contains(s.held, chains[n]) {
		n++
	}
	return n
}

var reuseTokens = []int{210, 140, 1110}

const reuseCapacity, reuseDuration = 43727, 40 * time.Second

// reuseFleet is a service without network whose instances reserve slots with one owner.
type reuseFleet struct {
	modelFleet
	load reuseLoad
	// without is set for the baseline in which servers are chosen without regard to prefixes.
	without bool
	clock   *clockwork.FakeClock
	owner   *pacer.Pacer
	servers map[string]*reuseServer
	cores   []*balancer.Core
	queues  [][]*reuseRequest
	// read are the chains that some server has read, again counts shared tokens read once more and
	// reused those that were not.
	read          map[reuseChain]bool
	again, reused int
	// stated and overstated are what owners said of held tokens, and what was not held of that.
	stated, overstated int
	first              []time.Duration
	outcome            reuser.Outcome
	busy               time.Duration
	moves              int
	lastServer         map[reuseChain]string
	chains             map[*reuser.Prompt][3]reuseChain
	served             map[string]int
}

func (f *reuseFleet) arrive() {
	f.after(time.Duration(f.random.ExpFloat64()/f.load.perSecond*float64(time.Second)), func() {
		model, parts := f.load.prefix(f.random, f.now.Sub(time.Unix(1000, 0)))
		model %= f.load.models
		parts = append(slices.Clone(parts), fmt.Sprint("own", f.random.Uint64()))
		r := &reuseRequest{instance: f.random.IntN(f.load.instances), arrived: f.now, query: balancer.Request{Model: fmt.Sprint("m", model), PromptTokens: 1460, SharedTokens: 350, OutputTokens: 172}}
		r.query.Prompt = reuser.NewPrompt(r.query.Model, "")
		for i, id := range parts {
			r.query.Prompt.Add(id, reuseTokens[i])
		}
		r.chains = chainsOf(r.query)
		f.chains[r.query.Prompt] = r.chains
		if !f.without {
			r.query.SessionHash = r.chains[1].hash
		}
		f.queues[r.instance] = append(f.queues[r.instance], r)
		f.serve(r.instance)
		f.arrive()
	})
}

func (f *reuseFleet) serve(i int) {
	c := f.cores[i]
	f.queues[i] = slices.DeleteFunc(f.queues[i], func(r *reuseRequest) bool {
		id, status := c.Choose(f.now, r.query)
		if status != balancer.Found {
			return false
		}
		c.RecordSent(f.now, id, r.query)
		load := c.EngineLoad(f.now, id)
		load.Prompt = r.query.Prompt
		slot, err := f.owner.Reserve(context.Background(), f.servers[id].registration.Incarnation, r.query.PrefillTokens(), 300*time.Millisecond, load)
		Expect(err).NotTo(HaveOccurred())
		if !slot.Reserved {
			c.Cancel(id, r.query)
			c.RecordReservation(f.now, id, slot.Wait, slot.Wait)
			f.after(slot.Wait, func() { f.serve(i) })
			return false
		}
		c.RecordReservation(f.now, id, slot.Wait, 0)
		held, known := slot.Held()
		var o reuser.Outcome
		r.query, o = c.RecordHeld(f.now, id, r.query, held, known)
		f.after(slot.Wait, func() { f.send(id, r, o) })
		return true
	})
}

func (f *reuseFleet) send(id string, r *reuseRequest, o reuser.Outcome) {
	s := f.servers[id]
	r.unread, r.stated = r.query.PromptTokens, o.Held
	chain := r.chains[1]
	if f.counting {
		f.outcome.Hits, f.outcome.FalseHits, f.outcome.Misses = f.outcome.Hits+o.Hits, f.outcome.FalseHits+o.FalseHits, f.outcome.Misses+o.Misses
		f.served[id]++
		if last := f.lastServer[chain]; last != "" && last != id {
			f.moves++
		}
	}
	f.lastServer[chain] = id
	s.reading = append(s.reading, r)
	if !s.active {
		s.active = true
		f.step(s)
	}
}

// step prefills a chunk of prompts and makes a token of each stream.
func (f *reuseFleet) step(s *reuseServer) {
	chunk := modelChunk
	var read []*reuseRequest
	for _, r := range s.reading {
		if r.unread == r.query.PromptTokens {
			f.lookUp(s, r)
		}
		n := min(chunk, r.unread)
		r.unread, chunk = r.unread-n, chunk-n
		if r.unread > 0 {
			break
		}
		read = append(read, r)
		f.keep(s, r)
	}
	took := millis((float64(modelChunk-chunk)/19.2 + 10.5) / s.speed)
	if f.counting {
		f.busy += millis(float64(modelChunk-chunk) / 19.2 / s.speed)
	}
	f.after(took, func() {
		s.reading = s.reading[len(read):]
		for _, r := range read {
			i, began := r.instance, f.now
			f.cores[i].RecordFirstEvent(s.registration.ID, r.query, began.Sub(r.arrived))
			if f.counting {
				f.first = append(f.first, began.Sub(r.arrived))
			}
			s.running = append(s.running, r)
			f.after(millis(172*10.5/s.speed), func() {
				s.running = slices.DeleteFunc(s.running, func(o *reuseRequest) bool { return o == r })
				f.cores[i].RecordDone(f.now, s.registration.ID, r.query, true, false, f.now.Sub(began))
				f.serve(i)
			})
		}
		if s.active = len(s.reading) > 0; s.active {
			f.step(s)
		}
	})
}

// lookUp skips what the server holds of a prompt.
func (f *reuseFleet) lookUp(s *reuseServer, r *reuseRequest) {
	held := s.heldOf(r.chains)
	for level, tokens := range reuseTokens {
		chain := r.chains[level]
		switch {
		case level < held:
			r.unread -= tokens
			if f.counting {
				f.reused += tokens
			}
		case f.read[chain] && f.counting:
			f.again += tokens
		}
		f.read[chain] = true
	}
	if f.counting {
		f.stated, f.overstated = f.stated+r.stated, f.overstated+max(r.stated-(r.query.PromptTokens-r.unread), 0)
	}
}

// keep adds the parts of a prompt to what the server holds and evicts others.
func (f *reuseFleet) keep(s *reuseServer, r *reuseRequest) {
	for level := len(reuseTokens) - 1; level >= 0; level-- {
		chain := r.chains[level]
		s.held = append(slices.DeleteFunc(s.held, func(h reuseChain) bool { return h == chain }), chain)
	}
	total := 1632 * len(s.running)
	for _, h := range s.held {
		total += reuseTokens[h.level]
	}
	for ; total > reuseCapacity && len(s.held) > 0; s.held = s.held[1:] {
		total -= reuseTokens[s.held[0].level]
	}
}

func (f *reuseFleet) register() {
	var list []registrar.Server
	for _, s := range f.servers {
		list = append(list, s.registration)
	}
	slices.SortFunc(list, func(a, b registrar.Server) int { return strings.Compare(a.ID, b.ID) })
	f.owner.UpdateServers(list)
	for _, c := range f.cores {
		c.Update(f.now, list)
	}
}

// exchange gives each instance the peers' counts of the exchange before.
func (f *reuseFleet) exchange() {
	total := map[string]balancer.InFlight{}
	for _, r := range f.sums {
		for id, n := range r.inFlight {
			total[id] = total[id].Add(n)
		}
	}
	for i, c := range f.cores {
		peers := map[string]balancer.InFlight{}
		for id, n := range total {
			peers[id] = n.Sub(f.sums[i].inFlight[id])
		}
		c.UpdatePeers(f.now, peers)
	}
	f.sums = f.sums[:0]
	for i, c := range f.cores {
		f.sums = append(f.sums, modelReport{inFlight: c.OwnInFlight(f.now)})
		f.serve(i)
	}
	f.after(modelExchange, f.exchange)
}

// runReuseFleet returns the state after reuseDuration of a load, the first 10 s of which don't count.
func runReuseFleet(load reuseLoad, policy string) *reuseFleet {
	start := time.Unix(1000, 0)
	f := &reuseFleet{load: load, without: policy == "none", clock: clockwork.NewFakeClockAt(start), servers: map[string]*reuseServer{}, queues: make([][]*reuseRequest, load.instances), read: map[reuseChain]bool{}, chains: map[*reuser.Prompt][3]reuseChain{}, lastServer: map[reuseChain]string{}, served: map[string]int{}}
	f.now, f.random = start, rand.New(rand.NewPCG(5, 6))
	f.owner = pacer.New("self", nil, messenger.NewClient(f.clock), f.clock, zap.NewNop())
	for i := range load.servers {
		s := &reuseServer{registration: server(fmt.Sprint("s", i), "z1"), speed: 1}
		s.registration.Slots = 12
		perServer := load.models * load.replicas / load.servers
		for k := range perServer {
			s.registration.Loaded = append(s.registration.Loaded, registrar.LoadedModel{Model: fmt.Sprint("m", (i+k*load.models/perServer)%load.models)})
		}
		f.servers[s.registration.ID] = s
	}
	for i := range load.instances {
		c := balancer.NewCore("z1", uint64(i))
		c.SetCacheTokens(reuseCapacity)
		c.SetHeldTokens(map[string]balancer.HeldTokens{
			"sticky": func(_ time.Time, _ string, rank int, _ balancer.Request) float64 {
				return 1e5 * float64(max(1-rank, 0))
			},
			"present": func(_ time.Time, _ string, rank int, q balancer.Request) float64 {
				return float64(q.SharedTokens * max(1-rank, 0))
			},
			"oracle": func(_ time.Time, id string, _ int, q balancer.Request) float64 {
				return []float64{0, 210, 350, 1460}[f.servers[id].heldOf(f.chains[q.Prompt])]
			},
		}[policy])
		f.cores = append(f.cores, c)
	}
	f.register()
	f.arrive()
	f.exchange()
	f.after(10*time.Second, func() { f.counting = true })
	if load.disturb != nil {
		f.after(reuseDuration/2, func() { load.disturb(f) })
	}
	for f.now.Sub(start) < reuseDuration {
		e := heap.Pop(&f.events).(modelEvent)
		f.clock.Advance(e.at.Sub(f.now))
		f.now = e.at
		e.run()
	}
	slices.Sort(f.first)
	return f
}

// The loads are 30 instances and 24 servers of deployment A. Each is run with servers chosen without
// regard to prefixes (none), always the preferred replica (sticky), the preferred replica in preference
// by all shared tokens (present, the choice before package reuser), all caches known (oracle), and
// package reuser (estimate). Guards against reading shared parts again that a server holds, and against
// requests that wait for a server that holds their prefix.
var _ = Describe("Fleet whose prompts share prefixes", func() {
	// sessions draws one of 3 first parts and one of a number of second ones, the lower half of which
	// is drawn more often.
	sessions := func(count int) func(*rand.Rand, time.Duration) (int, []string) {
		return func(r *rand.Rand, _ time.Duration) (int, []string) {
			return r.IntN(1 << 20), []string{fmt.Sprint("f", r.IntN(3)), fmt.Sprint("s", int(float64(count)*r.Float64()*(0.5+r.Float64()/2)))}
		}
	}
	// tail draws sessions that send three prompts on average within a second, and none after that.
	tail := func(r *rand.Rand, at time.Duration) (int, []string) {
		n := int(at.Seconds()*36) - r.IntN(36)
		return n * 7 & 0xffff, []string{fmt.Sprint("f", n&3), fmt.Sprint("s", n)}
	}
	hot := func(r *rand.Rand, at time.Duration) (int, []string) {
		if r.IntN(5) < 1 {
			return 0, []string{"f0", "hot"}
		}
		return sessions(60)(r, at)
	}
	slow := func(f *reuseFleet) {
		for _, id := range []string{"s0", "s1", "s2", "s3"} {
			f.servers[id].speed = 0.4
		}
	}
	restart := func(f *reuseFleet) {
		for _, id := range []string{"s0", "s1", "s2", "s3"} {
			f.servers[id].registration.Incarnation, f.servers[id].held = id+"-b", nil
		}
		f.register()
	}
	unload := func(f *reuseFleet) {
		s := f.servers["s0"]
		loaded := s.registration.Loaded
		s.registration.Loaded, s.held = loaded[1:], nil
		f.register()
		f.after(2*time.Second, func() {
			s.registration.Loaded = loaded
			f.register()
		})
	}
	DescribeTable("reads less of shared parts again than with the choice before, and waits no longer",
		func(load reuseLoad) {
			all := map[string]*reuseFleet{}
			for _, policy := range []string{"none", "sticky", "present", "oracle", "estimate"} {
				f := runReuseFleet(load, policy)
				all[policy] = f
				o := f.outcome
				GinkgoWriter.Printf("%-9s read again %7d, reused %7d, p50 %v, p95 %v, n %d, believed and held %.3f, held and not believed %.3f, moves %d, busy %v, stated %d, overstated %d\n", policy, f.again, f.reused,
					quantile(f.first, 0.5).Round(time.Millisecond/10), quantile(f.first, 0.95).Round(time.Millisecond/10), len(f.first),
					float64(o.Hits)/float64(max(o.Hits+o.FalseHits, 1)), float64(o.Misses)/float64(max(o.Hits+o.Misses, 1)), f.moves, f.busy.Round(time.Millisecond), f.stated, f.overstated)
			}
			none, estimate := all["none"], all["estimate"]
			Expect(estimate.again).To(BeNumerically("<", none.again*9/10))
			Expect(estimate.again).To(BeNumerically("<", all["present"].again))
			// The choice takes a server that costs up to 30 ms more than the cheapest one.
			Expect(quantile(estimate.first, 0.95)).To(BeNumerically("<=", quantile(none.first, 0.95)+30*time.Millisecond))
			Expect(quantile(estimate.first, 0.95)).To(BeNumerically("<=", quantile(all["present"].first, 0.95)*105/100))
			Expect(estimate.moves).To(BeNumerically("<", all["present"].moves))
			Expect(estimate.overstated).To(BeNumerically("<=", estimate.stated/50))
			Expect(float64(estimate.outcome.Hits)).To(BeNumerically(">", 4*float64(estimate.outcome.FalseHits)))
		},
		Entry("two-level prompts, 60 sessions, 4 replicas", reuseLoad{servers: 24, models: 12, replicas: 4, instances: 30, perSecond: 108, prefix: sessions(60)}),
		Entry("two-level prompts, 60 sessions, 24 replicas", reuseLoad{servers: 24, models: 1, replicas: 24, instances: 30, perSecond: 108, prefix: sessions(60)}),
		Entry("a long tail of sessions", reuseLoad{servers: 24, models: 4, replicas: 12, instances: 30, perSecond: 108, prefix: tail}),
		Entry("a hot prefix whose server is full", reuseLoad{servers: 24, models: 12, replicas: 8, instances: 30, perSecond: 108, prefix: hot}),
		Entry("sessions that leave slow servers", reuseLoad{servers: 24, models: 4, replicas: 12, instances: 30, perSecond: 80, prefix: sessions(60), disturb: slow}),
		Entry("servers that start again under their ID", reuseLoad{servers: 24, models: 4, replicas: 12, instances: 30, perSecond: 108, prefix: sessions(60), disturb: restart}),
		Entry("a model that is unloaded and loaded again", reuseLoad{servers: 24, models: 4, replicas: 12, instances: 30, perSecond: 108, prefix: sessions(60), disturb: unload}),
	)
})
