package publisher_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"runtime"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"primrosehook/publisher"
	"primrosehook/replayer"
	"primrosehook/simulator"
)

// gzipRepeated returns the gzip-compressed form of a text that is repeated
// times times.
func gzipRepeated(text string, times int) []byte {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	for range times {
		_, err := w.Write([]byte(text))
		Expect(err).NotTo(HaveOccurred())
	}
	Expect(w.Close()).To(Succeed())
	return b.Bytes()
}

// publishEntry returns a log entry that publishes a list.
func publishEntry(body map[string]any) replayer.Entry {
	data, err := msgpack.Marshal(body)
	Expect(err).NotTo(HaveOccurred())
	return replayer.Entry{Kind: "publish", Body: data}
}

func plainEntry(base publisher.Version, name string) replayer.Entry {
	return publishEntry(map[string]any{"b": base, "a": "old", "t": listText(name)})
}

func packedEntry(base publisher.Version, data []byte) replayer.Entry {
	return publishEntry(map[string]any{"b": base, "a": "new", "z": data})
}

var _ = Describe("A packed list", func() {
	It("can replace a plain list and be replaced by one, also after a restore from a snapshot", func() {
		m := publisher.NewMachine()
		for i, e := range []replayer.Entry{
			plainEntry(0, "one"), packedEntry(1<<10+1, gzipRepeated(listText("two"), 1)), plainEntry(2<<10+1, "three"), packedEntry(3<<10+1, gzipRepeated(listText("four"), 1)),
		} {
			Expect(m.Apply(replayer.At(int64(i+1), 0), e)).To(HaveField("Accepted", true), "%d", i)
			state, err := m.Snapshot()
			Expect(err).NotTo(HaveOccurred())
			before, _ := m.InForce()
			m = publisher.NewMachine()
			Expect(m.Restore(state)).To(Succeed())
			after, list := m.InForce()
			Expect(after).To(Equal(before))
			Expect(after.Text).To(Equal(listText(list.Name)))
		}
	})

	DescribeTable("is rejected if malformed", func(e func() replayer.Entry, fault string) {
		m := publisher.NewMachine()
		Expect(m.Apply(1, e()).Fault).To(ContainSubstring(fault))
		Expect(m.InForce()).To(BeZero())
	},
		Entry("truncated gzip", func() replayer.Entry { return packedEntry(0, gzipRepeated(listText("cut"), 1)[:30]) }, "packed rule list is malformed"),
		Entry("not gzip", func() replayer.Entry { return packedEntry(0, []byte("name: a")) }, "packed rule list is malformed"),
		Entry("trailing bytes after the gzip data", func() replayer.Entry { return packedEntry(0, append(gzipRepeated(listText("a"), 1), 'x')) }, "packed rule list is malformed"),
		Entry("plain text as well as packed", func() replayer.Entry {
			return publishEntry(map[string]any{"b": 0, "t": listText("a"), "z": gzipRepeated(listText("b"), 1)})
		}, "both as text and packed"),
	)

	It("is not decompressed beyond the size limit of a list", func() {
		bomb := packedEntry(0, gzipRepeated(strings.Repeat("#", 1<<20), 256))
		Expect(len(bomb.Body)).To(BeNumerically("<", 1<<20))
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		r := publisher.NewMachine().Apply(1, bomb)
		runtime.ReadMemStats(&after)
		Expect(r.Fault).To(Equal("rule list is over 524288 bytes"))
		Expect(after.TotalAlloc - before.TotalAlloc).To(BeNumerically("<", 32<<20))
	})

	It("is read from the log and not fetched from peers, however many pings report it", func() {
		fleet := simulator.NewFleet()
		a, b := start(fleet, "a"), start(fleet, "b", publisher.WithLogWait(longTimeout))
		first, err := a.publish(0, "one", longTimeout)
		Expect(err).NotTo(HaveOccurred())
		Eventually(b.publisher.Version, "10s", "5ms").Should(Equal(first))
		Eventually(func() bool { return b.publisher.Status().Current }, "10s", "5ms").Should(BeTrue())
		sentBefore := b.node.Peers.Stats().MessagesSent
		results := make(chan error, 10)
		for range cap(results) {
			go func() { results <- b.publisher.OnPeerVersion(context.Background(), a.node.PeerAddr, first+1) }()
		}
		_, err = a.publish(first, "two", longTimeout)
		Expect(err).NotTo(HaveOccurred())
		for range cap(results) {
			Eventually(results, longTimeout).Should(Receive(BeNil()))
		}
		Eventually(b.publisher.Version, longTimeout, "5ms").Should(BeNumerically(">", first))
		Expect(b.node.Peers.Stats().MessagesSent).To(Equal(sentBefore))
	})

	It("is sent as plain text to a peer of an older build", func() {
		fleet := simulator.NewFleet()
		a, old := start(fleet, "a"), add(fleet, "old")
		_, err := a.publish(0, "one", longTimeout)
		Expect(err).NotTo(HaveOccurred())
		var got map[string]any
		Expect(old.node.Peers.Call(context.Background(), a.node.PeerAddr, "rules", map[string]any{"h": 0}, &got)).To(Succeed())
		Expect(got).To(And(HaveKeyWithValue("t", listText("one")), Not(HaveKey("z"))))
	})
})
