package registrar_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/registrar"
)

var _ = Describe("Core", func() {
	var (
		core *registrar.Core
		now  time.Time
	)
	BeforeEach(func() {
		core = registrar.NewCore(registrar.DefaultSettings())
		now = time.Unix(1000, 0)
	})
	ids := func() []string {
		var list []string
		for _, s := range core.Servers(now) {
			list = append(list, s.ID)
		}
		return list
	}
	read := func(after time.Duration) {
		now = now.Add(after)
		core.Read(now)
	}
	server := func(id string, heartbeat int64) registrar.Server {
		return registrar.Server{ID: id, Incarnation: id + "@1", Heartbeat: heartbeat}
	}

	It("distinguishes a changed registration from a heartbeat", func() {
		read(0)
		Expect(core.Put(now, 1, server("a", 1))).To(BeTrue())
		Expect(core.Put(now, 2, server("a", 2))).To(BeFalse())
		s := server("a", 3)
		s.Draining = true
		Expect(core.Put(now, 3, s)).To(BeTrue())
	})

	It("drops a removed server at once while the registry is available", func() {
		read(0)
		core.Put(now, 1, server("a", 1))
		for range 10 {
			read(500 * time.Millisecond)
		}
		core.Remove(now, "a", 2)
		Expect(ids()).To(BeEmpty())
	})

	It("keeps a server whose registration expired during an outage for the grace period, then drops it", func() {
		read(0)
		core.Put(now, 1, server("a", 1))
		read(5 * time.Second)
		core.Remove(now, "a", 2)
		Expect(ids()).To(ConsistOf("a"))
		read(time.Second)
		Expect(ids()).To(ConsistOf("a"))
		read(1100 * time.Millisecond)
		Expect(ids()).To(BeEmpty())
	})

	It("keeps an expired server that registers again within the grace period", func() {
		read(0)
		core.Put(now, 1, server("a", 1))
		read(5 * time.Second)
		core.Remove(now, "a", 2)
		core.Put(now, 3, server("a", 2))
		for range 6 {
			read(time.Second)
		}
		Expect(ids()).To(ConsistOf("a"))
	})

	It("ignores a registration that was written late, after the server left", func() {
		read(0)
		core.Put(now, 1, server("a", 7))
		core.Remove(now, "a", 2)
		Expect(core.Put(now, 3, server("a", 6))).To(BeFalse())
		Expect(core.Put(now, 4, server("a", 7))).To(BeFalse())
		Expect(ids()).To(BeEmpty())
	})

	It("treats a server that starts again under its ID as a new incarnation", func() {
		read(0)
		core.Put(now, 1, server("a", 7))
		again := server("a", 1)
		again.Incarnation = "a@2"
		Expect(core.Put(now, 2, again)).To(BeTrue())
		Expect(core.Servers(now)[0].Incarnation).To(Equal("a@2"))
	})

	It("takes a sequence that begins anew for a new start if the start time is not known", func() {
		// Guards against a server that keeps its ID and address, tells no start time and is taken for
		// what it was before until its sequence has caught up.
		read(0)
		core.Put(now, 1, server("a", 7))
		late := server("a", 5)
		late.Draining = true
		Expect(core.Put(now, 2, late)).To(BeFalse())
		again := server("a", 1)
		again.Draining = true
		Expect(core.Put(now, 3, again)).To(BeTrue())
		Expect(core.Servers(now)[0].Draining).To(BeTrue())
		core.Remove(now, "a", 4)
		Expect(core.Put(now, 5, server("a", 0))).To(BeFalse())
		Expect(ids()).To(BeEmpty())
		known := server("b", 7)
		known.StartedAt = now
		core.Put(now, 6, known)
		known.Heartbeat, known.Draining = 1, true
		Expect(core.Put(now, 7, known)).To(BeFalse())
	})

	It("ignores a page that is older than the known state", func() {
		read(0)
		core.Put(now, 10, server("a", 7))
		core.Remove(now, "a", 11)
		core.Put(now, 9, server("a", 8))
		Expect(ids()).To(BeEmpty())
		core.Put(now, 12, server("b", 1))
		core.Retain(now, map[string]bool{}, 12)
		Expect(ids()).To(ConsistOf("b"))
		core.Retain(now, map[string]bool{}, 13)
		Expect(ids()).To(BeEmpty())
	})
})
