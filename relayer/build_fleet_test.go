package relayer_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"primrosehook/balancer"
	"primrosehook/matcher"
	"primrosehook/pinner"
	"primrosehook/registrar"
	"primrosehook/relayer"
)

// process is one start of a server, of one build.
type process struct {
	build       string
	incarnation string
	server      *http.Server
}

// buildServer is a server that may be restarted as another build, under its ID and address.
type buildServer struct {
	id, address string
	mu          sync.Mutex
	current     *process
	starts      int
}

// start starts a process of a build at the server's address.
func (s *buildServer) start(build string) {
	l, err := net.Listen("tcp", s.address)
	Expect(err).NotTo(HaveOccurred())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.address = l.Addr().String()
	s.starts++
	p := &process{build: build, incarnation: fmt.Sprintf("%s@%d", s.id, s.starts)}
	p.server = &http.Server{Handler: http.HandlerFunc(p.stream)}
	s.current = p
	go func() { _ = p.server.Serve(l) }()
}

// stop ends the server's process.
func (s *buildServer) stop() {
	s.mu.Lock()
	p := s.current
	s.current = nil
	s.mu.Unlock()
	if p != nil {
		_ = p.server.Close()
	}
}

// registration returns the server's registration, false while it is down.
func (s *buildServer) registration() (registrar.Server, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil {
		return registrar.Server{}, false
	}
	return registrar.Server{ID: s.id, Incarnation: s.current.incarnation, Build: s.current.build, Service: "svc", Address: s.address, Zone: "z", Slots: 50}, true
}

// lastBuildEvent is the last event of the streams of processes.
const lastBuildEvent = 8

// stream streams events that name the build.
func (p *process) stream(w http.ResponseWriter, q *http.Request) {
	from := 0
	_, _ = fmt.Sscan(q.Header.Get("Last"), &from)
	w.Header().Set("Id", q.Header.Get("Id"))
	w.Header().Set("Sign", "s")
	for i := from + 1; i <= lastBuildEvent; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, p.build)
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(15 * time.Millisecond):
		case <-q.Context().Done():
			return
		}
	}
}

// member is an instance of the fleet. A silent one takes no messages and answers none.
type member struct {
	world *buildWorld
	fleet *balancer.Fleet
	pins  *pinner.Pinner
	proxy *httptest.Server
	stop  context.CancelFunc
	// down and silent are the faults of the instance, blind is set while it does not read
	// the registry.
	down, silent, blind atomic.Bool
}

// Call implements pinner.Peers.
func (m *member) Call(ctx context.Context, address, _ string, request, reply any) error {
	to := m.world.members[address]
	if m.silent.Load() || to.silent.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	if m.down.Load() || to.down.Load() {
		return errors.New("connection refused")
	}
	switch q := request.(type) {
	case pinner.PinRequest:
		to.pins.Merge(q)
	case pinner.FindRequest:
		*reply.(*pinner.FindReply) = to.pins.Lookup(q)
	}
	return nil
}

// buildWorld is a fleet of instances before servers of two builds.
type buildWorld struct {
	servers []*buildServer
	members map[string]*member
	names   []string
}

func newBuildWorld(instances int, builds ...string) *buildWorld {
	w := &buildWorld{members: map[string]*member{}}
	for i, b := range builds {
		// An address of its own, since a socket of another test may get a free port of
		// 127.0.0.1 while the server is down.
		ip := net.IPv4(127, byte(1+rand.N(254)), byte(rand.N(256)), byte(1+rand.N(254)))
		s := &buildServer{id: fmt.Sprintf("s%d", i), address: net.JoinHostPort(ip.String(), "0")}
		s.start(b)
		w.servers = append(w.servers, s)
	}
	for i := range instances {
		w.names = append(w.names, "i"+strconv.Itoa(i))
	}
	for _, name := range w.names {
		w.members[name] = &member{world: w}
	}
	for _, name := range w.names {
		w.startMember(name)
	}
	return w
}

