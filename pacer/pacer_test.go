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

// start starts instances that know each other.
func instances(count int) []*instance {
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
	pace := balancer.Pace{Running: 20, EventTokens: 3}
	reserve := func(i *instance, life string, tokens int) (pacer.Answer, error) {
		return i.pacer.Reserve(context.Background(), life, tokens, 10*time.Second, pace)
	}

	It("keeps one book of a server for all instances", func() {
		all := instances(3)
		for n := range 6 {
			life := fmt.Sprint("server", n)
			booked := 0
			for range 4 {
				for _, i := range all {
					a, err := reserve(i, life, 100_000)
					Expect(err).NotTo(HaveOccurred())
					if a.Booked {
						booked++
					} else {
						Expect(a.Wait).To(BeNumerically(">", 0))
					}
				}
			}
			Expect(booked).To(Equal(1), "the instances together")
		}
	})

	It("spreads the books over the instances, alike on all", func() {
		all := instances(3)
		kept := map[int]int{}
		for n := range 60 {
			keepers := 0
			for j, i := range all {
				if i.pacer.Keeps(fmt.Sprint("server", n)) {
					kept[j]++
					keepers++
				}
			}
			Expect(keepers).To(Equal(1))
		}
		for j := range all {
			Expect(kept[j]).To(BeNumerically(">", 8))
		}
	})

	It("says so when the keeper does not answer, and asks the next one then", func() {
		all := instances(3)
		life := ""
		for n := 0; life == ""; n++ {
			if l := fmt.Sprint("server", n); all[2].pacer.Keeps(l) {
				life = l
			}
		}
		all[2].stop()
		Eventually(func() error {
			_, err := reserve(all[0], life, 1000)
			return err
		}).Should(HaveOccurred())
		a, err := reserve(all[0], life, 1000)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Booked).To(BeTrue())
	})

	It("gives a server less to read the more streams it runs", func() {
		all := instances(1)
		count := func(life string, running int) (n int) {
			for range 20 {
				a, err := all[0].pacer.Reserve(context.Background(), life, 500, 300*time.Millisecond, balancer.Pace{Running: running, EventTokens: 3})
				Expect(err).NotTo(HaveOccurred())
				if a.Booked && a.Wait == 0 {
					n++
				}
			}
			return n
		}
		idle, busy := count("a", 0), count("b", 50)
		Expect(idle).To(BeNumerically(">", busy))
		Expect(busy).To(BeNumerically(">", 0))
	})
})
