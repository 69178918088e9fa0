package balancer_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/balancer"
	"primrosehook/registrar"
)

const (
	plainInstances, plainServers = 76, 3
	plainSlots, plainQueue       = 6, 24
	plainWork                    = 60 * time.Millisecond
	plainObjective               = 300 * time.Millisecond
	plainLimit                   = 1500 * time.Millisecond
	plainTransit                 = time.Millisecond
	// plainExchange is the pause between the reports of an instance. Counts of others are up to two of
	// them old: one when they arrive, another one when the next ones do.
	plainExchange = 150 * time.Millisecond
)

// plainClock is the clock of the model of the fleet.
type plainClock struct {
	clockwork.Clock
	model *plainModel
}

func (c plainClock) Now() time.Time                  { return c.model.now }
func (c plainClock) Since(t time.Time) time.Duration { return c.model.now.Sub(t) }
func (c plainClock) AfterFunc(d time.Duration, run func()) clockwork.Timer {
	c.model.after(d, run)
	return nil
}

type plainResult struct {
	onTime, late, refused, rejected, sent int
	// held is how many of the refused requests waited before, heldFor the longest such wait.
	held    int
	heldFor time.Duration
}

// plainHost is a server that runs plainSlots requests at a time, keeps plainQueue and rejects others.
type plainHost struct {
	running int
	waiting []func()
}

type plainPending struct {
	arrived time.Time
	granted <-chan *balancer.Assignment
	status  balancer.Status
}

// plainModel is a service without network.
type plainModel struct {
	now     time.Time
	events  modelAgenda
	random  *rand.Rand
	account string
	fleets  []*balancer.Fleet
	pending []*plainPending
	hosts   map[string]*plainHost
	reports []map[string]balancer.InFlight
	queues  []([]balancer.Queue)
	result  plainResult
	// free are the times at which the slots of the single queue become free, bound how many of its
	// requests are on time.
	free  []time.Time
	bound int
	cut   bool
}

func (m *plainModel) after(d time.Duration, run func()) {
	heap.Push(&m.events, modelEvent{m.now.Add(d), run})
}

func (m *plainModel) arrive(rate func(time.Duration) float64, start time.Time) {
	m.after(time.Duration(m.random.ExpFloat64()/rate(m.now.Sub(start))*float64(time.Second)), func() {
		m.runSingleQueue()
		i := m.random.IntN(plainInstances)
		arrived := m.now
		a, granted, status := m.fleets[i].Offer("llm", balancer.Request{
			Account: m.account, Priority: 2, TargetTime: arrived.Add(plainObjective), Deadline: arrived.Add(plainLimit - 100*time.Millisecond),
			MaxWait: 210 * time.Millisecond, Objective: plainObjective,
		})
		switch {
		case a != nil:
			m.send(a, arrived)
		case granted == nil:
			Expect(status).To(Equal(balancer.Full))
			m.result.refused++
		default:
			m.pending = append(m.pending, &plainPending{arrived, granted, status})
		}
		m.arrive(rate, start)
	})
}

// runSingleQueue runs a request that has arrived in a queue of all servers that knows everything and
// refuses what would be late.
func (m *plainModel) runSingleQueue() {
	first := 0
	for i, t := range m.free {
		if t.Before(m.free[first]) {
			first = i
		}
	}
	begin := m.now.Add(plainTransit)
	if m.free[first].After(begin) {
		begin = m.free[first]
	}
	if end := begin.Add(plainWork); end.Add(plainTransit).Sub(m.now) <= plainObjective {
		m.free[first], m.bound = end, m.bound+1
	}
}

// collect sends the requests that have been granted a server since the last event.
func (m *plainModel) collect() {
	kept := m.pending[:0]
	for _, p := range m.pending {
		select {
		case a := <-p.granted:
			if a == nil {
				m.result.refused++
				m.result.held++
				m.result.heldFor = max(m.result.heldFor, m.now.Sub(p.arrived))
				continue
			}
			m.send(a, p.arrived)
		default:
			if m.now.Sub(p.arrived) > plainLimit {
				Fail("a request is held beyond its limit")
			}
			kept = append(kept, p)
		}
	}
	m.pending = kept
}

