package allotter_test

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"primrosehook/allotter"
	"primrosehook/clocker"
	"primrosehook/matcher"
)

// heldPeer is an arbiter whose answers are held until release is closed, or that does not answer.
type heldPeer struct {
	mu       sync.Mutex
	requests []allotter.AllotRequest
	release  chan struct{}
	silent   bool
}

func (p *heldPeer) Call(ctx context.Context, _, _ string, request, reply any) error {
	q := request.(allotter.AllotRequest)
	p.mu.Lock()
	p.requests = append(p.requests, q)
	p.mu.Unlock()
	if p.silent {
		return errors.New("no answer")
	}
	select {
	case <-p.release:
	case <-ctx.Done():
		return ctx.Err()
	}
	for _, x := range q.Items {
		reply.(*allotter.AllotReply).Grants = append(reply.(*allotter.AllotReply).Grants, allotter.Grant{Amount: x.Need + x.Ahead})
	}
	return nil
}

// calls returns the requests that arrived so far.
func (p *heldPeer) calls() []allotter.AllotRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]allotter.AllotRequest(nil), p.requests...)
}

// reenteringMeter asks the allotter for its status while it counts, as a meter may that computes
// its values.
type reenteringMeter struct{ allotter *allotter.Allotter }

func (m *reenteringMeter) Add(string, int64) { m.allotter.Status() }

// newDelegating returns the allotter of an instance whose arbiter is a peer.
func newDelegating(p allotter.Peers, options ...allotter.Option) *allotter.Allotter {
	a := allotter.New("a.1", "self", p, clockwork.NewRealClock(), clocker.SystemClock{}, zap.NewNop(), options...)
	sent := a.Now()
	a.State("peer", 10*time.Second)
	a.Replied(sent, "peer", &allotter.Entitlement{Fraction: 0.5, Left: term}, true, 2)
	return a
}

