package follower_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/follower"
	"primrosehook/simulator"
)

var _ = Describe("a follower that starts on an existing stream", func() {
	It("restores the state of a long stream from a snapshot near its end", func() {
		log := simulator.NewLog()
		writer := start(log, "writer", follower.WithSnapshotRecords(40, always))
		for n := range 900 {
			_, err := writer.submit(fmt.Sprint("k", n), "v", 20*time.Second)
			Expect(err).NotTo(HaveOccurred())
		}
		late := start(log, "late", follower.WithSnapshotRecords(40, func() bool { return false }))
		Expect(late.follower.AwaitCurrent(context.Background())).To(Succeed())
		Expect(late.attempts("k0=v")).To(Equal(1))
		Expect(late.attempts("k899=v")).To(Equal(1))
	})

	It("reads the whole stream when there is no snapshot near the end", func() {
		log := simulator.NewLog()
		never := func() bool { return false }
		writer := start(log, "writer", follower.WithSnapshotRecords(10, never))
		for n := range 600 {
			_, err := writer.submit(fmt.Sprint("k", n), "v", 20*time.Second)
			Expect(err).NotTo(HaveOccurred())
		}
		late := start(log, "late", follower.WithSnapshotRecords(10, never))
		Expect(late.follower.AwaitCurrent(context.Background())).To(Succeed())
		Expect(late.attempts("k0=v")).To(Equal(1))
	})

	It("resets the state if all instances were stopped for longer than the retention time", func() {
		log := simulator.NewLog()
		writer := start(log, "writer")
		for n := range 9 {
			_, err := writer.submit(fmt.Sprint("k", n), "v", 20*time.Second)
			Expect(err).NotTo(HaveOccurred())
		}
		log.Trim(stream, 2)
		incomplete := start(log, "stuck")
		Eventually(func() int64 { return incomplete.follower.Status().Next }, "20s", "5ms").Should(BeNumerically(">", 7))
		Expect(incomplete.follower.Status().Complete).To(BeFalse())

		a := start(log, "a", follower.WithResetDelay(time.Millisecond))
		Expect(a.follower.AwaitCurrent(context.Background())).To(Succeed())
		_, err := a.submit("fresh", "v", 20*time.Second)
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() int { return incomplete.attempts("fresh=v") }, "20s", "10ms").Should(Equal(1))
	})
})
