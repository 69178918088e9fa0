package soaker

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"primrosehook/auditor"
)

// Fault is a kind of fault.
type Fault struct {
	Name, Text string
	// start is set if it acts while the instances start, alone if nothing else acts beside it,
	// known if it is not played by default, since it breaks a promise.
	start, alone, known bool
	store, planned      bool
	// on returns how many instances or servers of a number it acts on, nil for neither.
	instances, servers func(n int) int
	// longest is how long it acts at most, zero if it has its own end.
	longest time.Duration
}

func one(int) int       { return 1 }
func several(n int) int { return max(2, n/3) }
func all(n int) int     { return n }

// Faults returns the kinds of faults.
func Faults() []Fault {
	return []Fault{
		{Name: "store-late", Text: "store refuses connections, answers 503 or gives no answer from before the instances' start until after it", start: true, store: true},
		{Name: "config-late", Text: "the first configuration is written after the instances' start", start: true, store: true},
		{Name: "store-away", Text: "store refuses connections", store: true, longest: 3 * time.Second},
		{Name: "store-refusing", Text: "store answers 503", store: true, longest: 3 * time.Second},
		{Name: "store-hanging", Text: "store gives no answer", store: true, longest: 3 * time.Second},
		{Name: "store-slow", Text: "store takes 200 ms for each call", store: true, longest: 3 * time.Second},
		{Name: auditor.KindChange, Text: "configuration with a new route", alone: true, store: true, planned: true, longest: probeTime},
		{Name: "stop", Text: "SIGTERM, and a start at once", alone: true, planned: true, instances: one},
		{Name: "stop-several", Text: "SIGTERM to a third of the instances, and a start at once", alone: true, planned: true, instances: several},
		{Name: "stop-unread", Text: "SIGTERM while nobody reads the log, and a start at once", alone: true, planned: true, instances: one},
		{Name: "reload-stop", Text: "SIGTERM with SIGHUP just before and during it", alone: true, planned: true, instances: one},
		{Name: auditor.KindReload, Text: "SIGHUP", planned: true, instances: one},
		{Name: "reload-early", Text: "SIGKILL, a start, and SIGHUP up to 30 ms later", instances: one, known: true},
		{Name: "kill", Text: "SIGKILL, and a start at once", instances: one},
		{Name: "kill-several", Text: "SIGKILL to a third of the instances, and a start at once", instances: several},
		{Name: "kill-all", Text: "SIGKILL to all instances, and a start at once", instances: all},
		{Name: "freeze", Text: "SIGSTOP, and SIGCONT later", instances: one, longest: 3 * time.Second},
		{Name: "reader-stops", Text: "nobody reads the log for a time", instances: one, longest: 4 * time.Second},
		{Name: "reader-ends", Text: "the reader of the log closes the pipe", instances: one, longest: 4 * time.Second},
		{Name: "server-kill", Text: "server ends without a word, and another one starts at its address", servers: one, longest: 2 * time.Second},
		{Name: "server-reset", Text: "server resets connections in the middle of answers", servers: one, longest: 2 * time.Second},
	}
}

// Names returns the names of the faults, with or without those that break a promise.
func Names(known bool) []string {
	var list []string
	for _, f := range Faults() {
		if known || !f.known {
			list = append(list, f.Name)
		}
	}
	return list
}

// step is one fault of a plan.
type step struct {
	Fault
	// at is its begin since that of the instances' start.
	at, length time.Duration
	// instances and servers are those that it acts on.
	on, servers []int
	// mode is that of a store that is late.
	mode string
	// delay is a short time within the fault.
	delay time.Duration
}

// Parts of a soak.
const (
	// startFault is how long after the start a fault of the start ends at most, quietTime the time
	// until other faults.
	startFault, quietTime = 4 * time.Second, 16 * time.Second
	// calm is the time before planned work in which nothing else acts, tail what is left for requests
	// after the recovery.
	calm, tail = 3500 * time.Millisecond, 6 * time.Second
	// assumed is how long a fault without a length is taken to act.
	assumed = 2 * time.Second
)

// selectFaults returns the faults of some names.
func selectFaults(names []string) ([]Fault, error) {
	var list []Fault
	for _, name := range names {
		i := slices.IndexFunc(Faults(), func(f Fault) bool { return f.Name == name })
		if i < 0 {
			return nil, eris.Errorf("there is no fault %q, see -h", name)
		}
		list = append(list, Faults()[i])
	}
	return list, nil
}

// draw returns the faults of a soak: one while the instances start, and then one or two at a time in
// an order in which each kind comes once before any comes again.
func draw(random *rand.Rand, faults []Fault, o Options) []step {
	var steps []step
	var first, later []Fault
	for _, f := range faults {
		if f.start {
			first = append(first, f)
		} else {
			later = append(later, f)
		}
	}
	at := quietTime / 2
	if len(first) > 0 {
		s := newStep(random, first[random.IntN(len(first))], o)
		s.length = startFault/8 + time.Duration(random.Int64N(int64(startFault*7/8)))
		if s.Name == "store-late" {
			s.mode = []string{modeAway, modeRefusing, modeHanging}[random.IntN(3)]
		}
		steps, at = append(steps, s), quietTime
	}
	end := o.Length - deploymentBounds().Recovery - tail
	var queue []Fault
	for len(later) > 0 {
		if len(queue) == 0 {
			queue = slices.Clone(later)
			random.Shuffle(len(queue), func(i, j int) { queue[i], queue[j] = queue[j], queue[i] })
		}
		s := newStep(random, queue[0], o)
		queue = queue[1:]
		s.at = at
		if s.alone {
			s.at += calm
		}
		done := s.at + max(s.length, assumed)
		round := []step{s}
		if !s.alone && len(queue) > 0 && !queue[0].alone && (!s.store || !queue[0].store) && random.IntN(2) == 0 {
			beside := newStep(random, queue[0], o)
			queue = queue[1:]
			beside.at = s.at + time.Duration(random.Int64N(int64(time.Second)))
			done = max(done, beside.at+max(beside.length, assumed))
			round = append(round, beside)
		}
		if done > end {
			break
		}
		steps = append(steps, round...)
		at = done + time.Second/2 + time.Duration(random.Int64N(int64(time.Second)))
	}
	return steps
}

func newStep(random *rand.Rand, f Fault, o Options) step {
	s := step{Fault: f, delay: time.Duration(random.Int64N(int64(30 * time.Millisecond)))}
	if f.longest > 0 {
		s.length = f.longest/4 + time.Duration(random.Int64N(int64(f.longest*3/4)))
	}
	if f.Name == auditor.KindChange {
		s.length = f.longest
	}
	if f.instances != nil {
		s.on = random.Perm(o.Instances)[:min(f.instances(o.Instances), o.Instances)]
		slices.Sort(s.on)
	}
	if f.servers != nil {
		servers := o.Servers + plainServers
		s.servers = random.Perm(servers)[:f.servers(servers)]
	}
	return s
}
