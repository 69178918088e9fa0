package decayer_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/decayer"
)

var _ = Describe("Peak", func() {
	It("is the largest value of the window", func() {
		var p decayer.Peak
		at := time.Unix(1000, 0)
		add := func(second, value int) int {
			return p.Add(at.Add(time.Duration(second)*time.Second), 10*time.Second, value)
		}
		Expect(add(0, 5)).To(Equal(5))
		Expect(add(1, 1)).To(Equal(5))
		Expect(add(4, 4)).To(Equal(5))
		Expect(add(10, 2)).To(Equal(5))
		Expect(add(11, 2)).To(Equal(4))
		Expect(add(15, 3)).To(Equal(3))
		Expect(add(16, 6)).To(Equal(6))
	})
})
