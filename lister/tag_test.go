package lister_test

import (
	"context"
	"net/http/httptest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/faker"
	"primrosehook/lister"
	"primrosehook/sender"
)

var _ = Describe("list with an entity tag", func() {
	It("is sent again only after a change", func(ctx context.Context) {
		list := faker.NewList(faker.ListSettings{})
		s := httptest.NewServer(list.Handler())
		DeferCleanup(s.Close)
		var meter sender.Meter
		c := lister.NewClient(s.URL, sender.NewClient(sender.WithMeter(&meter)))
		for n := range 50 {
			Expect(list.Announce(ctx, lister.Instance{Name: string(rune('A' + n)), State: lister.StateLive})).To(Succeed())
		}
		first, err := c.Instances(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(first).To(HaveLen(50))
		whole := meter.Received.Load()

		again, err := c.Instances(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(Equal(first))
		Expect(meter.Received.Load() - whole).To(BeNumerically("<", whole/10))

		Expect(list.Withdraw(ctx, "A")).To(Succeed())
		less, err := c.Instances(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(less).To(HaveLen(49))
	})
})
