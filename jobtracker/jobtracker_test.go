package jobtracker_test

import (
	"fmt"
	"math/rand"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"primrosehook/jobtracker"
	"primrosehook/judge"
	"primrosehook/replayer"
)

func applyEntry(m *jobtracker.Machine, kind string, body any) jobtracker.Answer {
	data, err := msgpack.Marshal(body)
	Expect(err).NotTo(HaveOccurred())
	return m.Apply(0, replayer.Entry{Kind: kind, Body: data})
}

func newAccept(id string, size int, at int64) jobtracker.Accept {
	return jobtracker.Accept{ID: id, Digest: 1, Request: make([]byte, size), Time: at, Deadline: at + 1000}
}

const hour = int64(time.Hour / time.Millisecond)

// smallLimits allow four open jobs without requests.
var smallLimits = jobtracker.Limits{Jobs: 100, Bytes: 4 * (jobtracker.MaxResult + 600), Retention: 10 * time.Hour}

var _ = Describe("Machine", func() {
	It("accepts a job once, and refuses to reuse its ID for another request", func() {
		m := jobtracker.NewMachine(jobtracker.DefaultLimits())
		Expect(applyEntry(m, jobtracker.KindAccept, newAccept("a", 10, 0))).To(Equal(jobtracker.Accepted))
		Expect(applyEntry(m, jobtracker.KindAccept, newAccept("a", 10, 0))).To(Equal(jobtracker.Known))
		other := newAccept("a", 10, 0)
		other.Digest = 2
		Expect(applyEntry(m, jobtracker.KindAccept, other)).To(Equal(jobtracker.Mismatch))
	})

	It("keeps the first result and ignores later ones", func() {
		m := jobtracker.NewMachine(jobtracker.DefaultLimits())
		applyEntry(m, jobtracker.KindAccept, newAccept("a", 10, 0))
		Expect(applyEntry(m, jobtracker.KindDone, jobtracker.Done{ID: "a", Result: []byte("one")})).To(Equal(jobtracker.Accepted))
		Expect(applyEntry(m, jobtracker.KindDone, jobtracker.Done{ID: "a", Failed: true})).To(Equal(jobtracker.Ignored))
		j, _ := m.Lookup("a")
		Expect(string(j.Done.Result)).To(Equal("one"))
		Expect(j.Request).To(BeNil())
	})

	It("refuses a job without room, and drops fetched results first, then old ones, and never others", func() {
		m := jobtracker.NewMachine(smallLimits)
		for i := range 4 {
			Expect(applyEntry(m, jobtracker.KindAccept, newAccept(fmt.Sprint("j", i), 0, 0))).To(Equal(jobtracker.Accepted))
		}
		Expect(applyEntry(m, jobtracker.KindAccept, newAccept("full", 0, 0))).To(Equal(jobtracker.Full))
		for i := range 4 {
			result := make([]byte, jobtracker.MaxResult)
			applyEntry(m, jobtracker.KindDone, jobtracker.Done{ID: fmt.Sprint("j", i), Result: result, Time: hour})
		}
		Expect(applyEntry(m, jobtracker.KindAccept, newAccept("full", 0, 2*hour))).To(Equal(jobtracker.Full))
		applyEntry(m, jobtracker.KindFetched, jobtracker.Fetched{IDs: []string{"j2", "none"}})
		Expect(applyEntry(m, jobtracker.KindAccept, newAccept("k0", 0, 2*hour))).To(Equal(jobtracker.Accepted))
		_, ok := m.Lookup("j2")
		Expect(ok).To(BeFalse())
		Expect(applyEntry(m, jobtracker.KindAccept, newAccept("k1", 0, 2*hour))).To(Equal(jobtracker.Full))
		Expect(applyEntry(m, jobtracker.KindAccept, newAccept("k1", 0, 12*hour))).To(Equal(jobtracker.Accepted))
		_, ok = m.Lookup("k0")
		Expect(ok).To(BeTrue(), "a job that is not done is never dropped")
	})

	It("never loses an open job, keeps within its limits and equals its restored snapshot", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			m := jobtracker.NewMachine(smallLimits)
			open := map[string]bool{}
			for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
				id := fmt.Sprint("j", rapid.IntRange(0, 9).Draw(t, "id"))
				switch rapid.IntRange(0, 3).Draw(t, "kind") {
				case 0, 1:
					size := rapid.IntRange(0, jobtracker.MaxResult).Draw(t, "size")
					if applyEntry(m, jobtracker.KindAccept, newAccept(id, size, int64(i)*hour)) == jobtracker.Accepted {
						open[id] = true
					}
				case 2:
					size := rapid.IntRange(0, jobtracker.MaxResult+1).Draw(t, "size")
					if applyEntry(m, jobtracker.KindDone, jobtracker.Done{ID: id, Result: make([]byte, size), Time: int64(i) * hour}) == jobtracker.Accepted {
						delete(open, id)
					}
				case 3:
					applyEntry(m, jobtracker.KindFetched, jobtracker.Fetched{IDs: []string{id}})
				}
				for id := range open {
					if j, ok := m.Lookup(id); !ok || j.Done != nil {
						t.Fatalf("job %s was lost", id)
					}
				}
				if _, bytes := m.Len(); bytes > smallLimits.Bytes || len(m.Open()) != len(open) {
					t.Fatalf("%d bytes, %d open of %d", bytes, len(m.Open()), len(open))
				}
			}
			state, _ := m.Snapshot()
			again := jobtracker.NewMachine(smallLimits)
			if err := again.Restore(state); err != nil {
				t.Fatal(err)
			}
			other, _ := again.Snapshot()
			if string(other) != string(state) {
				t.Fatal("restored state differs")
			}
			_, a := m.Len()
			if _, b := again.Len(); a != b {
				t.Fatalf("restored size %d differs from %d", b, a)
			}
		})
	})
})

