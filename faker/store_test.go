package faker_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/driver"
	"primrosehook/faker"
	"primrosehook/judge"
	"primrosehook/storereader"
)

// pendingFetch is one load in progress.
type pendingFetch struct {
	source faker.Source
	done   chan error
}

func (f *pendingFetch) run(memory int64) {
	f.done <- f.source.Load(context.Background(), faker.LoadRequest{Weights: driver.Weights{Model: "m"}, Memory: memory})
}

var _ = Describe("Store", func() {
	var clock *clockwork.FakeClock
	var store *faker.Store

	start := func(settings faker.StoreSettings) {
		clock = clockwork.NewFakeClock()
		store = faker.NewStore(settings, faker.WithClock(clock))
	}
	fetch := func(memory int64) *pendingFetch {
		f := &pendingFetch{source: store, done: make(chan error, 1)}
		go f.run(memory)
		return f
	}
	state := func() storereader.State {
		s, err := store.State(context.Background())
		Expect(err).NotTo(HaveOccurred())
		return s
	}
	// seconds advances the clock until n loads have succeeded, and returns how
	// far.
	seconds := func(n int64) float64 {
		begin := clock.Now()
		for range 10_000 {
			if store.Completed() >= n {
				return clock.Since(begin).Seconds()
			}
			clock.Advance(10 * time.Millisecond)
			time.Sleep(100 * time.Microsecond)
		}
		Fail("loads do not finish")
		return 0
	}

	It("runs each load at full speed up to the number of slots", func() {
		start(faker.StoreSettings{Slots: 2, Speed: 1000})
		fetch(1000)
		fetch(1000)
		Eventually(func() int { return state().Loading }, "10s").Should(Equal(2))
		Expect(seconds(2)).To(BeNumerically(">=", 1))
	})

	It("shares the speed among more loads than slots", func() {
		start(faker.StoreSettings{Slots: 2, Speed: 1000})
		for range 4 {
			fetch(1000)
		}
		Eventually(func() int { return state().Loading }, "10s").Should(Equal(4))
		Expect(seconds(4)).To(BeNumerically(">=", 2))
	})

	It("limits how many loads start per second", func() {
		start(faker.StoreSettings{Rate: 2})
		for range 5 {
			fetch(1)
		}
		Eventually(func() int { return state().Waiting }, "10s").Should(Equal(4))
		Expect(seconds(5)).To(BeNumerically(">=", 2))
	})

	It("fails loads in progress when an outage begins", func() {
		start(faker.StoreSettings{Speed: 1})
		f := fetch(1000)
		Eventually(func() int { return state().Loading }, "10s").Should(Equal(1))
		store.SetFaults(faker.StoreFaults{Faults: faker.Faults{Outage: faker.OutageRefuse}})
		Eventually(func() int { clock.Advance(time.Second); return len(f.done) }, "10s").Should(Equal(1))
		Expect(judge.Of(<-f.done)).To(Equal(judge.NotRun))
	})

	It("reports its state over HTTP, and slows down by the configured factor", func(ctx context.Context) {
		start(faker.StoreSettings{Rate: 3, Slots: 3, Speed: 1000})
		s := httptest.NewServer(store.Handler())
		DeferCleanup(s.Close)
		got, err := storereader.NewClient(s.URL, http.DefaultClient).State(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(storereader.State{Rate: 3, Slots: 3, Speed: 1000}))
		Expect(putFaults(s.URL+"/faults/store", `{"factor":4}`)).To(Equal(http.StatusNoContent))
		f := &pendingFetch{source: faker.NewStoreClient(s.URL, http.DefaultClient), done: make(chan error, 1)}
		go f.run(500)
		Eventually(func() int { return state().Loading }, "10s").Should(Equal(1))
		Expect(seconds(1)).To(BeNumerically(">=", 2))
		Eventually(f.done, "10s").Should(Receive(BeNil()))
	})
})
