package orderchecker_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"primrosehook/driver"
	"primrosehook/leaser"
	"primrosehook/orderchecker"
	"primrosehook/replayer"
)

// journal applies entries to a machine at increasing positions.
type journal struct {
	*orderchecker.Machine
	next replayer.Position
}

func (j *journal) add(instance, kind string, body any) orderchecker.Reason {
	data, err := msgpack.Marshal(body)
	Expect(err).NotTo(HaveOccurred())
	j.next++
	e := replayer.Entry{Kind: kind, Origin: replayer.Origin{Instance: instance}, Body: data}
	return j.Apply(j.next, e).Reason
}

// newJournal returns a journal with lease holder a and engine e of 100 MB, of
// which 10 are reserved and 40 are used by model one.
func newJournal() *journal {
	j := &journal{Machine: orderchecker.NewMachine()}
	Expect(j.claim("a")).To(BeEmpty())
	Expect(j.settle("a", func(s *orderchecker.Settle) {})).To(BeEmpty())
	return j
}

func (j *journal) claim(instance string) orderchecker.Reason {
	return j.add(instance, orderchecker.KindClaim, leaser.Claim{Prev: j.Lease().Last, Term: leaser.DefaultTerm})
}

func (j *journal) settle(instance string, change func(*orderchecker.Settle)) orderchecker.Reason {
	s := orderchecker.Settle{
		Fence: j.Lease().Fence, Engine: "e", Basis: j.Basis("e"), Boot: "1", Total: 100, Reserve: 10,
		Residents: []driver.LoadedWeights{{Weights: driver.Weights{Model: "one"}, State: driver.StateReady, MemoryMB: 40}},
	}
	change(&s)
	return j.add(instance, orderchecker.KindSettle, s)
}

func (j *journal) order(instance, id, op, model string, memory int64) orderchecker.Reason {
	return j.add(instance, orderchecker.KindIntent, orderchecker.Intent{Engine: "e", Order: driver.Order{
		ID: id, Fence: int64(j.Lease().Fence), Op: op, Weights: driver.Weights{Model: model}, MemoryMB: memory,
	}})
}

func closes(id string) func(*orderchecker.Settle) {
	return func(s *orderchecker.Settle) { s.Closed = []orderchecker.Closure{{Order: id, Why: "test"}} }
}