var _ = Describe("Next", func() {
	now := time.Unix(1000, 0)
	It("returns jobs by the earliest deadline, without those that run or back off", func() {
		var open []jobtracker.Job
		for i := range 6 {
			open = append(open, jobtracker.Job{Accept: jobtracker.Accept{ID: fmt.Sprint("j", i), Deadline: int64(100 - i)}})
		}
		open = append(open, jobtracker.Job{Accept: jobtracker.Accept{ID: "none"}})
		rand.New(rand.NewSource(1)).Shuffle(len(open), func(i, j int) { open[i], open[j] = open[j], open[i] })
		attempts := map[string]jobtracker.Attempts{"j5": {Running: true}, "j4": {After: now.Add(time.Second)}}
		var ids []string
		for _, j := range jobtracker.Next(open, attempts, now, 3) {
			ids = append(ids, j.ID)
		}
		Expect(ids).To(Equal([]string{"j3", "j2", "j1"}))
		Expect(jobtracker.Next(open, attempts, now, 100)).To(HaveLen(5))
		Expect(jobtracker.Next(open, attempts, now, -1)).To(BeEmpty())
	})

	It("backs off after each failure, for at most a minute", func() {
		t := jobtracker.Attempts{}
		for range 12 {
			t = t.Fail("id", judge.Unavailable("x", "busy", time.Second), now)
			Expect(t.After).To(BeTemporally(">", now))
			Expect(t.After).To(BeTemporally("<=", now.Add(time.Minute)))
		}
	})

	It("retries until the grace time after the deadline, and ends a job at once that can't succeed", func() {
		j := jobtracker.Job{Accept: jobtracker.Accept{ID: "a", Deadline: now.UnixMilli()}}
		busy := judge.Unavailable("x", "busy", time.Second)
		_, final := jobtracker.DoneEntry(j, nil, busy, now.Add(time.Minute), time.Hour)
		Expect(final).To(BeFalse())
		d, final := jobtracker.DoneEntry(j, nil, busy, now.Add(2*time.Hour), time.Hour)
		Expect(final).To(BeTrue())
		Expect(d.Reason).To(ContainSubstring("not done within its bound: busy"))
		d, final = jobtracker.DoneEntry(j, nil, judge.Invalid("x", "no such model"), now, time.Hour)
		Expect(final && d.Failed).To(BeTrue())
	})
})