var _ = Describe("An instance with an arbiter", func() {
	account := &matcher.Account{Name: "x", RatePerSecond: 1e6, Burst: 1e6}

	// The load: 40 requests of one account that arrive while a call is under way. Guards against
	// credit that each of them asks for ahead: one instance took what others within the cap
	// needed, and gave it back half a second later.
	It("asks for credit ahead once for all requests that wait together", func() {
		p := &heldPeer{release: make(chan struct{})}
		close(p.release)
		a := newDelegating(p)
		for range 20 {
			_, _, ok := a.Acquire(context.Background(), account, 1, 1000)
			Expect(ok).To(BeTrue())
		}
		before := len(p.calls())
		p.release = make(chan struct{})
		var work sync.WaitGroup
		for range 40 {
			work.Go(func() { a.Acquire(context.Background(), account, 1, 1000) })
		}
		time.Sleep(30 * time.Millisecond)
		close(p.release)
		work.Wait()
		for _, q := range p.calls()[before:] {
			asking := 0
			for _, x := range q.Items {
				if x.Ahead > 0 {
					asking++
				}
			}
			Expect(asking).To(BeNumerically("<=", 1))
		}
	})

	// Guards against a deadlock of the allotter and of what counts its events.
	It("holds no lock while it counts a call without an answer", func(ctx context.Context) {
		m := &reenteringMeter{}
		a := newDelegating(&heldPeer{silent: true}, allotter.WithMeter(m))
		m.allotter = a
		done := make(chan struct{})
		go func() {
			defer close(done)
			a.Acquire(ctx, account, 1, 1000)
		}()
		Eventually(done, "5s").Should(BeClosed())
	}, NodeTimeout(10*time.Second))

	// Guards against unused credit that counts as granted later than it was: its bucket may have been
	// full in between, and would have lost it.
	It("gives credit ahead back with the time of its grant", func(ctx context.Context) {
		boot := &steppedBoot{now: time.Unix(1000, 0)}
		p := &heldPeer{release: make(chan struct{})}
		close(p.release)
		a := allotter.New("a.1", "self", p, clockwork.NewRealClock(), boot, zap.NewNop())
		sent := a.Now()
		a.State("peer", 10*time.Second)
		a.Replied(sent, "peer", &allotter.Entitlement{Fraction: 0.5, Left: term}, true, 2)
		for range 20 {
			_, _, ok := a.Acquire(ctx, account, 1, 1000)
			Expect(ok).To(BeTrue())
		}
		before := len(p.calls())
		boot.now = boot.now.Add(300 * time.Millisecond)
		c, _, ok := a.Acquire(ctx, account, 1, 1000)
		Expect(ok).To(BeTrue())
		Expect(p.calls()).To(HaveLen(before), "the credit was asked for ahead")
		c.Refund()
		boot.now = boot.now.Add(2 * time.Second)
		_, _, ok = a.Acquire(ctx, account, 1, 1000)
		Expect(ok).To(BeTrue())
		late := p.calls()[before].Late
		Expect(late).To(ContainElement(HaveField("Amount", 1000.0)))
		Expect(late).To(HaveEach(HaveField("Age", 2300*time.Millisecond)))
	}, NodeTimeout(10*time.Second))

	// The load: a call that the arbiter holds while credit is given back. Guards against an age that does
	// not count the wait for the next call, and so against credit of an earlier time that counts as fresh.
	It("tells the age of unused credit at the call that gives it back", func(ctx context.Context) {
		p := &heldPeer{release: make(chan struct{})}
		close(p.release)
		a := newDelegating(p)
		c, _, ok := a.Acquire(ctx, account, 1, 1000)
		Expect(ok).To(BeTrue())
		p.release = make(chan struct{})
		time.Sleep(50 * time.Millisecond)
		var work sync.WaitGroup
		work.Go(func() { a.Acquire(ctx, account, 1, 1) })
		Eventually(p.calls, "1s", "1ms").Should(HaveLen(2))
		c.Refund()
		work.Go(func() { a.Acquire(ctx, account, 1, 2) })
		time.Sleep(70 * time.Millisecond)
		close(p.release)
		work.Wait()
		for _, q := range p.calls() {
			Expect(q.Items).To(HaveEach(HaveField("Back", 0.0)))
		}
		Expect(p.calls()[2].Late).To(ConsistOf(And(HaveField("Amount", 1000.0), HaveField("Age", BeNumerically(">=", 120*time.Millisecond)))))
	}, NodeTimeout(10*time.Second))

	// The load: a former arbiter that has frozen. Guards against reports that wait for it again and again.
	It("asks a former arbiter without an answer only once to give the entitlement back", func(ctx context.Context) {
		p := &heldPeer{silent: true}
		a := newDelegating(p)
		a.Replied(a.Now(), "other", &allotter.Entitlement{Fraction: 0.5, Left: term}, true, 2)
		for range 3 {
			a.Release(ctx, "other")
		}
		Expect(p.calls()).To(HaveLen(1))
	})

	It("shows operators its fraction, its arbiter and the age of the last answer", func() {
		fresh := allotter.New("a.1", "self", &heldPeer{}, clockwork.NewRealClock(), clocker.SystemClock{}, zap.NewNop())
		Expect(fresh.Status().Age).To(BeNumerically("<", 0), "nobody has answered")
		fresh.State("peer", 10*time.Second)
		Expect(fresh.Status()).To(HaveField("Arbiter", ""), "the first report is under way")
		s := newDelegating(&heldPeer{}).Status()
		Expect(s).To(And(HaveField("Fraction", 0.5), HaveField("Arbiter", "peer"), HaveField("Members", 0)))
		Expect(s.Age).To(And(BeNumerically(">=", 0), BeNumerically("<", 5*time.Second)))
	})

	// Guards against a sum above one when an instance comes back from a deputy to the lease
	// holder, and that lowers its fraction while the deputy may still use the larger one.
	It("reports the larger fraction that another instance may still use", func() {
		now := time.Unix(1000, 0)
		h := allotter.Holding{}
		h.Assigned(now, allotter.Entitlement{Fraction: 0.5, Left: term})
		h.Delegate(now, "deputy", time.Second)
		h.Assigned(now, allotter.Entitlement{Fraction: 0.1, Left: term})
		Expect(h.Reported(now, "holder").Fraction).To(Equal(0.5))
		Expect(h.Held(now).Fraction).To(Equal(0.1))
		Expect(h.Reported(now.Add(1250*time.Millisecond), "holder").Fraction).To(Equal(0.1))
	})
})

