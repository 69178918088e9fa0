package publisher_test

import (
	"context"
	"fmt"
	"math/rand"
	"strings"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/judge"
	"primrosehook/publisher"
	"primrosehook/simulator"
)

// listText returns a small valid list with the name. Every other one is long
// enough to be packed, so that all tests cover both forms of records.
func listText(name string) string {
	note := strings.Repeat("# what holds for all of them\n", int(name[len(name)-1])%2*20)
	return fmt.Sprintf("%sname: %s\nrules:\n- name: all\n  when: kind == 'chat'\n  then: {class: urgent}\n", note, name)
}

// instance is one publisher in the fleet.
type instance struct {
	node      *simulator.Node
	publisher *publisher.Publisher
}

func start(f *simulator.Fleet, name string, opts ...publisher.Option) *instance {
	n := add(f, name, opts...)
	n.publisher.Start(n.node.Context)
	return n
}

func add(f *simulator.Fleet, name string, opts ...publisher.Option) *instance {
	n, err := f.Add(name)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(n.Kill)
	opts = append([]publisher.Option{publisher.WithPullInterval(20 * time.Millisecond)}, opts...)
	p := publisher.New(n.Log, n, n.Peers, opts...)
	p.Serve(n.Server)
	return &instance{n, p}
}

func (n *instance) publish(base publisher.Version, name string, limit time.Duration) (publisher.Version, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return n.publisher.Publish(ctx, base, name, listText(name))
}

func errorCode(err error) string { return judge.As(err).Code }

const longTimeout = 20 * time.Second

var _ = Describe("Publisher", func() {
	var fleet *simulator.Fleet
	BeforeEach(func() { fleet = simulator.NewFleet() })

	It("puts a list in force on every instance and reports a conflict to the loser of a race", func() {
		a, b := start(fleet, "a"), start(fleet, "b")
		Expect(a.publisher.Ready()).To(BeFalse())
		first, err := a.publish(0, "one", longTimeout)
		Expect(err).NotTo(HaveOccurred())
		Eventually(b.publisher.Version, "10s", "5ms").Should(Equal(first))

		second, err := a.publish(first, "two", longTimeout)
		Expect(err).NotTo(HaveOccurred())
		Expect(second).To(BeNumerically(">", first))
		_, err = b.publish(first, "three", longTimeout)
		Expect(errorCode(err)).To(Equal("conflict"))
		Expect(judge.Of(err)).To(Equal(judge.NotRun))
		Expect(judge.As(err).Reason).To(ContainSubstring(fmt.Sprint("version ", int64(second), " is in force")))
	})

	It("rejects an invalid list before appending it", func() {
		a := start(fleet, "a")
		_, err := a.publisher.Publish(context.Background(), 0, "me", "rules:\n- when: 'kind =='\n")
		Expect(errorCode(err)).To(Equal("rules"))
		Expect(fleet.Log.AppendCount()).To(BeZero())
	})

	It("uses the highest version of its peers while the log is down, and never goes back to an older one", func() {
		a, behind := start(fleet, "a"), start(fleet, "behind")
		first, err := a.publish(0, "one", longTimeout)
		Expect(err).NotTo(HaveOccurred())
		Eventually(behind.publisher.Version, "10s", "5ms").Should(Equal(first))
		behind.node.Log.SetUnreachable(true)
		second, err := a.publish(first, "two", longTimeout)
		Expect(err).NotTo(HaveOccurred())

		fresh := add(fleet, "fresh")
		fresh.node.Log.SetUnreachable(true)
		fresh.publisher.Start(fresh.node.Context)
		Eventually(fresh.publisher.Version, "10s", "5ms").Should(Equal(second))
		Expect(fresh.publisher.Ready()).To(BeTrue())
		Expect(fresh.publisher.OnPeerVersion(context.Background(), behind.node.PeerAddr, second+1)).To(Succeed())
		Expect(fresh.publisher.Version()).To(Equal(second))
		_, err = fresh.publish(second, "three", 100*time.Millisecond)
		Expect(judge.Of(err)).To(Equal(judge.NotRun))

		fresh.node.Log.SetUnreachable(false)
		third, err := fresh.publish(second, "three", longTimeout)
		Expect(err).NotTo(HaveOccurred())
		Eventually(a.publisher.Version, "10s", "5ms").Should(Equal(third))
	})

	It("is not ready if it reaches neither the log nor a peer", func() {
		isolated := add(fleet, "lone")
		isolated.node.Log.SetUnreachable(true)
		isolated.publisher.Start(isolated.node.Context)
		Consistently(isolated.publisher.Ready, "200ms", "20ms").Should(BeFalse())
	})

	It("restores the list from a snapshot after retention has dropped its record", func() {
		a := start(fleet, "a", publisher.WithSnapshotInterval(time.Second))
		version := publisher.Version(0)
		for i := range 4 {
			var err error
			version, err = a.publish(version, fmt.Sprint("list", i), longTimeout)
			Expect(err).NotTo(HaveOccurred())
		}
		published := fleet.Log.AppendCount()
		// A snapshot that was written while a record was being appended is
		// unusable once that record is gone, so the test waits for a later one.
		Eventually(fleet.Log.AppendCount, "20s", "20ms").Should(BeNumerically(">=", published+3))
		fleet.Log.Trim(publisher.Stream, 1)
		a.node.Kill()
		fresh := start(fleet, "fresh")
		Eventually(fresh.publisher.Version, "10s", "5ms").Should(Equal(version))
		_, source := fresh.publisher.Published()
		Expect(source).To(Equal("log"))
	})

	It("behaves as a compare-and-swap register under seeded faults", func() {
		for seed := int64(1); seed <= 6; seed++ {
			ops := runHistory(seed)
			result := porcupine.CheckOperationsTimeout(registerModel.ToModel(), ops, time.Minute)
			Expect(result).To(Equal(porcupine.Ok), "seed %d, %d operations", seed, len(ops))
		}
	})

	It("fails the linearizability check if two operators both replaced the same list", func() {
		ops := []porcupine.Operation{
			{ClientId: 0, Call: 0, Return: 10, Input: operation{"", "a"}, Output: outcome{accepted: true}},
			{ClientId: 1, Call: 1, Return: 11, Input: operation{"", "b"}, Output: outcome{accepted: true}},
		}
		Expect(porcupine.CheckOperationsTimeout(registerModel.ToModel(), ops, time.Minute)).To(Equal(porcupine.Illegal))
	})
})