func (m *plainModel) send(a *balancer.Assignment, arrived time.Time) {
	m.result.sent++
	h := m.hosts[a.ID]
	run := func() {
		m.after(plainWork, func() {
			h.running--
			if len(h.waiting) > 0 {
				next := h.waiting[0]
				h.waiting = h.waiting[1:]
				h.running++
				next()
			}
			load := balancer.LoadReport{Known: true, Running: h.running, Waiting: len(h.waiting), Slots: plainSlots}
			m.after(plainTransit, func() {
				a.RecordLoad(load)
				a.Done(false)
				if m.now.Sub(arrived) <= plainObjective {
					m.result.onTime++
				} else {
					m.result.late++
				}
			})
		})
	}
	m.after(plainTransit, func() {
		switch {
		case h.running < plainSlots:
			h.running++
			run()
		case len(h.waiting) < plainQueue:
			h.waiting = append(h.waiting, run)
		default:
			load := balancer.LoadReport{Known: true, Running: h.running, Waiting: len(h.waiting), Slots: plainSlots, Refused: true}
			m.after(plainTransit, func() {
				a.RecordLoad(load)
				a.MarkFull()
				a.Done(false)
				m.result.rejected++
			})
		}
	})
}

// exchange reports what an instance has in flight and waiting, and gives it the sums of the others.
func (m *plainModel) exchange(i int) {
	m.reports[i], m.queues[i] = m.fleets[i].OwnInFlight(), m.fleets[i].OwnQueues()
	peers, queues := map[string]balancer.InFlight{}, balancer.Queues{}
	for k := range m.fleets {
		if k == i {
			continue
		}
		for id, n := range m.reports[k] {
			peers[id] = peers[id].Add(n)
		}
		queues.Add(m.queues[k])
	}
	if !m.cut {
		m.fleets[i].UpdatePeers(peers, nil)
		m.fleets[i].UpdatePeerQueues(queues.List())
	}
	m.after(plainExchange, func() { m.exchange(i) })
}

// runPlainModel returns the outcome of requests whose rate depends on the time since the start, of those
// that arrived after a warm-up of three seconds.
func runPlainModel(account string, seed uint64, cut bool, rate func(time.Duration) float64, duration time.Duration) (plainResult, int) {
	start := time.Unix(1000, 0)
	m := &plainModel{
		now: start, random: rand.New(rand.NewPCG(seed, 1)), account: account, hosts: map[string]*plainHost{}, free: make([]time.Time, plainServers*plainSlots),
		reports: make([]map[string]balancer.InFlight, plainInstances), queues: make([][]balancer.Queue, plainInstances), cut: cut,
	}
	var list []registrar.Server
	for i := range plainServers {
		s := server(fmt.Sprint("s", i), fmt.Sprint("z", i))
		s.Slots = plainSlots
		list = append(list, s)
		m.hosts[s.ID] = &plainHost{}
	}
	for i := range plainInstances {
		f := balancer.NewFleet(fmt.Sprint("z", i%3), uint64(i)+seed*1000, plainClock{model: m})
		f.Update(list)
		m.fleets = append(m.fleets, f)
		m.after(plainExchange*time.Duration(i)/plainInstances, func() { m.exchange(i) })
	}
	m.arrive(rate, start)
	warm := false
	for m.now.Sub(start) < duration {
		e := heap.Pop(&m.events).(modelEvent)
		m.now = e.at
		if !warm && m.now.Sub(start) >= 3*time.Second {
			warm, m.result, m.bound = true, plainResult{}, 0
		}
		e.run()
		m.collect()
	}
	return m.result, m.bound
}

