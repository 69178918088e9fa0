package watcher_test

import (
	"context"
	"fmt"
	"net"
	"sync"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"primrosehook/faker"
	"primrosehook/lister"
	"primrosehook/messenger"
	"primrosehook/watcher"
)

// counted counts the reads of a list.
type counted struct {
	lister.List
	mu    sync.Mutex
	reads int
}

func (c *counted) Instances(ctx context.Context) ([]lister.Instance, error) {
	c.mu.Lock()
	c.reads++
	c.mu.Unlock()
	return c.List.Instances(ctx)
}

func (c *counted) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reads
}

// note is a topic that keeps the greatest text.
type note struct {
	mu   sync.Mutex
	text string
}

func (n *note) Export() []byte { return []byte(n.get()) }

func (n *note) Merge(_ lister.Instance, data []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.text = max(n.text, string(data))
}

func (n *note) get() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.text
}

// running is one watcher with its own peer address.
type running struct {
	watcher *watcher.Watcher
	list    *counted
	note    *note
	stop    context.CancelFunc
}

func run(list lister.List, n int) *running {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	self := entry(n)
	self.PeerAddr = l.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	r := &running{list: &counted{List: list}, note: &note{}, stop: cancel}
	r.watcher = watcher.New(self, 1, r.list, messenger.NewClient(clockwork.NewRealClock()),
		watcher.WithTopic("note", r.note))
	s := messenger.NewServer(zap.NewNop())
	r.watcher.Attach(s)
	go s.Serve(ctx, l)
	context.AfterFunc(ctx, func() { l.Close() })
	DeferCleanup(cancel)
	r.watcher.Start(ctx)
	return r
}

func (r *running) entries() int { return len(r.watcher.Instances(lister.KindEntry)) }

var _ = Describe("Watcher", func() {
	It("spreads members, leaving states and topics, and asks the platform from three instances only", func() {
		list := faker.NewList(faker.ListSettings{})
		ctx := context.Background()
		upstream := lister.Instance{Name: "engine-1", Kind: lister.KindEngine, Region: "nl-west", State: lister.StateLive}
		Expect(list.Announce(ctx, upstream)).To(Succeed())
		var all []*running
		for n := range 6 {
			all = append(all, run(list, n))
		}
		for _, r := range all {
			Eventually(r.entries, "20s", "50ms").Should(Equal(6))
			Eventually(func() int { return len(r.watcher.Instances(lister.KindEngine)) }, "20s", "50ms").Should(Equal(1))
		}
		all[2].note.Merge(lister.Instance{}, []byte("news"))
		upstream.State = lister.StateLeaving
		Expect(list.Announce(ctx, upstream)).To(Succeed())
		for _, r := range all {
			Eventually(r.note.get, "20s", "50ms").Should(Equal("news"))
			Eventually(func() string { return r.watcher.Instances(lister.KindEngine)[0].State }, "20s", "50ms").
				Should(Equal(lister.StateLeaving))
		}
		before := map[int]int{}
		for n, r := range all {
			before[n] = r.list.count()
		}
		Eventually(func() int {
			return all[0].list.count() + all[1].list.count() + all[2].list.count() + all[3].list.count()
		}, "20s", "50ms").
			Should(BeNumerically(">", before[0]+before[1]+before[2]+before[3]+3))
		asked := 0
		for n, r := range all {
			if r.list.count() > before[n] {
				asked++
			}
		}
		Expect(asked).To(BeNumerically("<=", 3))
	})

	It("takes a stopped instance out of the homes although the list still shows it", func() {
		list := faker.NewList(faker.ListSettings{})
		var all []*running
		for n := range 3 {
			all = append(all, run(list, n))
		}
		for _, r := range all {
			Eventually(r.entries, "20s", "50ms").Should(Equal(3))
		}
		all[1].stop()
		Eventually(all[0].entries, "30s", "50ms").Should(Equal(2))
		for shard := range 16 {
			Expect(all[0].watcher.Homes(fmt.Sprint(shard), 3)).NotTo(ContainElement(HaveField("Name", "entry-001")))
		}
		shown, err := list.Instances(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(shown).To(HaveLen(3))
	})
})