func (w *buildWorld) startMember(name string) {
	m := w.members[name]
	clock := clockwork.NewRealClock()
	ctx, stop := context.WithCancel(context.Background())
	m.stop = stop
	m.fleet = balancer.NewFleet("z", balancer.Hash(name), clock)
	m.pins = pinner.New(name, w.names, m, clock, zap.NewNop())
	r := relayer.New(plainCodec{}, m.fleet, newGuard(), clock, zap.NewNop(), relayer.WithOrigins(m.pins), relayer.WithRetries(10*time.Second, 1, 1000))
	r.SetTable(matcher.NewTable(1, []matcher.Route{{
		Name: "chat", Host: "h", Prefix: "/chat/", Kind: matcher.Streaming, Attempts: 3, Resumable: true,
		Timeout: 5 * time.Second, LatencyTarget: 500 * time.Millisecond, MaxEventGap: 100 * time.Millisecond, Splits: []matcher.Split{{Service: "svc", Weight: 1}},
	}}, []matcher.Service{{Name: "svc"}}, matcher.Limits{}))
	m.proxy = httptest.NewServer(r)
	m.readRegistry()
	m.down.Store(false)
	go m.pins.Run(ctx)
	go m.runReads(ctx)
}

// readRegistry reads the registry as it is now.
func (m *member) readRegistry() {
	var list []registrar.Server
	began := time.Now()
	for _, s := range m.world.servers {
		if r, ok := s.registration(); ok {
			list = append(list, r)
		}
	}
	m.fleet.Update(list)
	m.fleet.RecordRead(began)
}

func (m *member) runReads(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(200 * time.Millisecond):
			if !m.blind.Load() {
				m.readRegistry()
			}
		}
	}
}

func (m *member) kill() {
	m.down.Store(true)
	m.stop()
	m.proxy.CloseClientConnections()
	m.proxy.Close()
}

func (w *buildWorld) close() {
	for _, m := range w.members {
		if !m.down.Load() {
			m.kill()
		}
	}
	for _, s := range w.servers {
		s.stop()
	}
}

// read sends a client's try, and returns the events that it brings until most of them or its
// end.
func (m *member) read(id, resumes string, events []string, most int) ([]string, int) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, m.proxy.URL+"/chat/1", strings.NewReader(id))
	if err != nil {
		return events, 0
	}
	q.Host = "h"
	q.Header.Set("Id", id)
	if len(events) > 0 {
		q.Header.Set("Last", strconv.Itoa(len(events)))
		q.Header.Set("Resumes", resumes)
	}
	p, err := http.DefaultTransport.RoundTrip(q)
	if err != nil {
		return events, 0
	}
	defer p.Body.Close()
	for lines := bufio.NewScanner(p.Body); len(events) < most && lines.Scan(); {
		if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			events = append(events, data)
		}
	}
	return events, p.StatusCode
}

// outcome is what became of a stream.
type outcome struct {
	begun, takenUp, whole, mixed bool
}

// client begins a stream, leaves it after some events or is cut off, and takes it up at other
// instances. left is called when it has some events, with the instance that began the stream.
func (w *buildWorld) client(random *rand.Rand, id string, left func(m *member)) outcome {
	var events []string
	first, beginner := "", (*member)(nil)
	for try := range 3 {
		m := w.members[w.names[random.IntN(len(w.names))]]
		for m.down.Load() {
			m = w.members[w.names[random.IntN(len(w.names))]]
		}
		most := lastBuildEvent
		if first == "" {
			most = 1 + random.IntN(lastBuildEvent-1)
		}
		before := len(events)
		events, _ = m.read(fmt.Sprintf("%s-%d", id, try), first, events, most)
		if before == 0 && len(events) > 0 {
			first, beginner = fmt.Sprintf("%s-%d", id, try), m
			left(beginner)
		}
		if len(events) == lastBuildEvent {
			break
		}
	}
	o := outcome{begun: len(events) > 0, whole: len(events) == lastBuildEvent, takenUp: first != ""}
	for _, e := range events {
		o.mixed = o.mixed || e != events[0]
	}
	return o
}