// operation is a publish as the porcupine model sees it: a compare-and-swap
// of list names.
type operation struct{ base, next string }

// outcome is the result of an operation: accepted, refused with the name of
// the list in force, or unknown.
type outcome struct {
	accepted, unknown bool
	current           string
}

var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		now, op, out := state.(string), input.(operation), output.(outcome)
		swapped := []any{op.next}
		switch {
		case out.unknown && op.base == now:
			return []any{now, op.next}
		case out.unknown:
			return []any{now}
		case out.accepted && op.base == now:
			return swapped
		case !out.accepted && op.base != now && out.current == now:
			return []any{now}
		}
		return nil
	},
}

// operator publishes through one instance, with a base version that may be
// stale.
type operator struct {
	instance *instance
	name     string
	random   *rand.Rand
	start    time.Time
	group    *sync.WaitGroup
	ops      []porcupine.Operation
}

func (o *operator) run(client int) {
	defer o.group.Done()
	for i := range 8 {
		base, _ := o.instance.publisher.Published()
		name := fmt.Sprint(o.name, "-", i)
		call := time.Since(o.start)
		limit := time.Duration(20+o.random.Intn(200)) * time.Millisecond
		_, err := o.instance.publish(base.Version, name, limit)
		op := porcupine.Operation{
			ClientId: client, Call: int64(call), Return: int64(time.Since(o.start)),
			Input: operation{base.Author, name},
		}
		switch {
		case err == nil:
			op.Output = outcome{accepted: true}
		case errorCode(err) == "conflict":
			_, author, _ := strings.Cut(judge.As(err).Reason, "published by ")
			op.Output = outcome{current: strings.Trim(author, `"`)}
		case judge.Of(err) == judge.NotRun:
			continue
		default:
			op.Output = outcome{unknown: true}
			op.Return = int64(time.Hour)
			// The operation stays open, and porcupine allows one open operation per
			// client: the operator continues as another client.
			client += 100
		}
		o.ops = append(o.ops, op)
	}
}

func runHistory(seed int64) []porcupine.Operation {
	fleet := simulator.NewFleet()
	random := rand.New(rand.NewSource(seed))
	var group sync.WaitGroup
	var operators []*operator
	startTime := time.Now()
	var instances []*instance
	for i := range 4 {
		at := start(fleet, fmt.Sprint("n", i))
		instances = append(instances, at)
		faults := rand.New(rand.NewSource(random.Int63()))
		at.node.Log.SetFaults(func() simulator.Fault { return simulator.Fault(faults.Intn(6)) })
		o := &operator{
			instance: at, name: fmt.Sprint("op", i), random: rand.New(rand.NewSource(random.Int63())),
			start: startTime, group: &group,
		}
		operators = append(operators, o)
		group.Add(1)
		go o.run(i)
	}
	group.Wait()
	fleet.Log.ApplyDelayed()
	reader := start(fleet, "reader")
	for _, n := range append(instances, reader) {
		n.node.Log.SetFaults(func() simulator.Fault { return simulator.NoFault })
	}
	var final publisher.Version
	Eventually(func() (err error) {
		base := reader.publisher.Version()
		final, err = reader.publish(base, "final", longTimeout)
		return err
	}, "20s", "5ms").Should(Succeed())
	var ops []porcupine.Operation
	for _, n := range instances {
		Eventually(n.publisher.Version, "20s", "5ms").Should(Equal(final), "seed %d: %s", seed, n.node.Name)
	}
	for _, o := range operators {
		ops = append(ops, o.ops...)
	}
	return ops
}
