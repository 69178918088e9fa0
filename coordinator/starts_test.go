package coordinator_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/balancer"
	"primrosehook/registrar"
)

var _ = Describe("Counts of a server that starts again under its ID", func() {
	// The load: three instances, one of which has two requests at the earlier start of a server and
	// learns late of the present one. Guards against a new server that counts as loaded.
	It("are exchanged for the present start only", func() {
		all := startInstances(3, 0, &sharedLog{})
		for _, m := range all {
			Eventually(m.coordinator.Instances, "5s").Should(Equal(3))
		}
		register := func(m *instance, incarnation string) {
			list := []registrar.Server{{ID: "s", Incarnation: incarnation, Service: "llm", Address: "127.0.0.1:1", Zone: "z", Slots: 64, Loaded: []registrar.LoadedModel{{Model: "m"}}}}
			m.fleet.Update(list)
			m.coordinator.UpdateRegistry(nil, list)
		}
		for _, m := range all {
			register(m, "s")
		}
		q := balancer.Request{Model: "m", PromptTokens: 100, OutputTokens: 10}
		known := func() int { return all[2].fleet.Congestion("llm", q).InFlight }
		for range 2 {
			_, status := all[0].fleet.Take("llm", q)
			Expect(status).To(Equal(balancer.Found))
		}
		Eventually(known, "5s").Should(Equal(2))
		register(all[1], "s@2")
		register(all[2], "s@2")
		Expect(known()).To(BeZero())
		Consistently(known, "700ms").Should(BeZero())
		register(all[0], "s@2")
		_, status := all[0].fleet.Take("llm", q)
		Expect(status).To(Equal(balancer.Found))
		Eventually(known, "5s").Should(Equal(1))
		Consistently(known, "500ms").Should(Equal(1))
	})
})
