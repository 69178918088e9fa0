package balancer_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/balancer"
	"primrosehook/registrar"
)

var _ = Describe("A service", func() {
	var (
		core *balancer.Core
		now  = time.Unix(1000, 0)
		list []registrar.Server
	)
	BeforeEach(func() {
		core, list = balancer.NewCore("z", 1), nil
		for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
			list = append(list, registrar.Server{ID: id, Incarnation: id, Service: "svc", Slots: 8})
		}
		core.Update(now, list)
	})

	It("is unsettled for a time once a third of its servers take no connections", func() {
		core.MarkUnreachable(now, "a")
		core.MarkUnreachable(now, "a")
		Expect(core.Unsettled(now)).To(BeFalse())
		core.MarkUnreachable(now, "b")
		Expect(core.Unsettled(now)).To(BeTrue())
		Expect(core.Unsettled(now.Add(9 * time.Second))).To(BeTrue())
		Expect(core.Unsettled(now.Add(10 * time.Second))).To(BeFalse())
	})

	It("is unsettled once a third of its servers are gone, also after others have come", func() {
		core.Update(now, list[2:])
		Expect(core.Unsettled(now)).To(BeTrue())
		core.Update(now, append(list[2:], registrar.Server{ID: "g", Incarnation: "g"}, registrar.Server{ID: "h", Incarnation: "h"}))
		Expect(core.Unsettled(now)).To(BeTrue())
	})

	It("is not unsettled by servers that leave as planned", func() {
		list[0].Draining, list[1].Draining = true, true
		core.Update(now, list)
		core.Update(now, list[2:])
		Expect(core.Unsettled(now)).To(BeFalse())
	})
})
