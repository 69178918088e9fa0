package bencher_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/bencher"
)

// short runs a policy on a shape for 40 s of arrivals.
func short(shape, policy string, seed uint64) bencher.Result {
	run := bencher.Run{Deployment: bencher.Bunya(), Seed: seed, Length: 40 * time.Second}
	for _, s := range bencher.Shapes() {
		if s.Name == shape {
			run.Shape = s
		}
	}
	for _, p := range bencher.Policies() {
		if p.Name == policy {
			run.Policy = p
		}
	}
	return bencher.Do(run)
}

var _ = Describe("Do", func() {
	DescribeTable("returns the same result for the same seed",
		func(shape, policy string) {
			Expect(short(shape, policy, 7)).To(Equal(short(shape, policy, 7)))
		},
		Entry("project policy", "steady", bencher.Own),
		Entry("project policy, started with empty engines", "morning", bencher.Own),
		Entry("baseline policy", "steady", "least+lru+fifo"),
	)

	It("returns a different result for a different seed", func() {
		Expect(short("steady", bencher.Own, 7)).NotTo(Equal(short("steady", bencher.Own, 8)))
	})

	DescribeTable("never exceeds the offline bound or the engines' memory",
		func(policy string) {
			for _, shape := range []string{"steady", "morning"} {
				r := short(shape, policy, 3)
				Expect(r.Urgent).To(BeNumerically("<=", r.Bound))
				Expect(r.Overcommitted).To(BeZero())
			}
		},
		Entry("own", bencher.Own), Entry("static", "place:static"), Entry("greedy", "place:greedy"), Entry("lru", "place:lru"),
	)
})

var _ = Describe("Matrix", func() {
	It("returns the same results for any number of workers", func() {
		m := bencher.Matrix{
			Deployments: []bencher.Deployment{bencher.Bunya()},
			Shapes:      bencher.Shapes()[:1],
			Policies:    bencher.Policies()[:2],
			Seeds:       []uint64{1, 2},
			Length:      10 * time.Second,
			Workers:     1,
		}
		one := m.Do()
		m.Workers = 3
		Expect(m.Do()).To(Equal(one))
		rows := bencher.Rows(one)
		Expect(rows).To(HaveLen(2))
		Expect(rows[0].Seeds).To(Equal(2))
	})
})
