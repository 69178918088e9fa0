package balancer_test

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"primrosehook/balancer"
	"primrosehook/registrar"
)

var _ = Describe("Order among accounts", func() {
	now := time.Unix(1000, 0)
	request := func(account string, target time.Duration) *balancer.Waiter {
		return &balancer.Waiter{Request: balancer.Request{Model: "m0", Account: account, PromptTokens: 900, OutputTokens: 100, TargetTime: now.Add(target), Deadline: now.Add(time.Minute)}}
	}
	// serve serves up to n requests, one at a time, and returns their accounts.
	serve := func(wq *balancer.WaitQueue, n int) (accounts []string) {
		for range n {
			done := false
			wq.Serve(now, func(w *balancer.Waiter) bool {
				if done {
					return false
				}
				accounts, done = append(accounts, w.Account), true
				return true
			})
		}
		return accounts
	}
	count := func(accounts []string, account string) (n int) {
		for _, a := range accounts {
			if a == account {
				n++
			}
		}
		return n
	}

	// The load: one account sends sixty requests at once, two others five each a moment later.
	// Guards against the others' requests waiting for all sixty.
	It("serves accounts in turn, however many requests one of them sends", func() {
		wq := balancer.NewWaitQueue()
		for i := range 60 {
			wq.Observe(request("flood", 0).Request)
			wq.Add(request("flood", time.Second+time.Duration(i)))
		}
		for range 5 {
			wq.Add(request("a", 2*time.Second))
			wq.Add(request("b", 2*time.Second))
		}
		Expect(wq.Predict(now, request("c", 2*time.Second).Request)).To(BeNumerically("<=", 4*time.Second), "sixteen of four a second")
		Expect(wq.Predict(now, request("flood", 2*time.Second).Request)).To(Equal(70 * time.Second / 4))
		served := serve(wq, 24)
		Expect([]int{count(served, "a"), count(served, "b")}).To(Equal([]int{5, 5}))
		Expect(serve(wq, 46)).To(HaveEach("flood"))
	})

	It("goes by the target time among requests of one account, or of none", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			wq := balancer.NewWaitQueue()
			account := rapid.SampledFrom([]string{"", "a"}).Draw(t, "account")
			var all []balancer.Request
			for range rapid.IntRange(1, 40).Draw(t, "requests") {
				w := request(account, time.Duration(rapid.IntRange(-9, 9).Draw(t, "target"))*time.Second)
				w.Priority, w.PromptTokens = rapid.IntRange(0, 2).Draw(t, "priority"), rapid.IntRange(0, 9000).Draw(t, "tokens")
				wq.Observe(w.Request)
				wq.Add(w)
				all = append(all, w.Request)
			}
			late := func(q balancer.Request) int {
				if now.After(q.TargetTime) {
					return 1
				}
				return 0
			}
			slices.SortStableFunc(all, func(a, b balancer.Request) int {
				return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(late(a), late(b)), a.TargetTime.Compare(b.TargetTime))
			})
			var served []balancer.Request
			wq.Serve(now, func(w *balancer.Waiter) bool { served = append(served, w.Request); return true })
			if fmt.Sprint(served) != fmt.Sprint(all) {
				t.Fatalf("served %v, want %v", served, all)
			}
		})
	})

	// Guards against waits that are predicted by another order than requests are served in.
	It("is the order by which waits are predicted", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			wq := balancer.NewWaitQueue()
			draw := func(i int) *balancer.Waiter {
				w := request(rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "account"), time.Duration(rapid.IntRange(-2, 9).Draw(t, "target"))*time.Second)
				w.Priority, w.PromptTokens, w.SessionHash = rapid.IntRange(0, 1).Draw(t, "priority"), rapid.IntRange(1, 9000).Draw(t, "tokens"), uint64(i)
				wq.Observe(w.Request)
				return w
			}
			n := rapid.IntRange(0, 30).Draw(t, "requests")
			for i := range n {
				wq.Add(draw(i))
			}
			last := draw(n)
			want := int(wq.Predict(now, last.Request) * 4 / time.Second)
			wq.Add(last)
			position := 0
			wq.Serve(now, func(w *balancer.Waiter) bool {
				if w == last {
					if position != want {
						t.Fatalf("served as number %d, predicted %d", position, want)
					}
				}
				position++
				return true
			})
		})
	})
})

var _ = Describe("A large request", func() {
	// The load: small requests arrive as fast as others end, and fill the server's cache but for
	// less than a large one needs. Guards against a large request that waits until its client leaves.
	It("gets a server although small ones go on arriving", func() {
		clock := clockwork.NewFakeClock()
		fleet := balancer.NewFleet("z1", 1, clock)
		fleet.Update([]registrar.Server{server("a", "z1", "m0")})
		fleet.SetCacheTokens("llm", 10000)
		request := func(tokens int) balancer.Request {
			now := clock.Now()
			return balancer.Request{Model: "m0", PromptTokens: tokens, SharedTokens: 2 * tokens, MaxWait: 600 * time.Millisecond, TargetTime: now.Add(time.Second), Deadline: now.Add(3 * time.Second)}
		}
		ctx, end := context.WithCancel(context.Background())
		defer end()
		var running []*balancer.Assignment
		for range 30 {
			a, status := fleet.Await(ctx, nil, "llm", request(1000))
			Expect(status).To(Equal(balancer.Found))
			a.Done(false)
		}
		for range 8 {
			a, status := fleet.Take("llm", request(1000))
			Expect(status).To(Equal(balancer.Found))
			a.RecordFirstEvent()
			running = append(running, a)
		}
		granted := make(chan int, 2)
		await := func(tokens int) {
			if _, status := fleet.Await(ctx, nil, "llm", request(tokens)); status == balancer.Found {
				granted <- tokens
			}
		}
		go await(4000)
		Eventually(fleet.QueueLen).Should(Equal(1))
		clock.Advance(300 * time.Millisecond)
		go await(1000)
		Eventually(fleet.QueueLen).Should(Equal(2), "there is room for the small one only")
		for range 4 {
			running[0].Done(false)
			running = running[1:]
		}
		Eventually(granted).Should(Receive(Equal(4000)))
	})
})