var _ = Describe("Plain servers under overload", func() {
	// The load: 76 instances, 3 servers with 6 slots and a queue of 24, 60 ms of work; from 170 to 420
	// requests a second for 4 s and back, the servers do 300. Guards against requests that are rejected
	// by a full server, which may not be sent again, and that wait at servers until they are late. 5 in
	// 100 is the difference between equally urgent requests from which on the specification speaks of a defect.
	It("answers nearly as many on time as a single queue that knows everything", func() {
		burst := func(t time.Duration) float64 {
			if t >= 4*time.Second && t < 8*time.Second {
				return 420
			}
			return 170
		}
		for seed := range uint64(6) {
			with, bound := runPlainModel("a", seed, false, burst, 11*time.Second)
			without, _ := runPlainModel("", seed, false, burst, 11*time.Second)
			GinkgoWriter.Printf("seed %d: with %+v, without %+v, single queue %d on time\n", seed, with, without, bound)
			Expect(float64(with.onTime)).To(BeNumerically(">=", math.Ceil(0.95*float64(bound))))
			Expect(with.onTime).To(BeNumerically(">", without.onTime))
			Expect(with.rejected).To(BeNumerically("<", with.sent/100))
			Expect(with.late).To(BeNumerically("<", with.sent/20))
			Expect(with.late).To(BeNumerically("<", without.late), "none on time is displaced by one that is late")
			Expect(with.heldFor).To(BeNumerically("<=", plainObjective), "none is held that can't be on time any more, and then refused")
		}
	})

	// The load: 170 requests a second. Guards against requests that are held or refused while there is room.
	It("refuses none and answers all on time while the servers have room", func() {
		calm := func(time.Duration) float64 { return 170 }
		result, _ := runPlainModel("a", 1, false, calm, 9*time.Second)
		Expect(result.refused + result.rejected + result.late).To(BeZero())
	})

	// The load: 250 requests a second at instances that hear nothing of each other. Guards against instances
	// that refuse what the servers can do since they know only their own part.
	It("decides by an instance's own counts without reports of the peers", func() {
		calm := func(time.Duration) float64 { return 250 }
		result, _ := runPlainModel("a", 1, true, calm, 9*time.Second)
		GinkgoWriter.Printf("without reports %+v\n", result)
		Expect(result.refused).To(BeZero())
		Expect(result.onTime).To(BeNumerically(">", result.sent*95/100))
	})

	// The load: two requests that wait at an instance for servers that hold too much. Guards against a
	// request that passes more urgent ones since it waits for a plain server.
	It("serves those that wait by priority", func() {
		m := &plainModel{now: time.Unix(1000, 0)}
		f := balancer.NewFleet("z0", 1, plainClock{model: m})
		s := server("s0", "z0")
		s.Slots = plainSlots
		f.Update([]registrar.Server{s})
		offer := func(priority int) (*balancer.Assignment, <-chan *balancer.Assignment) {
			a, granted, _ := f.Offer("llm", balancer.Request{
				Account: "a", Priority: priority, TargetTime: m.now.Add(plainObjective), Deadline: m.now.Add(plainLimit), Objective: plainObjective,
			})
			return a, granted
		}
		for range 20 {
			a, _ := offer(2)
			m.now = m.now.Add(plainWork)
			a.RecordLoad(balancer.LoadReport{Known: true, Running: 1})
			a.Done(false)
			f.UpdatePeers(nil, nil)
		}
		m.now = m.now.Add(200 * time.Millisecond)
		report := func() { f.UpdatePeers(map[string]balancer.InFlight{"s0": {Requests: 14}}, nil) }
		report()
		var less <-chan *balancer.Assignment
		for less == nil {
			_, less = offer(2)
		}
		_, more := offer(0)
		Expect(more).NotTo(BeNil())
		m.now = m.now.Add(12 * time.Millisecond) // the server does one request in 10 ms
		report()
		Expect(more).To(Receive(Not(BeNil())))
		Expect(less).NotTo(Receive())
	})
})