// buildSeeds returns the seeds of a run: a few in CI, more with BUILDS_RUNS.
func buildSeeds() []uint64 {
	runs, err := strconv.Atoi(os.Getenv("BUILDS_RUNS"))
	if err != nil {
		runs = 6
	}
	seeds := make([]uint64, runs)
	for i := range seeds {
		seeds[i] = uint64(i + 1)
	}
	return seeds
}

// run sends streams while trouble disturbs the world, and sums up their outcomes.
func (w *buildWorld) run(seed uint64, streams int, left func(random *rand.Rand, m *member), trouble func(random *rand.Rand)) (begun, whole, mixed int) {
	defer w.close()
	var clients sync.WaitGroup
	outcomes := make([]outcome, streams)
	for i := range streams {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		clients.Go(func() {
			time.Sleep(time.Duration(random.IntN(3500)) * time.Millisecond)
			outcomes[i] = w.client(random, fmt.Sprintf("c%d", i), func(m *member) { left(random, m) })
		})
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer GinkgoRecover()
		trouble(rand.New(rand.NewPCG(seed, 1<<40)))
	}()
	clients.Wait()
	<-done
	for _, o := range outcomes {
		if o.begun {
			begun++
		}
		if o.whole {
			whole++
		}
		if o.mixed {
			mixed++
		}
	}
	return begun, whole, mixed
}

var _ = Describe("A fleet before servers of several builds", func() {
	calm := func(*rand.Rand, *member) {}

	// Guards against streams with events of two builds, whatever befalls the instances and
	// the servers, and against refusing the streams of builds that are still served.
	It("continues streams at their build although instances are killed, silent or blind and servers return as another build", func() {
		var work sync.WaitGroup
		for _, seed := range buildSeeds() {
			work.Go(func() {
				defer GinkgoRecover()
				w := newBuildWorld(5, "a", "a", "a", "b", "b")
				begun, whole, mixed := w.run(seed, 150, calm, func(random *rand.Rand) {
					for range 12 {
						m := w.members[w.names[random.IntN(len(w.names))]]
						s := w.servers[random.IntN(len(w.servers))]
						switch random.IntN(5) {
						case 0:
							m.silent.Store(true)
							time.AfterFunc(400*time.Millisecond, func() { m.silent.Store(false) })
						case 1:
							m.blind.Store(true)
							time.AfterFunc(1200*time.Millisecond, func() { m.blind.Store(false) })
						case 2, 3:
							s.stop()
							time.Sleep(100 * time.Millisecond)
							s.start([]string{"a", "b"}[random.IntN(2)])
						case 4:
							if m != w.members["i0"] && !m.down.Load() {
								m.kill()
							}
						}
						time.Sleep(time.Duration(100+random.IntN(200)) * time.Millisecond)
					}
				})
				Expect(mixed).To(BeZero(), "seed %d", seed)
				Expect(begun).To(BeNumerically(">", 50), "seed %d", seed)
				Expect(float64(whole)).To(BeNumerically(">", 0.3*float64(begun)), "seed %d", seed)
			})
		}
		work.Wait()
	})

	// Guards against losing streams with the instance that began them.
	It("continues nearly all streams when the instance that began them is killed right before", func() {
		var work sync.WaitGroup
		for _, seed := range buildSeeds() {
			work.Go(func() {
				defer GinkgoRecover()
				w := newBuildWorld(6, "a", "a", "b", "b")
				var killed atomic.Int64
				begun, whole, mixed := w.run(seed, 150, func(_ *rand.Rand, m *member) {
					time.Sleep(20 * time.Millisecond)
					if killed.Add(1) <= 2 && m.down.CompareAndSwap(false, true) {
						m.kill()
					}
				}, func(*rand.Rand) {})
				Expect(mixed).To(BeZero(), "seed %d", seed)
				Expect(begun).To(BeNumerically(">", 100), "seed %d", seed)
				Expect(float64(whole)).To(BeNumerically(">", 0.85*float64(begun)), "seed %d", seed)
			})
		}
		work.Wait()
	})
})
