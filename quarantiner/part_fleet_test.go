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
)

// modelStep is the resolution of the model of a fleet, contactTime the time within which
// instances that are in touch must know of each other, modelEnd the length of a run.
const (
	modelStep   = 10 * time.Millisecond
	contactTime = 3 * time.Second
	modelEnd    = 40 * time.Second
	// modelBeginning is how long after its first event an answer may still be one that
	// crashes its server by beginning.
	modelBeginning = 500 * time.Millisecond
)

// modelInstance is one instance of the modelled fleet.
type modelInstance struct {
	guard *quarantiner.PartGuard
	// awayUntil is until when the instance does not run, cutUntil until when it reaches no
	// other instance. outOfTouch is when it was last either, or started.
	awayUntil, cutUntil, outOfTouch, nextExchange time.Time
}

// modelServer is one server; it is down until a time.
type modelServer struct {
	downUntil time.Time
	starts    int
	running   []*modelRequest
}

// modelRequest is one request at a server.
type modelRequest struct {
	id         uint64
	parts      []uint64
	fatal      bool
	instance   int
	first, end time.Time
	repeats    int
	survived   bool
}

// modelFleet is a fleet of instances and servers in steps of modelStep.
type modelFleet struct {
	random    *rand.Rand
	clock     *clockwork.FakeClock
	start     time.Time
	instances []*modelInstance
	servers   []*modelServer
	fatal     []uint64
	holder    int
	holderAt  time.Time
	// crashes are when a server crashed under each fatal part, sends when a request with
	// it was sent by an instance in touch.
	crashes, sends map[uint64][]time.Time
	// sound counts sound requests that share parts with fatal ones, later than twice
	// contactTime after the fifth crash, refused those of them that were refused.
	sound, refused int
	allRefused     int
}

func newModelFleet(seed uint64, instances, servers, fatal int) *modelFleet {
	clock := clockwork.NewFakeClock()
	f := &modelFleet{
		random: rand.New(rand.NewPCG(seed, uint64(instances))), clock: clock, start: clock.Now(),
		crashes: map[uint64][]time.Time{}, sends: map[uint64][]time.Time{},
	}
	for range instances {
		f.instances = append(f.instances, &modelInstance{guard: quarantiner.NewPartGuard(clock), outOfTouch: clock.Now()})
	}
	for range servers {
		f.servers = append(f.servers, &modelServer{})
	}
	for i := range fatal {
		f.fatal = append(f.fatal, uint64(900+i))
	}
	return f
}

// prefix draws the parts of a prompt. The first part is one of two, the second one of
// twenty of which some are frequent. A fatal part comes after or before the second one.
func (f *modelFleet) prefix(fatal uint64) []uint64 {
	first, second := uint64(1+f.random.IntN(2)), uint64(10+f.random.IntN(1+f.random.IntN(20)))
	switch {
	case fatal == 0:
		return []uint64{first, second}
	case fatal%2 == 0:
		return []uint64{1, 10, fatal}
	}
	return []uint64{1, fatal, second}
}

// between draws a duration.
func (f *modelFleet) between(least, most time.Duration) time.Duration {
	return least + time.Duration(f.random.Int64N(int64(most-least)+1))
}

// arrive sends a request to a random instance that runs.
func (f *modelFleet) arrive(now time.Time, fatal uint64) {
	i := f.random.IntN(len(f.instances))
	if now.Before(f.instances[i].awayUntil) {
		return
	}
	q := &modelRequest{id: f.random.Uint64(), parts: f.prefix(fatal), fatal: fatal != 0, instance: i}
	remaining, _ := f.instances[i].guard.Admit(q.parts)
	if fatal == 0 {
		f.countSound(now, q, remaining > 0)
	}
	if remaining == 0 {
		f.send(now, q)
	}
}

// countSound counts a sound request.
func (f *modelFleet) countSound(now time.Time, q *modelRequest, refused bool) {
	if refused {
		f.allRefused++
	}
	if q.parts[0] != 1 || !f.settled(now, 2*contactTime) {
		return
	}
	f.sound++
	if refused {
		f.refused++
	}
}

// settled reports whether the fifth crash under each fatal part, or the last one if
// there are fewer, is longer ago than a time.
func (f *modelFleet) settled(now time.Time, age time.Duration) bool {
	for _, p := range f.fatal {
		n := min(len(f.crashes[p]), 5)
		if n == 0 || now.Sub(f.crashes[p][n-1]) <= age {
			return false
		}
	}
	return true
}

