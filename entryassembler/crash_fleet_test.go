package entryassembler_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/connector"
	"primrosehook/platform"
)

const (
	// contactTime is how long instances must have been in touch for the bounds to hold.
	contactTime = 3 * time.Second
	// restartTime is how long a crashed server is away, fleetTime how long clients send.
	restartTime = 3 * time.Second
	fleetTime   = 17 * time.Second
)

// peerLinks are the links between instances. It implements connector.Dialer for one of them.
type peerLinks struct {
	mu sync.Mutex
	// groups are the parts of a partition, by the address of an instance.
	groups map[string]int
}

// peerConn is a connection between two instances.
type peerConn struct {
	net.Conn
	links    *peerLinks
	from, to string
}

// peerDialer opens connections from one instance to others.
type peerDialer struct {
	links *peerLinks
	self  string
}

// Dial implements connector.Dialer.
func (d peerDialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	if d.links.isCut(d.self, address) {
		select {
		case <-ctx.Done():
		case <-time.After(500 * time.Millisecond):
		}
		return nil, errors.New("i/o timeout")
	}
	n, err := connector.DirectDialer{}.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &peerConn{Conn: n, links: d.links, from: d.self, to: address}, nil
}

func (l *peerLinks) isCut(a, b string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.groups[a] != l.groups[b]
}

// partition splits the instances; those that are not named are together.
func (l *peerLinks) partition(groups map[string]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.groups = groups
}

// Write implements net.Conn. What is written over a cut is lost, and so is the connection.
func (c *peerConn) Write(b []byte) (int, error) {
	if c.links.isCut(c.from, c.to) {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// crashFleet is a cluster with a service of three servers that crash under fatal requests,
// and its clients.
type crashFleet struct {
	*cluster
	service *crashingService
	// fatal are the paths of the fatal requests by the resource that they have in common.
	fatal map[string][]string

	mu sync.Mutex
	// arrivals are when client attempts with a fatal path first reached a server, by resource.
	arrivals map[string]map[string]time.Time
	// sentTo is the instance that a client attempt was sent to.
	sentTo map[string]int
	// outOfTouch is when each instance was cut off or restarted.
	outOfTouch [][]period
	sound      []soundRequest
}

// period is a time from one moment to another.
type period struct{ from, to time.Time }

// soundRequest is a request that crashes nothing.
type soundRequest struct {
	at     time.Time
	served bool
}

// resourceOf returns the resource that a path is about, empty if it is not fatal.
func (f *crashFleet) resourceOf(path string) string {
	for resource, paths := range f.fatal {
		if slices.Contains(paths, path) {
			return resource
		}
	}
	return ""
}

// isFatal records the arrival of a fatal request.
func (f *crashFleet) isFatal(q *http.Request) bool {
	resource := f.resourceOf(q.URL.Path)
	if resource == "" {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	id := q.Header.Get("Primrosehook-Request-Id")
	if _, ok := f.arrivals[resource][id]; !ok {
		f.arrivals[resource][id] = time.Now()
	}
	return true
}

// newCrashFleet starts instances and servers. fatal are the paths by resource.
func newCrashFleet(instances int, fatal map[string][]string) *crashFleet {
	f := &crashFleet{
		cluster: newCluster(0), fatal: fatal,
		arrivals: map[string]map[string]time.Time{}, sentTo: map[string]int{},
	}
	for resource := range fatal {
		f.arrivals[resource] = map[string]time.Time{}
	}
	text := strings.Replace(fmt.Sprintf(config, 4, "form"), `"routes":[`,
		`"routes":[{"name":"book","host":"h","path-prefix":"/book/","kind":"non_idempotent","timeout-ms":2000,"target-latency-ms":100,"service":"api","max-attempts":2},`, 1)
	f.metadata.Put(platform.TopicOperator, platform.KeyConfig, []byte(text))
	f.metadata.Put(platform.TopicServers, f.engines[2].ID, nil)
	f.service = &crashingService{cluster: f.cluster, name: "api", models: "[]", restart: restartTime, isFatal: f.isFatal, servers: map[string]*http.Server{}}
	DeferCleanup(f.service.close)
	for range 3 {
		f.service.start("127.0.0.1:0")
	}
	f.peers = &peerLinks{}
	for i := range instances {
		f.start(i)
		f.outOfTouch = append(f.outOfTouch, nil)
	}
	DeferCleanup(func() {
		for _, stop := range f.stops {
			stop()
		}
	})
	f.allReady()
	return f
}

// disturbed records that an instance has been out of touch from a moment until now.
func (f *crashFleet) disturbed(i int, from time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outOfTouch[i] = append(f.outOfTouch[i], period{from, time.Now()})
}

// inTouch reports whether an instance has been in touch for contactTime at a moment. f.mu
// must be held.
func (f *crashFleet) inTouch(i int, at time.Time) bool {
	return !slices.ContainsFunc(f.outOfTouch[i], func(p period) bool { return !at.Before(p.from) && at.Sub(p.to) <= contactTime })
}

// runClient sends requests with a path until the context ends; an empty path stands for
// sound requests, each with a path of its own on one of the two routes.
func (f *crashFleet) runClient(ctx context.Context, seed uint64, path string, pause time.Duration) {
	random := rand.New(rand.NewPCG(seed, 2))
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause/2 + time.Duration(random.Int64N(int64(pause)))):
		}
		target := path
		if target == "" {
			target = []string{"/form/", "/book/"}[random.IntN(2)] + strconv.FormatUint(random.Uint64(), 36)
		}
		f.sendOnce(ctx, client, random, target, path == "")
	}
}

