package quarantiner_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/quarantiner"
	"primrosehook/ranker"
	"primrosehook/sequencer"
)

const (
	// restartTime is how long a crashed server is away, requestFleetEnd the length of a run;
	// disturbances and partitions end disturbedTime after its begin.
	restartTime     = 3 * time.Second
	requestFleetEnd = 45 * time.Second
	disturbedTime   = 30 * time.Second
	// unsettledTime is how long an instance is careful after a third of the servers were lost.
	unsettledTime = 10 * time.Second
	memberTTL     = 3 * time.Second
)

// requestInstance is one instance of the modelled fleet, with a clock of its own.
type requestInstance struct {
	name  string
	clock *clockwork.FakeClock
	guard *quarantiner.Guard
	ranks *ranker.Ranker
	turns *sequencer.Turns
	// awayUntil is until when it does not run, cutUntil until when it reaches neither other
	// instances nor the registry. disturbances are when it was either.
	awayUntil, cutUntil, nextExchange, reportedAt time.Time
	disturbances                                  [][2]time.Time
	// lostAt is when it found a server to take no connections, by incarnation.
	lostAt map[string]time.Time
	// replaced are the incarnations that it has yet to find replaced.
	replaced []string
}

// requestServer is one server; it is down until a time.
type requestServer struct {
	name      string
	starts    int
	downUntil time.Time
	running   []*sentRequest
}

func (s *requestServer) incarnation() string { return fmt.Sprint(s.name, "-", s.starts) }

// sentRequest is one request at a server.
type sentRequest struct {
	id       quarantiner.Identity
	attempt  int
	fatal    bool
	instance *requestInstance
	end      time.Time
	repeats  int
	// owner has the turn of key, nil if none was taken.
	owner *requestInstance
	key   uint64
}

// plannedCall is something that happens later.
type plannedCall struct {
	at   time.Time
	call func(now time.Time)
}

// requestFleet is a fleet of instances and three servers in steps of modelStep, under
// requests that crash the servers and sound ones.
type requestFleet struct {
	random    *rand.Rand
	start     time.Time
	now       time.Time
	instances []*requestInstance
	servers   []*requestServer
	holder    int
	holderAt  time.Time
	planned   []plannedCall
	// silent servers end without refusing connections at once.
	silent bool
	// crashes are when a server crashed under each resource, sends when the attempts of
	// clients for it were first sent, and by which instance.
	crashes  map[uint64][]time.Time
	sends    map[uint64]map[int]sendRecord
	attempts int
	// sound counts the sound requests of the last ten seconds, served those that were served.
	sound, served int
}

type sendRecord struct {
	at       time.Time
	instance *requestInstance
}

func newRequestFleet(seed uint64, instances int, clocksApart bool) *requestFleet {
	start := time.Unix(1_000_000, 0)
	f := &requestFleet{
		random: rand.New(rand.NewPCG(seed, 7)), start: start, now: start,
		crashes: map[uint64][]time.Time{}, sends: map[uint64]map[int]sendRecord{},
	}
	for i := range instances {
		at := start
		if clocksApart {
			at = at.Add(time.Duration(f.random.IntN(8001)-4000) * time.Millisecond)
		}
		in := &requestInstance{name: fmt.Sprint("i", i), clock: clockwork.NewFakeClockAt(at)}
		f.instances = append(f.instances, in)
	}
	for _, in := range f.instances {
		f.boot(in)
	}
	for i := range 3 {
		f.servers = append(f.servers, &requestServer{name: fmt.Sprint("s", i)})
	}
	return f
}

// boot starts an instance without any state.
func (f *requestFleet) boot(in *requestInstance) {
	var names []string
	for _, other := range f.instances {
		names = append(names, other.name)
	}
	in.guard, in.turns, in.lostAt, in.replaced = quarantiner.NewGuard(in.clock, quarantiner.DefaultOptions()), sequencer.NewTurns(), map[string]time.Time{}, nil
	in.ranks = ranker.New(in.name, names, in.clock, time.Second)
}

// away reports whether an instance does not run, cut whether it reaches no other one.
func (f *requestFleet) away(in *requestInstance) bool { return f.now.Before(in.awayUntil) }
func (f *requestFleet) cut(in *requestInstance) bool  { return f.now.Before(in.cutUntil) }

func (f *requestFleet) reaches(a, b *requestInstance) bool {
	return a == b || !f.away(a) && !f.away(b) && !f.cut(a) && !f.cut(b)
}

