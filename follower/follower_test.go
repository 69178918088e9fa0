package follower_test

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"primrosehook/follower"
	"primrosehook/judge"
	"primrosehook/replayer"
	"primrosehook/simulator"
)

// register keeps the first value of each key, and counts how often each key
// and value was applied.
type register struct {
	First map[string]string
	Tries map[string]int
}

func newRegister() *register { return &register{First: map[string]string{}, Tries: map[string]int{}} }

type assignment struct{ Key, Value string }

func (m *register) Apply(_ replayer.Position, e replayer.Entry) bool {
	var s assignment
	if msgpack.Unmarshal(e.Body, &s) != nil {
		return false
	}
	m.Tries[s.Key+"="+s.Value]++
	if _, ok := m.First[s.Key]; ok {
		return false
	}
	m.First[s.Key] = s.Value
	return true
}
func (m *register) Snapshot() ([]byte, error)  { return msgpack.Marshal(m) }
func (m *register) Restore(state []byte) error { return msgpack.Unmarshal(state, m) }

const stream = "test"

// node is the follower of one instance.
type node struct {
	client   *simulator.LogClient
	machine  *register
	follower *follower.Follower[bool]
}

func start(log *simulator.Log, name string, opts ...follower.Option) *node {
	n := &node{client: log.Client(), machine: newRegister()}
	opts = append([]follower.Option{follower.WithGroupInterval(time.Millisecond)}, opts...)
	n.follower = follower.New(n.client, stream, name, n.machine, opts...)
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	n.follower.Start(ctx)
	return n
}

func (n *node) submit(key, value string, limit time.Duration) (bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	o, err := n.follower.Submit(ctx, "set", assignment{key, value})
	return o.Result, err
}

func (n *node) attempts(entry string) (count int) {
	n.follower.View(func() { count = n.machine.Tries[entry] })
	return count
}

var always = func() bool { return true }