// sendOnce sends one request to an instance that runs.
func (f *crashFleet) sendOnce(ctx context.Context, client *http.Client, random *rand.Rand, path string, sound bool) {
	i := random.IntN(len(f.fronts))
	id := strconv.FormatUint(random.Uint64(), 16)
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.fronts[i]+path, strings.NewReader("x"))
	if err != nil {
		return
	}
	q.Host = "h"
	q.Header.Set("Primrosehook-Request-Id", id)
	q.Header.Set("Primrosehook-Request-Deadline", "3000")
	at := time.Now()
	f.mu.Lock()
	f.sentTo[id] = i
	f.mu.Unlock()
	p, err := client.Do(q)
	served := false
	if err == nil {
		_, _ = io.Copy(io.Discard, p.Body)
		_ = p.Body.Close()
		served = p.StatusCode == http.StatusOK
	}
	var op *net.OpError
	if !sound || errors.As(err, &op) && op.Op == "dial" || ctx.Err() != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sound = append(f.sound, soundRequest{at, served})
}

// late returns how many client attempts for a resource reached servers, sent by instances in
// touch later than contactTime after the third crash by it, and how many there were in all.
func (f *crashFleet) late(resource string) (late, all int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []string
	for id := range f.arrivals[resource] {
		list = append(list, id)
	}
	at := func(id string) time.Time { return f.arrivals[resource][id] }
	slices.SortFunc(list, func(a, b string) int { return at(a).Compare(at(b)) })
	for n, id := range list {
		if n >= 3 && at(id).Sub(at(list[2])) > contactTime && f.inTouch(f.sentTo[id], at(id)) {
			late++
		}
	}
	return late, len(list)
}

// servedShare returns the share of sound requests that were served in the last so many
// seconds, and how many there were.
func (f *crashFleet) servedShare(last time.Duration) (share float64, count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	end, served := f.sound[len(f.sound)-1].at, 0
	for _, s := range f.sound {
		if end.Sub(s.at) > last {
			continue
		}
		count++
		if s.served {
			served++
		}
	}
	return float64(served) / float64(max(count, 1)), count
}

// restart stops an instance at once and starts it again under its addresses.
func (f *crashFleet) restart(i int, away time.Duration) {
	from := time.Now()
	f.stops[i]()
	<-f.ended[i]
	time.Sleep(away)
	f.run(i)
	f.disturbed(i, from)
}

// crashSeed returns the first seed of the fleets, which CRASH_SEED sets.
func crashSeed() uint64 {
	if v, err := strconv.ParseUint(os.Getenv("CRASH_SEED"), 10, 64); err == nil {
		return v
	}
	return 1
}

// fatalPaths returns the paths of so many fatal requests, each for a resource of its own by
// one route or two.
func fatalPaths(resources, routes int) map[string][]string {
	all := map[string][]string{}
	for i := range resources {
		name := fmt.Sprint("deadly", i)
		for r := range routes {
			all[name] = append(all[name], []string{"/form/", "/book/"}[(i+r)%2]+name)
		}
	}
	return all
}

// crashScenario is a number of resources whose requests crash servers, each by a number of
// routes, and what happens to the fleet meanwhile.
type crashScenario struct {
	name              string
	resources, routes int
	disturb           func(f *crashFleet)
}

// play runs the clients of a fleet, sound ones first and fatal ones beside them later.
func (f *crashFleet) play(seed uint64, disturb func(f *crashFleet)) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var clients sync.WaitGroup
	defer clients.Wait()
	for i := range 8 {
		clients.Go(func() { f.runClient(ctx, seed*1000+uint64(i), "", 100*time.Millisecond) })
	}
	time.Sleep(contactTime + 500*time.Millisecond)
	begin := time.Now()
	number := uint64(100)
	for _, paths := range f.fatal {
		for _, path := range paths {
			for range 4 {
				number++
				clientSeed := seed*1000 + number
				clients.Go(func() { f.runClient(ctx, clientSeed, path, 600*time.Millisecond) })
			}
		}
	}
	if disturb != nil {
		disturb(f)
	}
	time.Sleep(time.Until(begin.Add(fleetTime)))
	cancel()
}

