package watcher_test

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"primrosehook/lister"
	"primrosehook/watcher"
)

// region is a set of cores whose pings are delivered immediately or lost.
type region struct {
	now   time.Time
	cores []*watcher.Core
	// lost reports whether a message between two members is lost.
	lost  func(from, to int) bool
	index map[string]int
	// oldBuild is the set of members that support neither packed heartbeats
	// nor answers without what the peer knows.
	oldBuild map[int]bool
	// measured enables the counting of bytes, which costs time.
	measured bool
	bytes    int
	sent     int
}

func newRegion(count int) *region {
	r := &region{now: time.Unix(1_000_000, 0), lost: func(int, int) bool { return false }, index: map[string]int{}}
	for n := range count {
		r.add(n)
	}
	r.updateLists()
	return r
}

func (r *region) add(n int) *watcher.Core {
	c := watcher.NewCore(entry(n), 7)
	r.cores = append(r.cores, c)
	r.index[c.Self().Name] = n
	return c
}

func entry(n int) lister.Instance {
	return lister.Instance{
		Name: fmt.Sprintf("entry-%03d", n), Kind: lister.KindEntry, Region: "nl-west",
		Zone: []string{"ams-a", "ams-b", "hlm-c"}[n%3], State: lister.StateLive,
		Addr: fmt.Sprintf("10.0.0.%d:80", n), PeerAddr: fmt.Sprintf("10.0.0.%d:81", n),
	}
}

func (r *region) updateLists() {
	var all []lister.Instance
	for _, c := range r.cores {
		all = append(all, c.Self())
	}
	for _, c := range r.cores {
		c.UpdateList(r.now, all)
	}
}

// runPeriod runs one period on every core that is not dead.
func (r *region) runPeriod(dead map[int]bool) {
	r.now = r.now.Add(time.Second)
	for n, c := range r.cores {
		if dead[n] {
			continue
		}
		p, targets := c.Tick(r.now)
		for _, t := range targets {
			r.deliver(n, r.index[t.Name], p, dead)
		}
	}
}

func (r *region) deliver(from, to int, p watcher.Ping, dead map[int]bool) {
	target := r.cores[to].Self()
	p = r.asReceived(from, to, r.cores[from].ForPeer(p, target))
	r.countBytes(p)
	if dead[to] || r.lost(from, to) {
		return
	}
	r.cores[to].HandlePing(r.now, p)
	back := r.cores[to].Answer(r.now, p)
	if r.oldBuild[to] {
		back = r.cores[to].Ping(r.now)
	}
	back = r.asReceived(to, from, back)
	r.countBytes(back)
	if !r.lost(to, from) {
		r.cores[from].HandleAnswer(r.now, target, back)
	}
}

// asReceived returns a ping as its receiver decodes it: an older build neither sends
// nor decodes the newer fields.
func (r *region) asReceived(from, to int, p watcher.Ping) watcher.Ping {
	if r.oldBuild[from] || r.oldBuild[to] {
		p.PackedHeartbeats, p.AcceptsPacked, p.ReceiverID = nil, p.AcceptsPacked && !r.oldBuild[from], 0
	}
	return p
}

func (r *region) countBytes(p watcher.Ping) {
	if !r.measured {
		return
	}
	data, err := msgpack.Marshal(p)
	Expect(err).NotTo(HaveOccurred())
	r.bytes += len(data)
	r.sent++
}

func (r *region) owners(n int) string {
	var names string
	for shard := range 16 {
		for _, h := range r.cores[n].Owners(r.now, fmt.Sprint("write.", shard), 2) {
			names += h.Name + " "
		}
	}
	return names
}