// inTouch reports whether an instance has been in touch for contactTime at a moment.
func (in *requestInstance) inTouch(at time.Time) bool {
	return !slices.ContainsFunc(in.disturbances, func(p [2]time.Time) bool { return !at.Before(p[0]) && at.Sub(p[1]) <= contactTime })
}

// later plans a call.
func (f *requestFleet) later(delay time.Duration, call func(now time.Time)) {
	f.planned = append(f.planned, plannedCall{f.now.Add(delay), call})
}

// arrive handles a request of a client at a random instance.
func (f *requestFleet) arrive(id quarantiner.Identity, fatal bool) {
	in := f.instances[f.random.IntN(len(f.instances))]
	if f.away(in) {
		return
	}
	f.attempts++
	q := &sentRequest{id: id, attempt: f.attempts, fatal: fatal, instance: in}
	if !fatal && f.now.Sub(f.start) > requestFleetEnd-10*time.Second {
		f.sound++
	}
	f.send(q, false)
}

// send sends a request to a server, if the rules of the relayer allow it.
func (f *requestFleet) send(q *sentRequest, cutOff bool) {
	in := q.instance
	if f.away(in) || in.guard.Remaining(q.id) > 0 {
		return
	}
	s := f.chooseServer(in)
	if s == nil {
		return
	}
	unsettled := 0
	for _, at := range in.lostAt {
		if f.now.Sub(at) < unsettledTime {
			unsettled++
		}
	}
	q.owner = nil
	if (cutOff || in.guard.Crashes(q.id) > 0 || unsettled > 0) && !in.guard.Completed(q.id) {
		q.key = in.guard.Key(q.id)
		owner, ok := f.takeTurn(in, q.key)
		if !ok {
			return
		}
		q.owner = owner
	}
	if q.fatal {
		if f.sends[q.id.Resource] == nil {
			f.sends[q.id.Resource] = map[int]sendRecord{}
		}
		if _, ok := f.sends[q.id.Resource][q.attempt]; !ok {
			f.sends[q.id.Resource][q.attempt] = sendRecord{f.now, in}
		}
	}
	q.end = f.now.Add(50*time.Millisecond + time.Duration(f.random.IntN(70))*time.Millisecond)
	s.running = append(s.running, q)
}

// chooseServer returns a server that takes connections, and records those that do not.
func (f *requestFleet) chooseServer(in *requestInstance) *requestServer {
	for _, i := range f.random.Perm(len(f.servers)) {
		s := f.servers[i]
		if !f.now.Before(s.downUntil) && len(s.running) < 6 {
			return s
		}
		if f.now.Before(s.downUntil) {
			in.lostAt[s.incarnation()] = f.now
		}
	}
	return nil
}

// takeTurn takes the turn of a key as sequencer.Sequencer does.
func (f *requestFleet) takeTurn(in *requestInstance, key uint64) (*requestInstance, bool) {
	for _, name := range in.ranks.Owners(strconv.FormatUint(key, 16), 3) {
		if name == in.name {
			break
		}
		i := slices.IndexFunc(f.instances, func(o *requestInstance) bool { return o.name == name })
		if owner := f.instances[i]; f.reaches(in, owner) {
			_, ok := owner.turns.Take(owner.clock.Now(), key)
			return owner, ok
		}
		in.ranks.BackOff(name)
	}
	_, ok := in.turns.Take(in.clock.Now(), key)
	return in, ok
}

// endTurn ends the turn of a request, if its owner can be told.
func (f *requestFleet) endTurn(q *sentRequest, broken bool) {
	if q.owner != nil && f.reaches(q.instance, q.owner) {
		q.owner.turns.End(q.owner.clock.Now(), q.key, broken)
	}
}

// run ends the requests of a server that are due.
func (f *requestFleet) run(s *requestServer) {
	var left []*sentRequest
	crashed := false
	for _, q := range s.running {
		switch {
		case f.now.Before(q.end):
			left = append(left, q)
		case q.fatal:
			crashed = true
			left = append(left, q)
			f.crashes[q.id.Resource] = append(f.crashes[q.id.Resource], f.now)
		default:
			f.endTurn(q, false)
			if !f.away(q.instance) {
				q.instance.guard.RequestCompleted(q.id)
				if f.now.Sub(f.start) > requestFleetEnd-10*time.Second {
					f.served++
				}
			}
		}
	}
	s.running = left
	if crashed {
		f.crash(s)
	}
}

