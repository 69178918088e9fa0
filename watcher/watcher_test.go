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

// countingList counts reads of the instance list.
type countingList struct {
	lister.List
	mu    sync.Mutex
	reads int
}

func (c *countingList) Instances(ctx context.Context) ([]lister.Instance, error) {
	c.mu.Lock()
	c.reads++
	c.mu.Unlock()
	return c.List.Instances(ctx)
}

func (c *countingList) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reads
}

// maxTopic is a topic that converges to the lexically greatest text.
type maxTopic struct {
	mu   sync.Mutex
	text string
}

func (n *maxTopic) Export() []byte { return []byte(n.get()) }

func (n *maxTopic) Merge(_ lister.Instance, data []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.text = max(n.text, string(data))
}

func (n *maxTopic) get() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.text
}

// runningWatcher is one watcher with its own peer address.
type runningWatcher struct {
	watcher *watcher.Watcher
	list    *countingList
	note    *maxTopic
	stop    context.CancelFunc
}

func startWatcher(list lister.List, n int) *runningWatcher {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	self := entry(n)
	self.PeerAddr = l.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	r := &runningWatcher{list: &countingList{List: list}, note: &maxTopic{}, stop: cancel}
	r.watcher = watcher.New(self, 1, r.list, messenger.NewClient(clockwork.NewRealClock()),
		watcher.WithTopic("note", r.note))
	s := messenger.NewServer(zap.NewNop())
	r.watcher.RegisterHandlers(s)
	go s.Serve(ctx, l)
	context.AfterFunc(ctx, func() { l.Close() })
	DeferCleanup(cancel)
	r.watcher.Start(ctx)
	return r
}

func (r *runningWatcher) entries() int { return len(r.watcher.Instances(lister.KindEntry)) }

var _ = Describe("Watcher", func() {
	It("propagates members, leaving states and topics, and reads the list from the platform on at most three instances", func() {
		list := faker.NewList(faker.ListSettings{})
		ctx := context.Background()
		upstream := lister.Instance{Name: "engine-1", Kind: lister.KindEngine, Region: "nl-west", State: lister.StateLive}
		Expect(list.Announce(ctx, upstream)).To(Succeed())
		var all []*runningWatcher
		for n := range 6 {
			all = append(all, startWatcher(list, n))
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

	It("removes a stopped instance from the owners although the list still contains it", func() {
		list := faker.NewList(faker.ListSettings{})
		var all []*runningWatcher
		for n := range 3 {
			all = append(all, startWatcher(list, n))
		}
		for _, r := range all {
			Eventually(r.entries, "20s", "50ms").Should(Equal(3))
		}
		all[1].stop()
		Eventually(all[0].entries, "30s", "50ms").Should(Equal(2))
		for shard := range 16 {
			Expect(all[0].watcher.Owners(fmt.Sprint(shard), 3)).NotTo(ContainElement(HaveField("Name", "entry-001")))
		}
		shown, err := list.Instances(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(shown).To(HaveLen(3))
	})
})