// playScenarios plays scenarios at the same time and checks the bounds.
func playScenarios(list ...crashScenario) {
	const instances = 6
	var fleets []*crashFleet
	for _, s := range list {
		fleets = append(fleets, newCrashFleet(instances, fatalPaths(s.resources, s.routes)))
	}
	var plays sync.WaitGroup
	for i, f := range fleets {
		plays.Go(func() { f.play(crashSeed()+uint64(i), list[i].disturb) })
	}
	plays.Wait()
	for i, f := range fleets {
		for resource := range f.fatal {
			late, all := f.late(resource)
			GinkgoWriter.Printf("%s, %s: %d sent, %d of them late\n", list[i].name, resource, all, late)
			Expect(late).To(BeNumerically("<=", 3), "%s, %s, %d in all", list[i].name, resource, all)
		}
		share, count := f.servedShare(4 * time.Second)
		GinkgoWriter.Printf("%s: %.3f of %d sound requests served at the end\n", list[i].name, share, count)
		Expect(count).To(BeNumerically(">=", 40), list[i].name)
		Expect(share).To(BeNumerically(">=", 0.95), list[i].name)
	}
}

// Guards against servers that are down again and again under the same requests, whichever
// instances know of it, and against refusing the sound requests beside them.
var _ = Describe("A fleet sends requests that crash the three servers of a service three times more at most, and serves others", func() {
	It("while nothing else happens", func() {
		playScenarios(
			crashScenario{"one", 1, 1, nil},
			crashScenario{"one by two routes", 1, 2, nil},
			crashScenario{"two", 2, 1, nil},
			crashScenario{"five", 5, 1, nil},
		)
	})

	It("while instances are partitioned or restarted", func() {
		playScenarios(
			crashScenario{"one by two routes, four instances partitioned from all others", 1, 2, func(f *crashFleet) { f.cutOff(4, 8*time.Second) }},
			crashScenario{"two, the instances split in halves", 2, 1, func(f *crashFleet) { f.split(8 * time.Second) }},
			crashScenario{"two, two instances restarted after each other", 2, 1, func(f *crashFleet) {
				for i := range 2 {
					time.Sleep(2 * time.Second)
					f.restart(i, time.Second)
				}
			}},
			crashScenario{"one by two routes, all instances restarted", 1, 2, func(f *crashFleet) {
				time.Sleep(4 * time.Second)
				var all sync.WaitGroup
				for i := range f.fronts {
					all.Go(func() { f.restart(i, 200*time.Millisecond) })
				}
				all.Wait()
			}},
		)
	})

	It("while the store is away, registrations are wrong or servers end without a word", func() {
		playScenarios(
			crashScenario{"two, the store away", 2, 1, func(f *crashFleet) {
				time.Sleep(time.Second)
				f.metadata.SetFaults(true, false)
				time.Sleep(5 * time.Second)
				f.metadata.SetFaults(false, false)
			}},
			crashScenario{"one by two routes, registrations garbled and lapsed", 1, 2, func(f *crashFleet) {
				for range 6 {
					time.Sleep(time.Second)
					f.service.disturbRegistrations()
				}
			}},
			crashScenario{"two, servers that end without a word", 2, 1, func(f *crashFleet) { f.service.setSilent() }},
		)
	})
})

// cutOff partitions the first instances from each other and from all others for a time.
func (f *crashFleet) cutOff(count int, length time.Duration) {
	groups := map[string]int{}
	for i := range count {
		groups[f.controls[i]] = i + 1
	}
	f.partitionFor(groups, length)
}

// split partitions the instances into two halves for a time.
func (f *crashFleet) split(length time.Duration) {
	groups := map[string]int{}
	for i := range len(f.controls) / 2 {
		groups[f.controls[i]] = 1
	}
	f.partitionFor(groups, length)
}

// partitionFor partitions the instances for a time, those of a group other than zero from the
// store as well.
func (f *crashFleet) partitionFor(groups map[string]int, length time.Duration) {
	from := time.Now()
	f.peers.partition(groups)
	for i, address := range f.controls {
		f.storeCut[i].Store(groups[address] != 0)
	}
	time.Sleep(length)
	f.peers.partition(nil)
	for i, address := range f.controls {
		f.storeCut[i].Store(false)
		if groups[address] != 0 {
			f.disturbed(i, from)
		}
	}
}