var _ = Describe("Follower", func() {
	var log *simulator.Log
	BeforeEach(func() { log = simulator.NewLog() })

	It("confirms a submission whose append reply was lost by reading it back, and appends it once", func() {
		n := start(log, "a")
		n.client.SetFaults(func() simulator.Fault { return simulator.LoseReply })
		ok, err := n.submit("k", "v", 10*time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(ok).To(BeTrue())
		Expect(n.attempts("k=v")).To(Equal(1))
	})

	It("returns NotRun for a refused append and MayHaveRun for one that takes effect late", func() {
		n := start(log, "a")
		n.client.SetFaults(func() simulator.Fault { return simulator.RefuseAppend })
		_, err := n.submit("k", "refused", 10*time.Second)
		Expect(judge.Of(err)).To(Equal(judge.NotRun))
		n.client.SetFaults(func() simulator.Fault { return simulator.DelayAppend })
		_, err = n.submit("k", "late", 200*time.Millisecond)
		Expect(judge.Of(err)).To(Equal(judge.MayHaveRun))
		n.client.SetFaults(func() simulator.Fault { return simulator.NoFault })
		log.ApplyDelayed()
		Eventually(func() int { return n.attempts("k=late") }, "10s", "5ms").Should(Equal(1))
		Expect(n.attempts("k=refused")).To(BeZero())
	})

	It("removes an entry that is queued behind a hanging append, and returns NotRun", func() {
		n := start(log, "a")
		Expect(n.follower.AwaitCurrent(context.Background())).To(Succeed())
		n.client.SetUnreachable(true)
		first := submission{node: n, key: "k", value: "first", limit: 400 * time.Millisecond, done: make(chan error, 1)}
		go first.run()
		time.Sleep(100 * time.Millisecond)
		_, err := n.submit("k", "second", 100*time.Millisecond)
		Expect(judge.Of(err)).To(Equal(judge.NotRun))
		Expect(judge.Of(<-first.done)).To(Equal(judge.MayHaveRun))
		n.client.SetUnreachable(false)
		ok, err := n.submit("other", "x", 20*time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(ok).To(BeTrue())
		Expect(n.attempts("k=second")).To(BeZero())
	})

	It("rejects an entry over the record size limit", func() {
		n := start(log, "a")
		_, err := n.submit("k", string(make([]byte, 1<<20)), 10*time.Second)
		Expect(judge.Of(err)).To(Equal(judge.NotRun))
	})

	It("is not current while records dropped by retention are missing, and becomes current by a snapshot in several parts", func() {
		var writes atomic.Bool
		old := start(log, "old", follower.WithSnapshotRecords(3, writes.Load))
		big := string(make([]byte, 300<<10))
		for i := range 6 {
			_, err := old.submit(fmt.Sprint("k", i), big, 10*time.Second)
			Expect(err).NotTo(HaveOccurred())
		}
		log.Trim(stream, 2)

		fresh := start(log, "fresh")
		Eventually(func() int64 { return fresh.follower.Status().Next }, "10s", "5ms").Should(Equal(int64(6)))
		Expect(fresh.follower.Status().Complete).To(BeFalse())
		Expect(fresh.follower.Status().Current).To(BeFalse())
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		Expect(judge.Of(fresh.follower.AwaitCurrent(ctx))).To(Equal(judge.NotRun))

		writes.Store(true)
		_, err := old.submit("k6", "last", 10*time.Second)
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() bool { return fresh.follower.Status().Current }, "10s", "5ms").Should(BeTrue())
		Expect(log.AppendCount()).To(BeNumerically(">", 6+1+2), "the snapshot has more than one record")
		// The snapshot may precede k6 in the log; fresh is then current before it has
		// read k6.
		Eventually(func() (keys int) {
			fresh.follower.View(func() { keys = len(fresh.machine.First) })
			return keys
		}, "10s", "5ms").Should(Equal(7))
	})

	It("writes a snapshot of a quiet stream by age, on one instance of the fleet", func() {
		clock := clockwork.NewFakeClock()
		n := start(log, "a", follower.WithClock(clock), follower.WithSnapshotInterval(time.Hour, always))
		start(log, "b", follower.WithClock(clock), follower.WithSnapshotInterval(time.Hour, func() bool { return false }))
		result := make(chan error, 1)
		s := submission{node: n, done: result}
		go s.run()
		Eventually(func() int {
			clock.Advance(time.Second)
			return len(result)
		}, "10s", "2ms").Should(Equal(1))
		Expect(<-result).To(Succeed())
		Eventually(func() int {
			clock.Advance(time.Minute)
			return log.AppendCount()
		}, "20s", "5ms").Should(BeNumerically(">=", 3))
	})

	It("accepts one value per key from racing instances under seeded faults, and all instances agree", func() {
		for seed := int64(1); seed <= 12; seed++ {
			runRace(seed)
		}
	})
})

// submission is one call of submit on its own goroutine.
type submission struct {
	node       *node
	key, value string
	limit      time.Duration
	done       chan error
	won        bool
	err        error
	group      *sync.WaitGroup
}

func (s *submission) run() {
	if s.limit == 0 {
		s.limit = 20 * time.Second
	}
	s.won, s.err = s.node.submit(s.key, s.value, s.limit)
	if s.done != nil {
		s.done <- s.err
	}
	if s.group != nil {
		s.group.Done()
	}
}

func (s *submission) verdict() judge.Verdict {
	if s.err == nil {
		return judge.Ran
	}
	return judge.Of(s.err)
}

func runRace(seed int64) {
	r := rand.New(rand.NewSource(seed))
	log := simulator.NewLog()
	var nodes []*node
	for i := range 3 {
		n := start(log, fmt.Sprint("n", i), follower.WithSnapshotRecords(8, always))
		faults := rand.New(rand.NewSource(r.Int63()))
		n.client.SetFaults(func() simulator.Fault { return simulator.Fault(faults.Intn(6)) })
		nodes = append(nodes, n)
	}
	var all []*submission
	var g sync.WaitGroup
	for i, n := range nodes {
		for k := range 12 {
			s := &submission{
				node: n, key: fmt.Sprint("k", k), value: fmt.Sprint("n", i),
				limit: 150 * time.Millisecond, group: &g,
			}
			all = append(all, s)
			g.Add(1)
			go s.run()
		}
	}
	g.Wait()
	log.ApplyDelayed()
	for _, n := range nodes {
		n.client.SetFaults(func() simulator.Fault { return simulator.NoFault })
		_, err := n.submit("end", "end", 20*time.Second)
		Expect(err).NotTo(HaveOccurred())
	}
	want := map[string]string{}
	nodes[2].follower.View(func() {
		for k, v := range nodes[2].machine.First {
			want[k] = v
		}
	})
	for _, x := range all {
		entry := x.key + "=" + x.value
		switch x.verdict() {
		case judge.Ran:
			Expect(want[x.key] == x.value).To(Equal(x.won), "seed %d %s", seed, entry)
		case judge.NotRun:
			Expect(nodes[2].attempts(entry)).To(BeZero(), "seed %d %s", seed, entry)
		}
	}
	for _, n := range nodes {
		n.follower.View(func() {
			for k, v := range want {
				Expect(n.machine.First).To(HaveKeyWithValue(k, v), "seed %d", seed)
			}
		})
	}
}

var _ = Describe("Changed", func() {
	It("signals a change of state that comes from a snapshot alone", func() {
		log := simulator.NewLog()
		var writes atomic.Bool
		old := start(log, "old", follower.WithSnapshotRecords(4, writes.Load))
		for i := range 4 {
			writes.Store(i == 3)
			_, err := old.submit(fmt.Sprint("k", i), "v", 20*time.Second)
			Expect(err).NotTo(HaveOccurred())
		}
		Eventually(log.AppendCount, "20s", "5ms").Should(Equal(5))
		Eventually(func() int64 { return old.follower.Status().Next }, "20s", "5ms").Should(Equal(int64(log.AppendCount())))
		log.Trim(stream, 1)

		// Changed is called before the first record is read.
		client := log.Client()
		client.SetUnreachable(true)
		machine := newRegister()
		f := follower.New(client, stream, "fresh", machine)
		changed := f.Changed()
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		f.Start(ctx)
		client.SetUnreachable(false)
		Eventually(changed, "20s").Should(BeClosed())
		f.View(func() { Expect(machine.First).NotTo(BeEmpty()) })
	})
})