var _ = Describe("Credit of a request that waits", func() {
	// The load: requests of one account that wait for seconds and are then sent together. Guards
	// against a cap that is exceeded since what they had taken is credit of now when it is given back,
	// though the bucket has been full since.
	It("is taken anew, and counts as never taken before", func(ctx context.Context) {
		boot := &steppedBoot{now: time.Unix(1000, 0)}
		a := allotter.New("a.1", "self", &heldPeer{}, clockwork.NewRealClock(), boot, zap.NewNop())
		a.BeginTerm(false, allotter.Entitled{})
		sent := a.Now()
		e := a.Reported("a.1", "self", a.State("self", time.Hour), true, 1)
		a.Replied(sent, "self", &e, true, 1)
		a.Reported("a.1", "self", a.State("self", time.Hour), true, 1)
		boot.now = boot.now.Add(2 * time.Second)
		// The capacity of the bucket is the rate of a second.
		account := &matcher.Account{Name: "x", RatePerSecond: 1000, Burst: 25334}
		var taken []*allotter.Credit
		for range 10 {
			c, _, ok := a.Acquire(ctx, account, 1, 100)
			Expect(ok).To(BeTrue())
			taken = append(taken, c)
		}
		boot.now = boot.now.Add(1500 * time.Millisecond)
		renewed := 0
		for _, c := range taken {
			if _, ok := c.Renew(ctx); ok {
				renewed++
			}
		}
		Expect(renewed).To(Equal(10), "by the credit of the second and a half")
		for range 10 {
			taken[0].Refund()
		}
		boot.now = boot.now.Add(10 * time.Millisecond)
		late, _, ok := a.Acquire(ctx, account, 1, 1000)
		Expect(ok).To(BeTrue(), "refunded within a second")
		boot.now = boot.now.Add(1100 * time.Millisecond)
		late.Refund()
		_, _, ok = a.Acquire(ctx, account, 1, 1000)
		Expect(ok).To(BeTrue(), "the rate of that time alone")
		_, _, ok = a.Acquire(ctx, account, 1, 500)
		Expect(ok).To(BeFalse(), "the bucket has been full since the late refund was taken")
	}, NodeTimeout(20*time.Second))
})

// steppedBoot is a clock that moves when told so.
type steppedBoot struct{ now time.Time }

func (b *steppedBoot) Now() time.Time { return b.now }

var _ = Describe("Shares of a holder that had the lease before", func() {
	// Guards against a cap that is exceeded by instances that are cut off: nobody else held the
	// lease between the two terms, and what this instance had assigned was taken for free.
	It("count what it assigned in its former term", func() {
		now := time.Unix(1000, 0)
		s := allotter.NewShares(term)
		s.Begin(now, false, allotter.Entitled{})
		s.Assign(now, "cut off", allotter.Entitlement{}, 2)
		s.Begin(now.Add(3*time.Second), false, allotter.Entitled{})
		Expect(s.Assign(now.Add(3*time.Second), "other", allotter.Entitlement{}, 1).Fraction).To(BeZero())
		Expect(s.Assign(now.Add(11*time.Second), "other", allotter.Entitlement{}, 1).Fraction).To(Equal(1.0))
	})
})

var _ = Describe("A bucket", func() {
	now := time.Unix(1000, 0)
	item := allotter.Item{Account: "x", Version: 1, Rate: 1000, Burst: 1000, Need: 900}

	// The load: an arbiter with a few instances, to which those of another one come one by one.
	// Guards against credit for the time in which the other one granted from their fractions.
	It("that is new gets no credit for the time before fractions came, however slowly they do", func() {
		r := allotter.NewArbiter(counted)
		r.Delegate(now, "0", allotter.Entitlement{Fraction: 0.25, Left: time.Hour})
		at := now.Add(10 * time.Second)
		for i := range 75 {
			at = at.Add(time.Millisecond)
			r.Delegate(at, string(rune('A'+i)), allotter.Entitlement{Fraction: 0.01, Left: time.Hour})
		}
		g, ok := r.Grant(at, "0", []allotter.Item{item})
		Expect(ok).To(BeTrue())
		Expect(g[0].Amount).To(BeZero())
	})

	// Guards against an account whose requests are all refused since its burst is missing.
	It("lets the rate through if the burst of the cap is missing", func() {
		r := allotter.NewArbiter(counted)
		r.Delegate(now, "0", allotter.Entitlement{Fraction: 1, Left: time.Hour})
		x := item
		x.Burst, x.Need = 0, 10
		granted := 0.0
		for i := range 1000 {
			g, _ := r.Grant(now.Add(time.Duration(i)*10*time.Millisecond), "0", []allotter.Item{x})
			granted += g[0].Amount
		}
		Expect(granted).To(BeNumerically("~", 10000, 200))
	})

	// Guards against clients that are told to come back later than needed after the start of all
	// instances.
	It("from which nothing can be granted yet refuses until fractions are assigned at the latest", func() {
		r := allotter.NewArbiter(counted)
		r.Delegate(now, "0", allotter.Entitlement{Fraction: 0, Left: time.Hour})
		g, _ := r.Grant(now, "0", []allotter.Item{item})
		Expect(g[0]).To(Equal(allotter.Grant{Wait: term, Cause: allotter.CauseNoEntitlement}))
	})
})
