package quarantiner_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/quarantiner"
)

var _ = Describe("ConnectionBreaks", func() {
	now := time.Unix(1000, 0)

	It("returns each request whose connection broke shortly before the loss once", func() {
		l := quarantiner.NewConnectionBreaks()
		l.Record(now, 1, "a")
		l.Record(now, 1, "a")
		l.Record(now, 2, "a")
		l.Record(now, 3, "b")
		Expect(l.EngineLost(now.Add(time.Second), "a")).To(ConsistOf(uint64(1), uint64(2)))
		Expect(l.EngineLost(now.Add(time.Second), "a")).To(BeEmpty())
	})

	It("returns no request whose connection broke long before the loss", func() {
		l := quarantiner.NewConnectionBreaks()
		l.Record(now, 1, "a")
		Expect(l.EngineLost(now.Add(10*time.Second), "a")).To(BeEmpty())
	})
})
