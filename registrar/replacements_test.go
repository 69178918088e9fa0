package registrar_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/registrar"
)

var _ = Describe("Replacements", func() {
	now := time.Unix(1000, 0)
	server := func(id, address string, startedAt int64, draining bool) registrar.Server {
		return registrar.Server{ID: id, Address: address, Incarnation: id + "@" + time.Unix(startedAt, 0).UTC().String(), StartedAt: time.Unix(startedAt, 0), Draining: draining}
	}
	old := server("a", "h:1", 1, false)

	DescribeTable("finds the incarnation that another one has replaced, once",
		func(next registrar.Server, replaced bool) {
			r := registrar.NewReplacements()
			Expect(r.Update(now, []registrar.Server{old})).To(BeEmpty())
			// Its registration may expire before.
			Expect(r.Update(now.Add(2*time.Second), nil)).To(BeEmpty())
			got := r.Update(now.Add(3*time.Second), []registrar.Server{next})
			if replaced {
				Expect(got).To(Equal([]string{old.Incarnation}))
			} else {
				Expect(got).To(BeEmpty())
			}
			Expect(r.Update(now.Add(4*time.Second), []registrar.Server{old, next, old})).To(BeEmpty())
		},
		Entry("under its ID", server("a", "h:2", 2, false), true),
		Entry("at its address", server("b", "h:1", 2, false), true),
		Entry("under its ID and at its address", server("a", "h:1", 2, false), true),
		Entry("not if it is registered again", old, false),
		Entry("not by another server", server("b", "h:2", 2, false), false),
		Entry("not by one that started before", server("b", "h:1", 0, false), false),
	)

	It("leaves out servers that were draining", func() {
		r := registrar.NewReplacements()
		r.Update(now, []registrar.Server{server("a", "h:1", 1, true)})
		Expect(r.Update(now, []registrar.Server{server("b", "h:1", 2, false)})).To(BeEmpty())
	})

	It("forgets servers that have been gone for long", func() {
		r := registrar.NewReplacements()
		r.Update(now, []registrar.Server{old})
		r.Update(now.Add(2*time.Minute), nil)
		Expect(r.Update(now.Add(2*time.Minute), []registrar.Server{server("b", "h:1", 2, false)})).To(BeEmpty())
	})
})
