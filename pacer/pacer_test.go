package pacer_test

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"primrosehook/balancer"
	"primrosehook/messenger"
	"primrosehook/pacer"
)

type instance struct {
	address string
	pacer   *pacer.Pacer
	stop    context.CancelFunc
}

// startInstances starts instances that know each other.
func startInstances(count int) []*instance {
	var all []*instance
	var members []string
	clock := clockwork.NewRealClock()
	for range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		i := &instance{address: l.Addr().String(), stop: cancel}
		i.pacer = pacer.New(i.address, nil, messenger.NewClient(clock), clock, zap.NewNop())
		s := messenger.NewServer(zap.NewNop())
		i.pacer.Serve(s)
		go func() { _ = s.Serve(ctx, l) }()
		all = append(all, i)
		members = append(members, i.address)
	}
	for _, i := range all {
		i.pacer.Update(members)
	}
	return all
}

var _ = Describe("Pacer", func() {
	load := balancer.EngineLoad{RunningStreams: 20, EventTokens: 3}
	reserve := func(i *instance, incarnation string, tokens int) (pacer.Reservation, error) {
		return i.pacer.Reserve(context.Background(), incarnation, tokens, 10*time.Second, load)
	}

	It("keeps one schedule of a server for all instances", func() {
		all := startInstances(3)
		for n := range 6 {
			incarnation := fmt.Sprint("server", n)
			reserved := 0
			for range 4 {
				for _, i := range all {
					a, err := reserve(i, incarnation, 100_000)
					Expect(err).NotTo(HaveOccurred())
					if a.Reserved {
						reserved++
					} else {
						Expect(a.Wait).To(BeNumerically(">", 0))
					}
				}
			}
			Expect(reserved).To(Equal(1), "all instances together")
		}
	})

	It("distributes the schedules over the instances, with the same owner on all", func() {
		all := startInstances(3)
		owned := map[int]int{}
		for n := range 60 {
			owners := 0
			for j, i := range all {
				if i.pacer.Owns(fmt.Sprint("server", n)) {
					owned[j]++
					owners++
				}
			}
			Expect(owners).To(Equal(1))
		}
		for j := range all {
			Expect(owned[j]).To(BeNumerically(">", 8))
		}
	})

	It("returns an error when the owner does not reply, and then asks the next owner", func() {
		all := startInstances(3)
		incarnation := ""
		for n := 0; incarnation == ""; n++ {
			if l := fmt.Sprint("server", n); all[2].pacer.Owns(l) {
				incarnation = l
			}
		}
		all[2].stop()
		Eventually(func() error {
			_, err := reserve(all[0], incarnation, 1000)
			return err
		}).Should(HaveOccurred())
		a, err := reserve(all[0], incarnation, 1000)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Reserved).To(BeTrue())
	})

	// Guards against a slot that stays reserved at a peer for a client that has left.
	It("gives a reservation back to the owner of the schedule", func() {
		all := startInstances(2)
		incarnation := "s"
		for all[0].pacer.Owns(incarnation) {
			incarnation += "s"
		}
		// The server has no time for more than one such prompt in 2 s.
		take := func() pacer.Reservation {
			r, err := all[0].pacer.Reserve(context.Background(), incarnation, 256, 2*time.Second, balancer.EngineLoad{RunningStreams: 1000, EventTokens: 4})
			Expect(err).NotTo(HaveOccurred())
			return r
		}
		Expect(take().Reserved).To(BeTrue())
		time.Sleep(1200 * time.Millisecond)
		r := take()
		Expect(r.Reserved).To(BeTrue())
		Expect(r.Wait).To(BeNumerically(">", 0))
		Expect(take().Reserved).To(BeFalse())
		all[0].pacer.Release(incarnation, r)
		Eventually(func() bool { return take().Reserved }, "500ms").Should(BeTrue())
	})

	// Guards against reservations without end, and without bound in memory, for a server
	// with so many running streams that no time is left for prompts.
	It("lets prompts through one by one to a server that has no time for them", func() {
		i := startInstances(1)[0]
		i.pacer.Update([]string{i.address})
		ctx, load := context.Background(), balancer.EngineLoad{RunningStreams: 500, EventTokens: 4}
		first, err := i.pacer.Reserve(ctx, "s", 1460, 300*time.Millisecond, load)
		Expect(err).NotTo(HaveOccurred())
		Expect(first).To(Equal(pacer.Reservation{Reserved: true}))
		second, err := i.pacer.Reserve(ctx, "s", 1460, 300*time.Millisecond, load)
		Expect(err).NotTo(HaveOccurred())
		Expect(second.Reserved).To(BeFalse())
		Expect(second.Wait).To(BeNumerically("<", 5*time.Second))
	})

	It("sends a server fewer prompt tokens the more streams it runs", func() {
		all := startInstances(1)
		count := func(incarnation string, running int) (n int) {
			for range 20 {
				a, err := all[0].pacer.Reserve(context.Background(), incarnation, 500, 300*time.Millisecond, balancer.EngineLoad{RunningStreams: running, EventTokens: 3})
				Expect(err).NotTo(HaveOccurred())
				if a.Reserved && a.Wait == 0 {
					n++
				}
			}
			return n
		}
		idle, busy := count("a", 0), count("b", 50)
		Expect(idle).To(BeNumerically(">", busy))
		Expect(busy).To(BeNumerically(">", 0))
	})

	// Guards against prompts that stop the streams of a slow server for longer than the objective.
	It("sends a server prompts by its speed, which is 1 if it is not known", func() {
		// The load: 40 prompts of 500 tokens at once on an idle server, with an objective of 300 ms.
		i := startInstances(1)[0]
		count := func(speed float64) (n int) {
			for range 40 {
				a, err := i.pacer.Reserve(context.Background(), fmt.Sprint("speed", speed), 500, 300*time.Millisecond, balancer.EngineLoad{EventTokens: 4, Speed: speed})
				Expect(err).NotTo(HaveOccurred())
				if a.Reserved && a.Wait == 0 {
					n++
				}
			}
			return n
		}
		// What it prefills in 272 ms, the objective of large models, less four steps of 6.8 ms.
		Expect([]int{count(0.6), count(1), count(1.6), count(0)}).To(Equal([]int{6, 10, 18, 10}))
	})

	It("begins with an empty schedule when a server starts again under its ID", func() {
		// The load: a prompt of 100,000 tokens at the earlier start, which takes several windows.
		i := startInstances(1)[0]
		for _, incarnation := range []string{"s@1", "s@2"} {
			a, err := reserve(i, incarnation, 100_000)
			Expect(err).NotTo(HaveOccurred())
			Expect(a).To(Equal(pacer.Reservation{Reserved: true}), incarnation)
		}
	})
})