// crash ends a server. Its requests are cut off and sent once more; the crash is confirmed a
// moment later, or, by an instance that can't, once another incarnation is registered.
func (f *requestFleet) crash(s *requestServer) {
	lost, incarnation := s.running, s.incarnation()
	s.running, s.starts, s.downUntil = nil, s.starts+1, f.now.Add(restartTime)
	for _, q := range lost {
		in := q.instance
		if f.away(in) {
			continue
		}
		delay := 5 * time.Millisecond
		if f.silent {
			delay = 600 * time.Millisecond
		}
		f.later(delay, func(time.Time) {
			if f.away(in) {
				return
			}
			in.guard.ConnectionBroke(q.id, incarnation)
			f.endTurn(q, true)
			if q.repeats == 0 && in.guard.Crashes(q.id) < 2 {
				q.repeats++
				f.send(q, true)
			}
		})
		if !f.silent && !f.cut(in) {
			f.later(30*time.Millisecond, func(time.Time) {
				if !f.away(in) {
					in.guard.EngineLost(incarnation)
				}
			})
		}
	}
	f.later(restartTime, func(time.Time) {
		for _, in := range f.instances {
			in.replaced = append(in.replaced, incarnation)
		}
	})
}

// exchange reports to the holder, which also shows who else does, and reads the registry.
func (f *requestFleet) exchange(i int) {
	in := f.instances[i]
	if f.away(in) || f.now.Before(in.nextExchange) {
		return
	}
	in.nextExchange = f.now.Add(150*time.Millisecond + time.Duration(f.random.IntN(30))*time.Millisecond)
	if f.cut(in) {
		return
	}
	for _, incarnation := range in.replaced {
		in.guard.EngineReplaced(incarnation)
	}
	in.replaced = nil
	holder := f.instances[f.holder]
	if f.now.Before(f.holderAt) || !f.reaches(in, holder) || f.random.IntN(20) == 0 {
		return
	}
	in.reportedAt = f.now
	holder.guard.Merge(in.guard.ExportRecent(5 * time.Second))
	in.guard.Merge(holder.guard.ExportRecent(5 * time.Second))
	var members []string
	for _, other := range f.instances {
		if f.now.Sub(other.reportedAt) < memberTTL {
			members = append(members, other.name)
		}
	}
	in.ranks.Update(members)
}

// disturb lets an instance, the holder among them, restart, freeze or lose sight of all
// others now and then.
func (f *requestFleet) disturb() {
	if f.random.IntN(int(4*time.Second/modelStep)) != 0 {
		return
	}
	i := f.random.IntN(len(f.instances))
	if f.random.IntN(3) == 0 {
		i = f.holder
	}
	f.disturbOne(i, f.random.IntN(3), time.Duration(1000+f.random.IntN(3000))*time.Millisecond)
}

// disturbOne restarts an instance (kind 0), freezes it (1) or cuts it off (2) for a time.
func (f *requestFleet) disturbOne(i, kind int, length time.Duration) {
	in, until := f.instances[i], f.now.Add(length)
	in.disturbances = append(in.disturbances, [2]time.Time{f.now, until})
	switch kind {
	case 0:
		f.boot(in)
		in.awayUntil = until
	case 1:
		in.awayUntil = until
	case 2:
		in.cutUntil = until
	}
	if i == f.holder {
		f.electHolder()
	}
}

// electHolder makes an instance that is not cut off the holder, after some time.
func (f *requestFleet) electHolder() {
	for range 100 {
		f.holder = f.random.IntN(len(f.instances))
		if in := f.instances[f.holder]; !f.cut(in) && !f.away(in) {
			break
		}
	}
	f.holderAt = f.now.Add(time.Duration(500+f.random.IntN(2500)) * time.Millisecond)
}

// play runs the model: sound requests, fatal ones for each resource by each route, and what
// happens at the begin of the fatal ones and then now and then.
func (f *requestFleet) play(resources, routes int, begin func(f *requestFleet), disturbed bool) {
	begun := false
	for ; f.now.Sub(f.start) < requestFleetEnd; f.now = f.now.Add(modelStep) {
		age := f.now.Sub(f.start)
		for range arrivals(f.random, 22) {
			f.arrive(quarantiner.Identity{Digest: f.random.Uint64(), Resource: f.random.Uint64()}, false)
		}
		if age > 4*time.Second {
			if !begun && begin != nil {
				begin(f)
			}
			begun = true
			for r := range resources {
				for route := range routes {
					for range arrivals(f.random, 2.7) {
						f.arrive(quarantiner.Identity{Digest: uint64(100*r + route + 1), Resource: uint64(7000 + r)}, true)
					}
				}
			}
		}
		for _, s := range f.servers {
			f.run(s)
		}
		due := slices.Clone(f.planned)
		f.planned = slices.DeleteFunc(f.planned, func(p plannedCall) bool { return !f.now.Before(p.at) })
		for _, p := range due {
			if !f.now.Before(p.at) {
				p.call(f.now)
			}
		}
		for i := range f.instances {
			f.exchange(i)
		}
		if disturbed && begun && age < disturbedTime {
			f.disturb()
		}
		for _, in := range f.instances {
			in.clock.Advance(modelStep)
		}
	}
}

