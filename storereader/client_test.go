package storereader_test

import (
	"context"
	"net/http/httptest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/faker"
	"primrosehook/judge"
	"primrosehook/sender"
	"primrosehook/storereader"
)

var _ = Describe("Client", func() {
	It("reads the limits of the store and fails in an outage", func(ctx context.Context) {
		fake := faker.NewStore(faker.StoreSettings{Rate: 1, Slots: 2, Speed: 1000})
		s := httptest.NewServer(fake.Handler())
		DeferCleanup(s.Close)
		client := storereader.NewClient(s.URL, sender.NewClient())
		state, err := client.State(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(state).To(Equal(storereader.State{Rate: 1, Slots: 2, Speed: 1000}))
		fake.SetFaults(faker.StoreFaults{Faults: faker.Faults{Outage: faker.OutageRefuse}})
		_, err = client.State(ctx)
		Expect(judge.Of(err)).To(Equal(judge.NotRun))
		fake.SetFaults(faker.StoreFaults{Faults: faker.Faults{Outage: faker.OutageDrop}})
		_, err = client.State(ctx)
		Expect(judge.Of(err)).To(Equal(judge.MayHaveRun))
	})
})
