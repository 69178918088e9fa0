package quarantiner_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/quarantiner"
)

var _ = Describe("Losses", func() {
	now := time.Unix(1000, 0)

	It("accuses what broke shortly before a loss, each request once", func() {
		l := quarantiner.NewLosses()
		l.Broke(now, 1, "a")
		l.Broke(now, 1, "a")
		l.Broke(now, 2, "a")
		l.Broke(now, 3, "b")
		Expect(l.Lost(now.Add(time.Second), "a")).To(ConsistOf(uint64(1), uint64(2)))
		Expect(l.Lost(now.Add(time.Second), "a")).To(BeEmpty())
	})

	It("accuses nobody of a loss long after", func() {
		l := quarantiner.NewLosses()
		l.Broke(now, 1, "a")
		Expect(l.Lost(now.Add(10*time.Second), "a")).To(BeEmpty())
	})
})
