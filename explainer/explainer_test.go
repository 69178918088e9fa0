package explainer_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/dispatcher"
	"primrosehook/explainer"
)

func keepAll(explainer.Decision) bool { return true }

var _ = Describe("Ring", func() {
	It("keeps only the newest decisions", func() {
		r := explainer.New(3)
		for i := range 5 {
			r.Put(explainer.Decision{ID: fmt.Sprint(i), Tokens: i})
		}
		_, ok := r.Find("1")
		Expect(ok).To(BeFalse())
		d, ok := r.Find("3")
		Expect(ok).To(BeTrue())
		Expect(d.Tokens).To(Equal(3))
		recent := r.Recent(2, keepAll)
		Expect(recent).To(HaveLen(2))
		Expect(recent[0].ID).To(Equal("4"))
		Expect(r.Recent(9, func(d explainer.Decision) bool { return d.ID == "2" })).To(HaveLen(1))
	})

	It("finds the newer of two decisions with the same id", func() {
		r := explainer.New(2)
		r.Put(explainer.Decision{ID: "a", Tokens: 1})
		r.Put(explainer.Decision{ID: "a", Tokens: 2})
		r.Put(explainer.Decision{ID: "b"})
		d, ok := r.Find("a")
		Expect(ok).To(BeTrue())
		Expect(d.Tokens).To(Equal(2))
	})

	It("stores nothing if its size is 0", func() {
		r := explainer.New(0)
		r.Put(explainer.Decision{ID: "a"})
		Expect(r.Recent(9, keepAll)).To(BeEmpty())
	})

	It("bounds the attempts and candidates of one decision", func() {
		r := explainer.New(1)
		attempt := explainer.Attempt{Candidates: make([]dispatcher.Candidate, 500)}
		r.Put(explainer.Decision{ID: "a", Attempts: []explainer.Attempt{attempt, attempt, attempt, attempt, attempt, attempt, attempt, attempt, attempt, attempt}})
		d, _ := r.Find("a")
		Expect(d.Attempts).To(HaveLen(8))
		Expect(d.Attempts[0].Candidates).To(HaveLen(32))
	})
})