// send sends a request to the less loaded one of two servers.
func (f *modelFleet) send(now time.Time, q *modelRequest) {
	var up []*modelServer
	for _, s := range f.servers {
		if !now.Before(s.downUntil) {
			up = append(up, s)
		}
	}
	if len(up) == 0 {
		return
	}
	s, other := up[f.random.IntN(len(up))], up[f.random.IntN(len(up))]
	if len(other.running) < len(s.running) {
		s = other
	}
	q.first = now.Add(f.between(50*time.Millisecond, 400*time.Millisecond))
	q.end = q.first.Add(f.between(500*time.Millisecond, 3*time.Second))
	s.running = append(s.running, q)
	in := f.instances[q.instance]
	if q.fatal && now.Sub(in.outOfTouch) > contactTime {
		for _, p := range q.parts {
			if slices.Contains(f.fatal, p) {
				f.sends[p] = append(f.sends[p], now)
			}
		}
	}
}

// run moves a server's requests on.
func (s *modelServer) run(f *modelFleet, now time.Time, name string) {
	var left []*modelRequest
	crashed := false
	for _, q := range s.running {
		g := f.instances[q.instance].guard
		switch {
		case q.fatal && !now.Before(q.first):
			crashed = true
			for _, p := range q.parts {
				if slices.Contains(f.fatal, p) {
					f.crashes[p] = append(f.crashes[p], now)
				}
			}
		case !q.survived && !now.Before(q.first.Add(modelBeginning)):
			q.survived = true
			g.Survived(q.parts)
		}
		if now.Before(q.end) {
			left = append(left, q)
		}
	}
	s.running = left
	if crashed {
		s.crash(f, now, name)
	}
}

// crash ends a server; its requests are repeated once if they are not suspected.
func (s *modelServer) crash(f *modelFleet, now time.Time, name string) {
	lost := s.running
	s.running, s.starts = nil, s.starts+1
	s.downUntil = now.Add(f.between(time.Second, 4*time.Second))
	incarnation := fmt.Sprint(name, "-", s.starts)
	begun := func(q *modelRequest) bool { return now.Before(q.first.Add(modelBeginning)) }
	for _, q := range lost {
		if begun(q) {
			f.instances[q.instance].guard.ConnectionBroke(quarantiner.CutRequest{ID: q.id, Parts: q.parts}, incarnation)
		}
	}
	for _, q := range lost {
		f.instances[q.instance].guard.EngineLost(incarnation)
	}
	for _, q := range lost {
		in := f.instances[q.instance]
		if q.repeats > 0 || now.Before(in.awayUntil) || in.guard.Quarantined(q.parts) || begun(q) && in.guard.Suspected(q.parts) {
			continue
		}
		f.send(now, &modelRequest{id: q.id, parts: q.parts, fatal: q.fatal, instance: q.instance, repeats: 1})
	}
}

// exchange reports to the holder, or to nobody while there is none.
func (f *modelFleet) exchange(now time.Time, i int) {
	in := f.instances[i]
	if now.Before(in.nextExchange) || now.Before(in.awayUntil) {
		return
	}
	in.nextExchange = now.Add(max(150*time.Millisecond, time.Duration(len(f.instances))*4*time.Millisecond) + f.between(0, 30*time.Millisecond))
	holder := f.instances[f.holder]
	reachable := i == f.holder || !now.Before(in.cutUntil) && !now.Before(holder.cutUntil)
	if now.Before(f.holderAt) || now.Before(holder.awayUntil) || !reachable || f.random.IntN(20) == 0 {
		return
	}
	in.guard.ApplyReply(holder.guard.ServeReport(in.guard.Report()))
}

// disturb lets instances leave, freeze and lose sight of each other now and then, the
// holder among them.
func (f *modelFleet) disturb(now time.Time) {
	rate := int(4 * time.Second / modelStep)
	if f.random.IntN(rate) != 0 {
		return
	}
	i := f.random.IntN(len(f.instances))
	if f.random.IntN(3) == 0 {
		i = f.holder
	}
	in, length := f.instances[i], f.between(time.Second, 4*time.Second)
	switch f.random.IntN(3) {
	case 0:
		in.guard, in.awayUntil, in.outOfTouch = quarantiner.NewPartGuard(f.clock), now.Add(length), now.Add(length)
	case 1:
		in.awayUntil, in.outOfTouch = now.Add(length), now.Add(length)
	case 2:
		in.cutUntil, in.outOfTouch = now.Add(length), now.Add(length)
	}
	if i == f.holder {
		f.holder, f.holderAt = f.random.IntN(len(f.instances)), now.Add(f.between(500*time.Millisecond, 2*time.Second))
		for _, in := range f.instances {
			in.guard.Resend()
		}
	}
}