// arrivals draws how many requests arrive in a step at a rate a second.
func arrivals(random *rand.Rand, rate float64) int {
	n, expected := 0, rate*modelStep.Seconds()
	for ; random.Float64() < expected; expected-- {
		n++
	}
	return n
}

// problems returns which bounds a run has broken.
func (f *requestFleet) problems() string {
	var list []string
	for resource, sends := range f.sends {
		late := 0
		for _, s := range sends {
			if c := f.crashes[resource]; len(c) >= 3 && s.at.Sub(c[2]) > contactTime && s.instance.inTouch(s.at) {
				late++
			}
		}
		if late > 3 {
			list = append(list, fmt.Sprintf("resource %d: %d crashes, sent %d times later", resource, len(f.crashes[resource]), late))
		}
	}
	if f.served < f.sound*19/20 {
		list = append(list, fmt.Sprintf("%d of %d sound requests served at the end", f.served, f.sound))
	}
	slices.Sort(list)
	return strings.Join(list, "; ")
}

// cutOffMost partitions four of six instances, the holder among them, from all others.
func cutOffMost(f *requestFleet) {
	for i := range 4 {
		f.disturbOne((f.holder+i)%len(f.instances), 2, 14*time.Second)
	}
}

// restartAll restarts all instances at once, some seconds later.
func restartAll(f *requestFleet) {
	f.later(6*time.Second, func(time.Time) {
		for i := range f.instances {
			f.disturbOne(i, 0, time.Second)
		}
	})
}

var _ = Describe("A modelled fleet under requests that crash the three servers of a service", func() {
	// Guards against servers that are down again and again under the same requests, sent by
	// any instance, while instances are away, cut off or restarted, and against refusing the
	// sound requests beside them.
	DescribeTable("sends each at most three times more once it has crashed three, and serves others",
		func(resources, routes int, begin func(f *requestFleet), disturbed, clocksApart, silent bool) {
			var list []string
			for _, seed := range requestSeeds(16) {
				f := newRequestFleet(seed, 6, clocksApart)
				f.silent = silent
				f.play(resources, routes, begin, disturbed)
				if p := f.problems(); p != "" {
					list = append(list, fmt.Sprintf("seed %d: %s", seed, p))
				}
				for resource, c := range f.crashes {
					GinkgoWriter.Printf("seed %d resource %d: %d crashes, %d sent\n", seed, resource, len(c), len(f.sends[resource]))
				}
			}
			Expect(list).To(BeEmpty())
		},
		Entry("one", 1, 1, nil, false, false, false),
		Entry("one by two routes", 1, 2, nil, false, false, false),
		Entry("two", 2, 1, nil, false, false, false),
		Entry("five", 5, 1, nil, false, false, false),
		Entry("one by two routes, four of six instances partitioned", 1, 2, cutOffMost, false, false, false),
		Entry("two, four of six instances partitioned", 2, 1, cutOffMost, false, false, false),
		Entry("one by two routes, all instances restarted", 1, 2, restartAll, false, false, false),
		Entry("two, instances that come, go, freeze and are cut off", 2, 1, nil, true, false, false),
		Entry("five, instances that come, go, freeze and are cut off, clocks apart", 5, 1, nil, true, true, false),
		Entry("one by two routes, clocks apart", 1, 2, nil, false, true, false),
		Entry("two, servers that end without a word", 2, 1, nil, false, false, true),
		Entry("two, servers that end without a word, instances that come, go, freeze and are cut off", 2, 1, nil, true, false, true),
	)
})

// requestSeeds returns the seeds of a run: so many from the first one, which REQUESTS_SEED
// and REQUESTS_RUNS set, and without those also some that fail if requests take no turns.
func requestSeeds(count int) []uint64 {
	var list []uint64
	first := uint64(1)
	if v, err := strconv.ParseUint(os.Getenv("REQUESTS_SEED"), 10, 64); err == nil {
		first = v
	}
	runs, err := strconv.Atoi(os.Getenv("REQUESTS_RUNS"))
	if err != nil {
		runs, list = count, []uint64{42, 55, 86, 98}
	}
	for i := range uint64(runs) {
		list = append(list, first+i)
	}
	return list
}