var _ = Describe("membership", func() {
	DescribeTable("agrees on the owners of every shard",
		func(count int) {
			r := newRegion(count)
			for range 10 {
				r.runPeriod(nil)
			}
			for n := range r.cores {
				Expect(r.owners(n)).To(Equal(r.owners(0)), "member %d", n)
			}
		},
		Entry("the smallest region today", 6),
		Entry("the largest region today", 9),
		Entry("a region of the target size", 65),
	)

	It("suspects no live member in 300 periods at 130 members", func() {
		r := newRegion(130)
		for range 20 {
			r.runPeriod(nil)
		}
		for range 300 {
			r.runPeriod(nil)
			Expect(r.cores[5].Entries(r.now)).To(HaveLen(130))
			Expect(r.cores[77].Entries(r.now)).To(HaveLen(130))
		}
	})

	It("suspects no live member while old and new builds are mixed", func() {
		r := newRegion(65)
		r.oldBuild = map[int]bool{}
		for n := range 32 {
			r.oldBuild[2*n] = true
		}
		for range 20 {
			r.runPeriod(nil)
		}
		for range 60 {
			r.runPeriod(nil)
			Expect(r.cores[4].Entries(r.now)).To(HaveLen(65))
			Expect(r.cores[5].Entries(r.now)).To(HaveLen(65))
		}
	})

	DescribeTable("ignores malformed heartbeats", func(counter []byte) {
		r := newRegion(3)
		for range 10 {
			r.runPeriod(nil)
		}
		before := r.cores[0].Ping(r.now)
		packed := append(binary.BigEndian.AppendUint32(nil, before.Heartbeats[0].ID), counter...)
		r.cores[0].HandlePing(r.now, watcher.Ping{PackedHeartbeats: packed})
		Expect(r.cores[0].Ping(r.now).Heartbeats).To(ConsistOf(before.Heartbeats))
	},
		Entry("without a sequence number", nil),
		Entry("with a truncated sequence number", []byte{0x80}),
		Entry("with a sequence number over 32 bits", binary.AppendUvarint(nil, 1<<32+9999)),
	)

	It("answers only with what the sender of the ping lacks", func() {
		r := newRegion(9)
		for range 10 {
			r.runPeriod(nil)
		}
		ping := r.cores[0].ForPeer(r.cores[0].Ping(r.now), r.cores[1].Self())
		r.cores[1].HandlePing(r.now, ping)
		back := r.cores[1].Answer(r.now, ping)
		Expect(back.From).To(BeNil())
		r.cores[0].HandleAnswer(r.now, r.cores[1].Self(), back)
		again := r.cores[1].Answer(r.now, r.cores[0].ForPeer(r.cores[0].Ping(r.now), r.cores[1].Self()))
		Expect(again.PackedHeartbeats).To(BeEmpty())
		r.cores[1].Leave()
		Expect(r.cores[1].Answer(r.now, ping).From).To(HaveField("State", lister.StateLeaving))
	})

	It("drops a crashed member that the list still contains", func() {
		r := newRegion(9)
		for range 10 {
			r.runPeriod(nil)
		}
		dead := map[int]bool{4: true}
		for range 12 {
			r.runPeriod(dead)
			r.updateLists()
		}
		for n := range r.cores {
			if n == 4 {
				continue
			}
			Expect(r.owners(n)).NotTo(ContainSubstring("entry-004"))
		}
	})

	It("does not keep a silent member live through old heartbeats that peers repeat", func() {
		r := newRegion(65)
		for range 15 {
			r.runPeriod(nil)
		}
		dead := map[int]bool{}
		for n := range 22 {
			dead[n*3] = true // all of zone ams-a
		}
		for range 25 {
			r.runPeriod(dead)
		}
		Expect(r.cores[1].Entries(r.now)).To(HaveLen(65 - 22))
	})

	It("finds all members again after a partition between two zones and the third", func() {
		r := newRegion(9)
		for range 10 {
			r.runPeriod(nil)
		}
		r.lost = func(from, to int) bool { return (from%3 == 0) != (to%3 == 0) }
		for range 90 {
			r.runPeriod(nil)
			r.updateLists()
		}
		Expect(r.cores[0].Entries(r.now)).To(HaveLen(3))
		Expect(r.cores[1].Entries(r.now)).To(HaveLen(6))
		r.lost = func(int, int) bool { return false }
		for range 15 {
			r.runPeriod(nil)
			r.updateLists()
		}
		for n := range r.cores {
			Expect(r.cores[n].Entries(r.now)).To(HaveLen(9), "member %d", n)
		}
	})

	It("ranks the second owner in another zone and leaving members last", func() {
		r := newRegion(9)
		for range 10 {
			r.runPeriod(nil)
		}
		r.cores[2].Leave()
		for range 10 {
			r.runPeriod(nil)
		}
		for shard := range 40 {
			owners := r.cores[0].Owners(r.now, fmt.Sprint("job.", shard), 9)
			Expect(owners[0].Zone).NotTo(Equal(owners[1].Zone))
			Expect(owners[8].Name).To(Equal("entry-002"))
		}
	})

	It("discovers a member that the list does not contain yet", func() {
		r := newRegion(9)
		for range 10 {
			r.runPeriod(nil)
		}
		fresh := r.add(9)
		var listed []lister.Instance
		for _, c := range r.cores[:9] {
			listed = append(listed, c.Self())
		}
		fresh.UpdateList(r.now, listed)
		for range 10 {
			r.runPeriod(nil)
		}
		for n := range r.cores {
			Expect(r.cores[n].Entries(r.now)).To(HaveLen(10), "member %d", n)
		}
	})
})

// BenchmarkPeriod reports bytes, messages and CPU time per instance and period, by
// region size.
func BenchmarkPeriod(b *testing.B) {
	RegisterTestingT(b)
	for _, count := range []int{9, 30, 65, 130} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			r := newRegion(count)
			for range 30 {
				r.runPeriod(nil)
			}
			r.measured = true
			r.bytes, r.sent = 0, 0
			b.ResetTimer()
			for b.Loop() {
				r.runPeriod(nil)
			}
			periods := float64(b.N * count)
			b.ReportMetric(float64(r.bytes)/periods, "B/node-s")
			b.ReportMetric(float64(r.sent)/periods, "msg/node-s")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/periods, "cpu-ns/node-s")
		})
	}
}
