package faker_test

import (
	"context"
	"net/http/httptest"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/faker"
	"primrosehook/judge"
	"primrosehook/lister"
)

var _ = Describe("List", func() {
	for _, form := range []string{"in the process", "over HTTP"} {
		Describe(form, func() {
			var clock *clockwork.FakeClock
			var fake *faker.List
			var list lister.List

			start := func(settings faker.ListSettings) {
				clock = clockwork.NewFakeClock()
				fake = faker.NewList(settings, faker.WithClock(clock))
				s := httptest.NewServer(fake.Handler())
				DeferCleanup(s.Close)
				list = fake
				if form == "over HTTP" {
					list = lister.NewClient(s.URL, s.Client())
				}
			}
			announce := func(name, state string) {
				Expect(list.Announce(context.Background(), lister.Instance{Name: name, State: state})).To(Succeed())
			}
			states := func() map[string]string {
				all, err := list.Instances(context.Background())
				Expect(err).NotTo(HaveOccurred())
				out := map[string]string{}
				for _, i := range all {
					out[i.Name] = i.State
				}
				return out
			}

			It("lists an announced instance until it is withdrawn", func(ctx context.Context) {
				start(faker.ListSettings{})
				announce("a", lister.StateLive)
				announce("b", lister.StateLeaving)
				Expect(states()).To(Equal(map[string]string{"a": lister.StateLive, "b": lister.StateLeaving}))
				Expect(list.Withdraw(ctx, "a")).To(Succeed())
				Expect(states()).To(Equal(map[string]string{"b": lister.StateLeaving}))
			})

			It("drops an instance that is not renewed", func() {
				start(faker.ListSettings{Renewal: 10 * time.Second})
				announce("a", lister.StateLive)
				announce("b", lister.StateLive)
				clock.Advance(6 * time.Second)
				announce("b", lister.StateLive)
				clock.Advance(6 * time.Second)
				Expect(states()).To(HaveLen(1))
				Expect(states()).To(HaveKey("b"))
			})

			It("returns its state as of the lag", func(ctx context.Context) {
				start(faker.ListSettings{})
				fake.SetFaults(faker.ListFaults{Lag: 5 * time.Second})
				announce("a", lister.StateLive)
				Expect(states()).To(BeEmpty())
				clock.Advance(5 * time.Second)
				Expect(states()).To(HaveKey("a"))
				Expect(list.Withdraw(ctx, "a")).To(Succeed())
				clock.Advance(4 * time.Second)
				Expect(states()).To(HaveKey("a"), "a withdrawn instance is still listed until the lag has passed")
				clock.Advance(time.Second)
				Expect(states()).To(BeEmpty())
			})

			It("refuses calls in an outage", func(ctx context.Context) {
				start(faker.ListSettings{})
				fake.SetFaults(faker.ListFaults{Faults: faker.Faults{Outage: faker.OutageRefuse}})
				_, err := list.Instances(ctx)
				Expect(judge.Of(err)).To(Equal(judge.NotRun))
				Expect(judge.Of(list.Announce(ctx, lister.Instance{Name: "a"}))).To(Equal(judge.NotRun))
			})

			It("loses the reply after the effect", func(ctx context.Context) {
				start(faker.ListSettings{})
				fake.SetFaults(faker.ListFaults{Faults: faker.Faults{LoseReplies: 1}})
				err := list.Announce(ctx, lister.Instance{Name: "a", State: lister.StateLive})
				Expect(judge.Of(err)).To(Equal(judge.MayHaveRun))
				Expect(states()).To(HaveKey("a"))
			})
		})
	}
})
