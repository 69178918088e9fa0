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

// region is a set of cores whose pings are delivered at once, or not at all.
type region struct {
	now   time.Time
	cores []*watcher.Core
	// cut says whether a message between two members is lost.
	cut   func(from, to int) bool
	index map[string]int
	// old members know neither packed beats nor shortened answers.
	old map[int]bool
	// measured turns the counting of bytes on, which costs time.
	measured bool
	bytes    int
	sent     int
}

func newRegion(count int) *region {
	r := &region{now: time.Unix(1_000_000, 0), cut: func(int, int) bool { return false }, index: map[string]int{}}
	for n := range count {
		r.add(n)
	}
	r.list()
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

func (r *region) list() {
	var all []lister.Instance
	for _, c := range r.cores {
		all = append(all, c.Self())
	}
	for _, c := range r.cores {
		c.Listed(r.now, all)
	}
}

// period lets every live core tick once.
func (r *region) period(dead map[int]bool) {
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
	p = r.seen(from, to, r.cores[from].Short(p, target))
	r.count(p)
	if dead[to] || r.cut(from, to) {
		return
	}
	r.cores[to].Heard(r.now, p)
	back := r.cores[to].Answer(r.now, p)
	if r.old[to] {
		back = r.cores[to].Ping(r.now)
	}
	back = r.seen(to, from, back)
	r.count(back)
	if !r.cut(to, from) {
		r.cores[from].Answered(r.now, target, back)
	}
}

// seen returns a ping as its receiver sees it: an older build neither sends nor
// reads the newer fields.
func (r *region) seen(from, to int, p watcher.Ping) watcher.Ping {
	if r.old[from] || r.old[to] {
		p.Packed, p.Reads, p.To = nil, p.Reads && !r.old[from], 0
	}
	return p
}

func (r *region) count(p watcher.Ping) {
	if !r.measured {
		return
	}
	data, err := msgpack.Marshal(p)
	Expect(err).NotTo(HaveOccurred())
	r.bytes += len(data)
	r.sent++
}

func (r *region) homes(n int) string {
	var names string
	for shard := range 16 {
		for _, h := range r.cores[n].Homes(r.now, fmt.Sprint("write.", shard), 2) {
			names += h.Name + " "
		}
	}
	return names
}

var _ = Describe("membership", func() {
	DescribeTable("agrees on the homes of every shard",
		func(count int) {
			r := newRegion(count)
			for range 10 {
				r.period(nil)
			}
			for n := range r.cores {
				Expect(r.homes(n)).To(Equal(r.homes(0)), "member %d", n)
			}
		},
		Entry("today, smallest", 6),
		Entry("today, largest", 9),
		Entry("a region of the target size", 65),
	)

	It("suspects no live member in 300 periods at 130 members", func() {
		r := newRegion(130)
		for range 20 {
			r.period(nil)
		}
		for range 300 {
			r.period(nil)
			Expect(r.cores[5].Entries(r.now)).To(HaveLen(130))
			Expect(r.cores[77].Entries(r.now)).To(HaveLen(130))
		}
	})

	It("suspects no live member while two builds are mixed", func() {
		r := newRegion(65)
		r.old = map[int]bool{}
		for n := range 32 {
			r.old[2*n] = true
		}
		for range 20 {
			r.period(nil)
		}
		for range 60 {
			r.period(nil)
			Expect(r.cores[4].Entries(r.now)).To(HaveLen(65))
			Expect(r.cores[5].Entries(r.now)).To(HaveLen(65))
		}
	})

	DescribeTable("passes over what a malformed ping holds", func(counter []byte) {
		r := newRegion(3)
		for range 10 {
			r.period(nil)
		}
		before := r.cores[0].Ping(r.now)
		packed := append(binary.BigEndian.AppendUint32(nil, before.Beats[0].ID), counter...)
		r.cores[0].Heard(r.now, watcher.Ping{Packed: packed})
		Expect(r.cores[0].Ping(r.now).Beats).To(ConsistOf(before.Beats))
	},
		Entry("no counter", nil),
		Entry("a counter that is cut", []byte{0x80}),
		Entry("a counter over 32 bits", binary.AppendUvarint(nil, 1<<32+9999)),
	)

	It("answers with no more than the asker lacks", func() {
		r := newRegion(9)
		for range 10 {
			r.period(nil)
		}
		ping := r.cores[0].Short(r.cores[0].Ping(r.now), r.cores[1].Self())
		r.cores[1].Heard(r.now, ping)
		back := r.cores[1].Answer(r.now, ping)
		Expect(back.From).To(BeNil())
		r.cores[0].Answered(r.now, r.cores[1].Self(), back)
		again := r.cores[1].Answer(r.now, r.cores[0].Short(r.cores[0].Ping(r.now), r.cores[1].Self()))
		Expect(again.Packed).To(BeEmpty())
		r.cores[1].Leave()
		Expect(r.cores[1].Answer(r.now, ping).From).To(HaveField("State", lister.StateLeaving))
	})

	It("drops a crashed member while the list still shows it", func() {
		r := newRegion(9)
		for range 10 {
			r.period(nil)
		}
		dead := map[int]bool{4: true}
		for range 12 {
			r.period(dead)
			r.list()
		}
		for n := range r.cores {
			if n == 4 {
				continue
			}
			Expect(r.homes(n)).NotTo(ContainSubstring("entry-004"))
		}
	})

	It("keeps no silent member alive through old beats that others repeat", func() {
		r := newRegion(65)
		for range 15 {
			r.period(nil)
		}
		dead := map[int]bool{}
		for n := range 22 {
			dead[n*3] = true // all of zone ams-a
		}
		for range 25 {
			r.period(dead)
		}
		Expect(r.cores[1].Entries(r.now)).To(HaveLen(65 - 22))
	})

	It("finds its members again after two zones were cut from the third", func() {
		r := newRegion(9)
		for range 10 {
			r.period(nil)
		}
		r.cut = func(from, to int) bool { return (from%3 == 0) != (to%3 == 0) }
		for range 90 {
			r.period(nil)
			r.list()
		}
		Expect(r.cores[0].Entries(r.now)).To(HaveLen(3))
		Expect(r.cores[1].Entries(r.now)).To(HaveLen(6))
		r.cut = func(int, int) bool { return false }
		for range 15 {
			r.period(nil)
			r.list()
		}
		for n := range r.cores {
			Expect(r.cores[n].Entries(r.now)).To(HaveLen(9), "member %d", n)
		}
	})

	It("puts the second home in another zone and leaving members last", func() {
		r := newRegion(9)
		for range 10 {
			r.period(nil)
		}
		r.cores[2].Leave()
		for range 10 {
			r.period(nil)
		}
		for shard := range 40 {
			homes := r.cores[0].Homes(r.now, fmt.Sprint("job.", shard), 9)
			Expect(homes[0].Zone).NotTo(Equal(homes[1].Zone))
			Expect(homes[8].Name).To(Equal("entry-002"))
		}
	})

	It("meets a member that the list does not show yet", func() {
		r := newRegion(9)
		for range 10 {
			r.period(nil)
		}
		fresh := r.add(9)
		var listed []lister.Instance
		for _, c := range r.cores[:9] {
			listed = append(listed, c.Self())
		}
		fresh.Listed(r.now, listed)
		for range 10 {
			r.period(nil)
		}
		for n := range r.cores {
			Expect(r.cores[n].Entries(r.now)).To(HaveLen(10), "member %d", n)
		}
	})
})

// BenchmarkPeriod prints what one node sends in one period, by region size.
func BenchmarkPeriod(b *testing.B) {
	RegisterTestingT(b)
	for _, count := range []int{9, 30, 65, 130} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			r := newRegion(count)
			for range 30 {
				r.period(nil)
			}
			r.measured = true
			r.bytes, r.sent = 0, 0
			b.ResetTimer()
			for b.Loop() {
				r.period(nil)
			}
			periods := float64(b.N * count)
			b.ReportMetric(float64(r.bytes)/periods, "B/node-s")
			b.ReportMetric(float64(r.sent)/periods, "msg/node-s")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/periods, "cpu-ns/node-s")
		})
	}
}
