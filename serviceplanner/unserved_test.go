package serviceplanner_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/emulator"
)

var _ = Describe("A fleet that loses a third of its servers four times, and the lease holder twice", func() {
	// Guards against adapters that are never loaded since loads of models keep all servers of their model
	// busy.
	DescribeTable("serves nearly all models and adapters that are requested through the day",
		func(seed uint64) {
			r := emulator.LargeFleet(seed).Play(emulator.CrashesBesideLostHolders())
			Expect(len(r.Never)).To(BeNumerically("<=", 1+r.Requested/10), "of %d, served %.3f in all, not loaded: %v", r.Requested, r.Served, r.Absent)
		},
		Entry("seed 1", uint64(1)), Entry("seed 2", uint64(2)), Entry("seed 6", uint64(6)),
	)
})
