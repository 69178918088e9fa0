package faker_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/faker"
	"primrosehook/judge"
	"primrosehook/recorder"
)

// count returns how many records a stream keeps.
func count(l recorder.Log, stream string) int {
	b, err := l.Read(context.Background(), stream, 0, 1000, 0)
	Expect(err).NotTo(HaveOccurred())
	return len(b.Records)
}

func putFaults(url, body string) int {
	q, _ := http.NewRequest(http.MethodPut, url, strings.NewReader(body))
	p, err := http.DefaultClient.Do(q)
	Expect(err).NotTo(HaveOccurred())
	p.Body.Close()
	return p.StatusCode
}

// Faults must have the same effects in the process and over HTTP.
var _ = Describe("Log", func() {
	for _, form := range []string{"in the process", "over HTTP"} {
		Describe(form, func() {
			var clock *clockwork.FakeClock
			var fake *faker.Log
			var log recorder.Log
			var url string

			start := func(settings faker.LogSettings) {
				clock = clockwork.NewFakeClock()
				fake = faker.NewLog(settings, faker.WithClock(clock))
				s := httptest.NewServer(fake.Handler())
				DeferCleanup(s.Close)
				url = s.URL
				log = fake
				if form == "over HTTP" {
					log = recorder.NewClient(url, s.Client())
				}
			}
			add := func(stream string) error {
				_, err := log.Append(context.Background(), stream, []byte("x"))
				return err
			}

			It("keeps records for a limited time and count", func(ctx context.Context) {
				start(faker.LogSettings{Records: 3, Age: time.Minute})
				for range 5 {
					Expect(add("a")).To(Succeed())
				}
				b, err := log.Read(ctx, "a", 0, 10, 0)
				Expect(err).NotTo(HaveOccurred())
				Expect(b.First).To(BeEquivalentTo(2))
				Expect(b.Next).To(BeEquivalentTo(5))
				Expect(b.Records).To(HaveLen(3))
				clock.Advance(2 * time.Minute)
				b, err = log.Read(ctx, "a", 0, 10, 0)
				Expect(err).NotTo(HaveOccurred())
				Expect(b.First).To(BeEquivalentTo(5))
				Expect(b.Records).To(BeEmpty())
				offset, err := log.Append(ctx, "a", []byte("y"))
				Expect(err).NotTo(HaveOccurred())
				Expect(offset).To(BeEquivalentTo(5))
			})

			It("refuses appends over its rate limit with the verdict not-run", func() {
				start(faker.LogSettings{Rate: 20})
				Expect(add("a")).To(Succeed())
				Expect(add("b")).To(Succeed())
				Expect(judge.Of(add("a"))).To(Equal(judge.NotRun))
				Expect(count(log, "a") + count(log, "b")).To(Equal(2))
				Expect(fake.Stats().Refused).To(BeEquivalentTo(1))
				clock.Advance(time.Second)
				Expect(add("a")).To(Succeed())
			})

			It("refuses appends in an outage with the verdict not-run", func() {
				start(faker.LogSettings{})
				fake.SetFaults(faker.LogFaults{Faults: faker.Faults{Outage: faker.OutageRefuse}})
				Expect(judge.Of(add("a"))).To(Equal(judge.NotRun))
				fake.SetFaults(faker.LogFaults{})
				Expect(count(log, "a")).To(Equal(0))
			})

			It("leaves the outcome of a dropped append unknown", func() {
				start(faker.LogSettings{})
				fake.SetFaults(faker.LogFaults{Faults: faker.Faults{Outage: faker.OutageDrop}})
				Expect(judge.Of(add("a"))).To(Equal(judge.MayHaveRun))
				fake.SetFaults(faker.LogFaults{})
				Expect(count(log, "a")).To(Equal(0))
			})

			It("hangs until the outage ends", func() {
				start(faker.LogSettings{})
				fake.SetFaults(faker.LogFaults{Faults: faker.Faults{Outage: faker.OutageHang}})
				limit, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
				defer cancel()
				_, err := log.Append(limit, "a", []byte("x"))
				Expect(judge.Of(err)).To(Equal(judge.MayHaveRun))
				fake.SetFaults(faker.LogFaults{})
				Expect(add("a")).To(Succeed())
			})

			It("loses as many replies as configured, after the effect", func() {
				start(faker.LogSettings{})
				fake.SetFaults(faker.LogFaults{Faults: faker.Faults{LoseReplies: 1}})
				Expect(judge.Of(add("a"))).To(Equal(judge.MayHaveRun))
				Expect(count(log, "a")).To(Equal(1))
				Expect(add("a")).To(Succeed())
				Expect(count(log, "a")).To(Equal(2))
			})

			It("applies the faults of a stream only to that stream", func() {
				start(faker.LogSettings{})
				fake.SetFaults(faker.LogFaults{Streams: map[string]faker.Faults{
					"a": {LoseReplies: faker.All}, "b": {Outage: faker.OutageRefuse},
				}})
				Expect(judge.Of(add("a"))).To(Equal(judge.MayHaveRun))
				Expect(judge.Of(add("a"))).To(Equal(judge.MayHaveRun))
				Expect(judge.Of(add("b"))).To(Equal(judge.NotRun))
				Expect(add("c")).To(Succeed())
			})

			It("fails a waiting read when an outage begins", func(ctx context.Context) {
				start(faker.LogSettings{})
				failed := make(chan error, 1)
				r := &blockedRead{log: log, failed: failed}
				go r.run(ctx)
				Eventually(func() int64 { return fake.Stats().Reads }, "10s").Should(BeEquivalentTo(1))
				fake.SetFaults(faker.LogFaults{Faults: faker.Faults{Outage: faker.OutageDrop}})
				Eventually(failed, "10s").Should(Receive(HaveOccurred()))
			}, NodeTimeout(30*time.Second))

			It("drops records that a test trims", func(ctx context.Context) {
				start(faker.LogSettings{})
				for range 4 {
					Expect(add("a")).To(Succeed())
				}
				fake.Trim("a", 3)
				b, err := log.Read(ctx, "a", 0, 10, 0)
				Expect(err).NotTo(HaveOccurred())
				Expect(b.First).To(BeEquivalentTo(3))
				Expect(b.Records).To(HaveLen(1))
			})
		})
	}

	It("accepts faults over HTTP and refuses unknown ones", func() {
		fake := faker.NewLog(faker.LogSettings{})
		s := httptest.NewServer(fake.Handler())
		DeferCleanup(s.Close)
		Expect(putFaults(s.URL+"/faults/log", `{"outage":"refuse"}`)).To(Equal(http.StatusNoContent))
		Expect(fake.Faults().Outage).To(Equal(faker.OutageRefuse))
		Expect(putFaults(s.URL+"/faults/log", `{"otage":"refuse"}`)).To(Equal(http.StatusBadRequest))
	})
})

// blockedRead is one read that waits for records.
type blockedRead struct {
	log    recorder.Log
	failed chan error
}

func (r *blockedRead) run(ctx context.Context) {
	_, err := r.log.Read(ctx, "a", 0, 10, time.Hour)
	r.failed <- err
}
