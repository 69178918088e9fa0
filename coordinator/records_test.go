package coordinator_test

import (
	"context"
	"fmt"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/coordinator"
	"primrosehook/messenger"
	"primrosehook/tailer"
)

var _ = Describe("The registry in a reply", func() {
	// Guards against a position that is passed on without the removals before it, and against
	// replies that hold the whole registry although the report's position suffices.
	It("is whole only for instances whose position is before the first that removals are known from", func() {
		m := startInstances(1, 0, &sharedLog{})[0]
		c, peers := m.coordinator, messenger.NewClient(clockwork.NewRealClock())
		ask := func(position int64) (keys []string, whole bool) {
			var reply coordinator.Reply
			Expect(peers.Call(context.Background(), m.address, "exchange", coordinator.Report{Instance: "b", Registry: position, Deputy: true}, &reply)).To(Succeed())
			for _, x := range reply.Registry {
				keys = append(keys, fmt.Sprint(x.Key, x.Offset, string(x.Value)))
			}
			return keys, reply.RegistryWhole
		}
		expect := func(position int64, whole bool, keys ...string) {
			got, isWhole := ask(position)
			ExpectWithOffset(1, got).To(Equal(keys))
			ExpectWithOffset(1, isWhole).To(Equal(whole))
		}
		record := func(offset int64, key, value string) tailer.Record {
			return tailer.Record{Offset: offset, Key: key, Value: []byte(value)}
		}
		expect(3, false)
		c.ReplaceRecords([]tailer.Record{record(5, "a", "+"), record(7, "b", "+")}, 10)
		expect(8, true, "a5+", "b7+")
		expect(10, false)
		c.UpdateRegistry([]tailer.Record{record(10, "a", "+"), {Offset: 11, Key: "c"}}, nil)
		expect(10, false, "a10+", "c11")
		c.ReplaceRecords([]tailer.Record{record(10, "a", "+")}, 20)
		expect(12, true, "a10+", "b19")
		expect(20, false)
		var removals []tailer.Record
		for i := range int64(3000) {
			removals = append(removals, tailer.Record{Offset: 20 + i, Key: fmt.Sprint("r", i)})
		}
		c.UpdateRegistry(removals, nil)
		expect(3019, true, "a10+")
		expect(3020, false)
		next := tailer.Position(1, 0)
		c.ReplaceRecords([]tailer.Record{record(next, "d", "+")}, next+1)
		expect(3020, true, fmt.Sprint("d", next, "+"))
		expect(next+1, false)
	})
})
