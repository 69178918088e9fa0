package assumer_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/assumer"
	"primrosehook/platform"
)

var _ = Describe("Complete", func() {
	It("sets all fields that can be missing, and names them", func() {
		s, err := platform.ParseSettings([]byte("node = \"n\"\nip = \"i\"\n[listen-addrs]\nfront = \"f\"\nready = \"r\"\n[platform]\naddress = \"a\"\n"))
		Expect(err).NotTo(HaveOccurred())
		s, assumed := assumer.Complete(s)
		Expect(assumed).To(HaveLen(len(s.Missing)))
		Expect(assumed).To(ContainElements("Drain=1s", "RetryRatio=0.1"))
		for _, value := range []any{s.Drain, s.Grace, s.Lease, s.RetryWindow, s.RetryRatio, s.CeilingWindow, s.CeilingOverage} {
			Expect(value).NotTo(BeZero())
		}
	})

	It("changes no field that is there", func() {
		before := platform.Settings{Drain: 3 * time.Second, Missing: []string{"Grace"}}
		after, assumed := assumer.Complete(before)
		Expect(assumed).To(Equal([]string{"Grace=5s"}))
		Expect(after.Drain).To(Equal(3 * time.Second))
		Expect(after.Lease).To(BeZero())
	})
})