// play runs the model: sound requests at a rate, fatal ones with each part at another,
// from a few seconds on.
func (f *modelFleet) play(soundRate, fatalRate float64, disturbed bool) {
	for now := f.start; now.Sub(f.start) < modelEnd; now = f.clock.Now() {
		for range f.arrivals(soundRate) {
			f.arrive(now, 0)
		}
		if now.Sub(f.start) > 4*time.Second {
			for _, p := range f.fatal {
				for range f.arrivals(fatalRate) {
					f.arrive(now, p)
				}
			}
		}
		for i, s := range f.servers {
			s.run(f, now, fmt.Sprint("s", i))
		}
		for i := range f.instances {
			f.exchange(now, i)
		}
		if disturbed {
			f.disturb(now)
		}
		f.clock.Advance(modelStep)
	}
}

// arrivals draws how many requests arrive in a step.
func (f *modelFleet) arrivals(rate float64) int {
	n, expected := 0, rate*modelStep.Seconds()
	for ; f.random.Float64() < expected; expected-- {
		n++
	}
	return n
}

// problems returns which bounds a run has broken.
func (f *modelFleet) problems() string {
	var list []string
	for _, p := range f.fatal {
		c := f.crashes[p]
		late := 0
		for _, at := range f.sends[p] {
			if len(c) >= 5 && at.Sub(c[4]) > contactTime {
				late++
			}
		}
		if late > 3 {
			list = append(list, fmt.Sprintf("part %d: %d crashes, sent %d times later", p, len(c), late))
		}
	}
	if f.sound >= 20 && f.refused*2 > f.sound {
		list = append(list, fmt.Sprintf("%d of %d sound requests refused", f.refused, f.sound))
	}
	return strings.Join(list, "; ")
}

// modelSeeds returns the seeds of a run: so many from the first one, which PARTS_SEED and
// PARTS_RUNS set.
func modelSeeds(count int) (first uint64, runs int) {
	first, runs = 1, count
	if v, err := strconv.ParseUint(os.Getenv("PARTS_SEED"), 10, 64); err == nil {
		first = v
	}
	if v, err := strconv.Atoi(os.Getenv("PARTS_RUNS")); err == nil {
		runs = v
	}
	return first, runs
}

var _ = Describe("A fleet under requests with parts that crash servers", func() {
	// Guards against servers that crash again and again under requests that have only a
	// part of the prompt in common, and against refusing the sound ones beside them.
	DescribeTable("learns the fatal parts together and goes on serving others",
		func(instances, servers, fatal int, soundRate, fatalRate float64, disturbed bool, count int) {
			first, runs := modelSeeds(count)
			var list []string
			for i := range uint64(runs) {
				f := newModelFleet(first+i, instances, servers, fatal)
				f.play(soundRate, fatalRate, disturbed)
				if p := f.problems(); p != "" {
					list = append(list, fmt.Sprintf("seed %d: %s", first+i, p))
				}
				for _, p := range f.fatal {
					GinkgoWriter.Printf("seed %d part %d: %d crashes\n", first+i, p, len(f.crashes[p]))
				}
				GinkgoWriter.Printf("seed %d: %d of %d sound requests refused, %d in all\n", first+i, f.refused, f.sound, f.allRefused)
			}
			Expect(list).To(BeEmpty())
		},
		Entry("6 instances, one part", 6, 9, 1, 60.0, 1.7, false, 10),
		Entry("6 instances, three parts", 6, 9, 3, 60.0, 1.7, false, 10),
		Entry("6 instances, one part, frequent", 6, 9, 1, 60.0, 10.0, false, 10),
		Entry("6 instances, three parts in a quarter of the requests", 6, 9, 3, 60.0, 5.0, false, 10),
		Entry("6 instances, one part, rare", 6, 9, 1, 60.0, 0.5, false, 10),
		Entry("6 instances that come, go, freeze and are cut off", 6, 9, 2, 60.0, 1.7, true, 20),
		Entry("80 instances, two parts", 80, 60, 2, 600.0, 5.0, false, 3),
		Entry("80 instances that come, go, freeze and are cut off", 80, 60, 2, 600.0, 5.0, true, 3),
	)
})
