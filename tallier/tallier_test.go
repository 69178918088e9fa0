package tallier_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/tallier"
)

func TestTallier(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Tallier")
}

var _ = Describe("Tally", func() {
	start := time.Date(2026, 12, 7, 8, 0, 0, 0, time.UTC)

	// Guards against models and adapters that are never served and that no log line names.
	It("names what is requested and not served, since when, and why", func() {
		t := tallier.New()
		Expect(t.Add(start, "m/a1", tallier.Counts{Asked: 1, Absent: 1})).To(BeFalse())
		t.SetAbsent(start.Add(time.Second), map[string]string{"m/a1": "no slot"})
		t.Add(start.Add(time.Second), "m/a1", tallier.Counts{Asked: 2, Absent: 1, Full: 1})
		Expect(t.Due(start.Add(time.Second))).To(BeEmpty())
		now := start.Add(2 * time.Second)
		Expect(t.Due(now)).To(ConsistOf(tallier.Unserved{
			Key: "m/a1", Counts: tallier.Counts{Asked: 3, Absent: 2, Full: 1}, Since: start, AbsentSince: start.Add(time.Second), Reason: "no slot",
		}))
		Expect(t.Due(now.Add(time.Second))).To(BeEmpty(), "reported a second ago")
		Expect(t.Count(now)).To(Equal(1))
		t.SetAbsent(now, nil)
		Expect(t.Due(now.Add(5 * time.Second))).To(ConsistOf(And(HaveField("AbsentSince", BeZero()), HaveField("Reason", ""))))
	})

	It("resets its counts once a key is served, and reports the first time", func() {
		t := tallier.New()
		t.Add(start, "m", tallier.Counts{Asked: 5, Full: 5})
		Expect(t.Add(start.Add(3*time.Second), "m", tallier.Counts{Asked: 1, Served: 1})).To(BeTrue())
		Expect(t.Count(start.Add(9 * time.Second))).To(BeZero())
		Expect(t.Add(start.Add(4*time.Second), "m", tallier.Counts{Served: 1})).To(BeFalse())
		t.Add(start.Add(5*time.Second), "m", tallier.Counts{Asked: 2, Full: 2})
		Expect(t.Due(start.Add(8 * time.Second))).To(ConsistOf(And(HaveField("Ever", true), HaveField("Since", start.Add(5*time.Second)))))
	})
})