var _ = Describe("Machine", func() {
	It("counts a former lease holder's order until it is closed, on an engine that ignores fencing tokens", func() {
		j := newJournal()
		Expect(j.order("a", "a/1", driver.OpLoad, "two", 40)).To(BeEmpty())
		Expect(j.claim("b")).To(BeEmpty())
		Expect(j.order("b", "b/1", driver.OpLoad, "three", 40)).To(Equal(orderchecker.ReasonMemory))
		Expect(j.settle("b", func(s *orderchecker.Settle) {})).To(BeEmpty(), "a report without the model does not show that the order has ended")
		Expect(j.order("b", "b/2", driver.OpLoad, "three", 40)).To(Equal(orderchecker.ReasonMemory))
		Expect(j.order("b", "b/3", driver.OpLoad, "two", 10)).To(Equal(orderchecker.ReasonConflict))
		Expect(j.settle("b", closes("a/1"))).To(BeEmpty())
		Expect(j.order("b", "b/4", driver.OpLoad, "three", 40)).To(BeEmpty())
	})

	It("stops counting an unsent order when the instance that proposed it withdraws it, and no other", func() {
		j := newJournal()
		Expect(j.order("a", "a/1", driver.OpLoad, "two", 40)).To(BeEmpty())
		Expect(j.claim("b")).To(BeEmpty())
		w := orderchecker.Withdraw{Engine: "e", Order: "a/1"}
		Expect(j.add("b", orderchecker.KindWithdraw, w)).To(Equal(orderchecker.ReasonOrder))
		Expect(j.Engine("e").WorstCase()).To(BeEquivalentTo(90))
		Expect(j.add("a", orderchecker.KindWithdraw, w)).To(BeEmpty())
		Expect(j.Engine("e").WorstCase()).To(BeEquivalentTo(50))
	})

	It("counts a fenced order again after a restart", func() {
		j := newJournal()
		Expect(j.order("a", "a/1", driver.OpLoad, "two", 40)).To(BeEmpty())
		Expect(j.claim("b")).To(BeEmpty())
		fenced := func(s *orderchecker.Settle) { s.Fences, s.Number = true, int64(j.Lease().Fence) }
		Expect(j.settle("b", fenced)).To(BeEmpty())
		Expect(j.Engine("e").WorstCase()).To(BeEquivalentTo(50))
		Expect(j.settle("b", func(s *orderchecker.Settle) { s.Fences, s.Boot, s.Residents = true, "2", nil })).To(BeEmpty())
		Expect(j.Engine("e").WorstCase()).To(BeEquivalentTo(50), "10 reserved and 40 of the order that may still arrive")
		Expect(j.order("b", "b/1", driver.OpLoad, "three", 60)).To(Equal(orderchecker.ReasonMemory))
	})

	It("counts the larger reserve during a change of role, and counts adapters and versions separately", func() {
		j := newJournal()
		role := orderchecker.Intent{Engine: "e", Reserve: 30, Order: driver.Order{ID: "a/1", Fence: int64(j.Lease().Fence), Op: driver.OpRole, Role: driver.RoleDecode}}
		Expect(j.add("a", orderchecker.KindIntent, role)).To(BeEmpty())
		Expect(j.Engine("e").WorstCase()).To(BeEquivalentTo(70))
		Expect(j.settle("a", func(s *orderchecker.Settle) {
			s.Reserve = 30
			s.Orders = []driver.OrderOutcome{{ID: "a/1", Outcome: driver.OutcomeDone}}
		})).To(BeEmpty())
		next := orderchecker.Intent{Engine: "e", Order: driver.Order{
			ID: "a/2", Fence: int64(j.Lease().Fence), Op: driver.OpLoad,
			Weights: driver.Weights{Model: "one", Version: "2"}, MemoryMB: 31,
		}}
		Expect(j.add("a", orderchecker.KindIntent, next)).To(Equal(orderchecker.ReasonMemory))
		next.Order.Adapter, next.Order.MemoryMB = "branch", 5
		Expect(j.add("a", orderchecker.KindIntent, next)).To(BeEmpty())
	})

	It("keeps the account of a removed engine while a message may be in transit", func() {
		j := newJournal()
		Expect(j.order("a", "a/1", driver.OpLoad, "two", 40)).To(BeEmpty())
		gone := func(s *orderchecker.Settle) { s.Gone = true }
		Expect(j.settle("a", gone)).To(BeEmpty())
		Expect(j.Engine("e")).NotTo(BeNil())
		Expect(j.settle("a", func(s *orderchecker.Settle) {
			closes("a/1")(s)
			s.Gone = true
		})).To(BeEmpty())
		Expect(j.Engine("e")).To(BeNil())
		Expect(j.settle("a", func(s *orderchecker.Settle) { s.Basis = leaser.None })).To(Equal(orderchecker.ReasonBasis))
	})

	It("reaches the same state from a snapshot in the middle of a stream", func() {
		w := newSimulation(3, mutation{})
		w.run()
		one, two := orderchecker.NewMachine(), orderchecker.NewMachine()
		for i, e := range w.log {
			one.Apply(replayer.At(int64(i), 0), e)
			two.Apply(replayer.At(int64(i), 0), e)
			if i == len(w.log)/2 {
				state, err := two.Snapshot()
				Expect(err).NotTo(HaveOccurred())
				two = orderchecker.NewMachine()
				Expect(two.Restore(state)).To(Succeed())
			}
		}
		a, err := one.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		b, err := two.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		Expect(a).To(Equal(b))
	})
})

// FuzzApply applies entries with arbitrary bytes: no entry may cause a panic, and
// only a claim may be accepted by a machine without a lease holder.
func FuzzApply(f *testing.F) {
	for _, body := range []any{leaser.Claim{Prev: -1, Term: 1}, orderchecker.Settle{Engine: "e"}, orderchecker.Intent{Engine: "e"}} {
		data, _ := msgpack.Marshal(body)
		for _, kind := range []string{orderchecker.KindIntent, orderchecker.KindSettle, orderchecker.KindWithdraw, orderchecker.KindRelease, "other"} {
			f.Add(kind, data)
		}
	}
	f.Fuzz(func(t *testing.T, kind string, data []byte) {
		m := orderchecker.NewMachine()
		r := m.Apply(1, replayer.Entry{Kind: kind, Origin: replayer.Origin{Instance: "a"}, Body: data})
		if kind != orderchecker.KindClaim && r.Accepted() {
			t.Fatalf("%s was accepted without a lease holder", kind)
		}
	})
}
