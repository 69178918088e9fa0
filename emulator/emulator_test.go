package emulator_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/emulator"
)

func TestEmulator(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Emulator")
}

var _ = Describe("A fleet", func() {
	It("serves everything on a quiet day, and is a function of its seed", func() {
		quiet := emulator.Day{Lead: 14 * time.Second, Length: 12 * time.Second}
		r := emulator.LargeFleet(1).Play(quiet)
		Expect(r.Requested).To(BeNumerically(">", 20))
		Expect(r.Never).To(BeEmpty())
		Expect(emulator.LargeFleet(1).Play(quiet)).To(Equal(r))
	})

	It("loads nothing while no orders are given", func() {
		day := emulator.Day{Lead: time.Second, Length: 12 * time.Second, Events: []emulator.Event{
			{At: 0, Do: func(f *emulator.Fleet) { f.SetOrdered(false) }},
			{At: time.Second, Do: func(f *emulator.Fleet) { f.Crash(1, 0) }},
		}}
		Expect(emulator.LargeFleet(1).Play(day).Served).To(BeNumerically("<", 0.1))
	})
})
