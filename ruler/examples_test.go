package ruler_test

import (
	"os"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/ruler"
)

func example(name string) *ruler.List {
	GinkgoHelper()
	data, err := os.ReadFile("../examples/" + name + ".yaml")
	Expect(err).NotTo(HaveOccurred())
	list, err := ruler.Parse(name, data)
	Expect(err).NotTo(HaveOccurred())
	return list
}

var _ = Describe("the examples", func() {
	DescribeTable("have the expected numbers of models and adapters, and no warnings",
		func(name string, models, adapters int) {
			list := example(name)
			count := 0
			for _, m := range list.Models {
				count += len(m.Adapters)
				d := list.Decide(ruler.Situation{Kind: ruler.KindModel, Model: m.Name})
				Expect(d.Then.Ready).To(BeNumerically(">", 0), "%s has at least one replica", m.Name)
			}
			Expect([]int{len(list.Models), count}).To(Equal([]int{models, adapters}))
			Expect(list.Warnings).To(BeEmpty())
		},
		Entry(nil, "vertrekpunt", 40, 100),
		Entry(nil, "bunya", 17, 60),
	)

	DescribeTable("make the decisions that their comments describe",
		func(name string, s ruler.Situation, rule string) {
			Expect(example(name).Decide(s).Name).To(Equal(rule))
		},
		Entry("a form", "vertrekpunt", ruler.Situation{Kind: "call", Service: "kiosk", Path: "/forms/nl"}, "forms"),
		Entry("a receipt", "vertrekpunt", ruler.Situation{Kind: "write", Service: "kiosk", Path: "/receipts"}, "receipts"),
		Entry("a summary at closing time", "vertrekpunt", ruler.Situation{Kind: "chat", Model: "summary-nl", Hour: 17, Weekday: 5}, "closing-time-summaries"),
		Entry("a summary on Sunday", "vertrekpunt", ruler.Situation{Kind: "chat", Model: "summary-nl", Hour: 17}, "summaries"),
		Entry("a digest", "vertrekpunt", ruler.Situation{Kind: "job", Model: "digest-nl"}, "digests"),
		Entry("replicas before closing time", "vertrekpunt", ruler.Situation{Kind: "model", Model: "summary-nl", Hour: 15}, "ready-for-closing"),
		Entry("a booking", "bunya", ruler.Situation{Kind: "write", Service: "booking", Path: "/bookings"}, "bookings"),
		Entry("an evening chat", "bunya", ruler.Situation{Kind: "chat", Model: "assistant-vi", Hour: 18}, "evening-chat"),
		Entry("a morning chat", "bunya", ruler.Situation{Kind: "chat", Model: "assistant-vi", Hour: 9}, "chat"),
		Entry("a weekly summary", "bunya", ruler.Situation{Kind: "job", Model: "roster-summary"}, "weekly-summaries"),
		Entry("replicas before the evening", "bunya", ruler.Situation{Kind: "model", Model: "room-finder", Hour: 15}, "ready-for-evening"),
	)
})
