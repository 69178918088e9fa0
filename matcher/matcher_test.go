package matcher_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/matcher"
)

var _ = Describe("Table", func() {
	table := matcher.NewTable(3, []matcher.Route{
		{Name: "wide", Host: "a.example", Prefix: "/x/"},
		{Name: "deep", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/"},
	}, nil, matcher.Limits{})

	DescribeTable("matches the longest prefix of the host's routes",
		func(host, path, name string) {
			r, ok := table.Match(host, path)
			if name == "" {
				Expect(ok).To(BeFalse())
				return
			}
			Expect(ok).To(BeTrue())
			Expect(r.Name).To(Equal(name))
		},
		Entry("the only matching prefix", "a.example", "/x/1", "wide"),
		Entry("the longer of two matching prefixes", "a.example", "/x/y/1", "deep"),
		Entry("a host with a port and in upper case", "A.Example:80", "/x/y/", "deep"),
		Entry("no match within a path segment", "a.example", "/xy", ""),
		Entry("an unknown host", "c.example", "/x/1", ""),
		Entry("the root prefix", "b.example", "/anything", "other"),
	)

	It("splits requests by weight and sends the same hash to the same service", func() {
		r := matcher.Route{Splits: []matcher.Split{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
		count := map[string]int{}
		for i := range uint64(1000) {
			count[r.Service(i)]++
			Expect(r.Service(i)).To(Equal(r.Service(i)))
		}
		Expect(count).To(Equal(map[string]int{"a": 900, "b": 100}))
	})

	DescribeTable("reports whether a request that may have run may be sent again",
		func(r matcher.Route, want bool) { Expect(r.Repeatable()).To(Equal(want)) },
		Entry("idempotent", matcher.Route{Kind: matcher.Idempotent}, true),
		Entry("not idempotent", matcher.Route{Kind: matcher.NonIdempotent, Resumable: true}, false),
		Entry("stream that is not resumable", matcher.Route{Kind: matcher.Streaming}, false),
		Entry("resumable stream", matcher.Route{Kind: matcher.Streaming, Resumable: true}, true),
	)
})
