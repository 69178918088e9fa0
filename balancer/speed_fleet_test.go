package balancer_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/balancer"
	"primrosehook/registrar"
)

const (
	modelServers, modelInstances = 60, 66
	modelPromptTokens            = 1460
	modelChunk                   = 2048
	modelPrefillRate             = 19.1
	modelStep                    = 8.87
	modelEventTokens             = 4
	modelEvents                  = 43
	modelExchange                = 150 * time.Millisecond
	modelDuration                = 40 * time.Second
	modelWarmUp                  = 10 * time.Second
)

// modelRequest is a request on its way through the model of the fleet.
type modelRequest struct {
	query    balancer.Request
	instance int
	arrived  time.Time
	sent     time.Time
	first    time.Time
	unread   int
	tokens   int
	lastAt   time.Time
}

// modelEngine is a server that prefills in chunks between the steps of its running streams.
type modelEngine struct {
	id       string
	speed    float64
	reading  []*modelRequest
	running  []*modelRequest
	active   bool
	prefills time.Duration
}

type modelEvent struct {
	at  time.Time
	run func()
}

type modelAgenda []modelEvent

func (h modelAgenda) Len() int           { return len(h) }
func (h modelAgenda) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h modelAgenda) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *modelAgenda) Push(x any)        { *h = append(*h, x.(modelEvent)) }
func (h *modelAgenda) Pop() any {
	x := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return x
}

// modelFleet is a service without network: instances that exchange their counts and evidence every
// modelExchange and get the sums one exchange later.
type modelFleet struct {
	now     time.Time
	events  modelAgenda
	random  *rand.Rand
	engines map[string]*modelEngine
	cores   []*balancer.Core
	queues  [][]*modelRequest
	speeds  bool
	// waits are the times until the engine begins with a prompt, gaps those between events, after
	// the warm-up.
	waits, gaps []time.Duration
	counting    bool
	sums        []modelReport
}

type modelReport struct {
	inFlight map[string]balancer.InFlight
	paces    map[string]balancer.Pace
}

func (f *modelFleet) after(d time.Duration, run func()) {
	heap.Push(&f.events, modelEvent{f.now.Add(d), run})
}

func millis(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

func (f *modelFleet) arrive(models int, perSecond float64) {
	f.after(time.Duration(f.random.ExpFloat64()/perSecond*float64(time.Second)), func() {
		i := f.random.IntN(modelInstances)
		r := &modelRequest{instance: i, arrived: f.now, unread: modelPromptTokens, query: balancer.Request{
			Model: fmt.Sprint("m", f.random.IntN(models)), PromptTokens: modelPromptTokens, OutputTokens: modelEvents * modelEventTokens,
		}}
		f.queues[i] = append(f.queues[i], r)
		f.serve(i)
		f.arrive(models, perSecond)
	})
}

// serve sends what waits at an instance and has a server with capacity.
func (f *modelFleet) serve(i int) {
	full := map[string]bool{}
	f.queues[i] = slices.DeleteFunc(f.queues[i], func(r *modelRequest) bool {
		if full[r.query.Model] {
			return false
		}
		id, status := f.cores[i].Choose(f.now, r.query)
		if status != balancer.Found {
			full[r.query.Model] = true
			return false
		}
		f.cores[i].RecordSent(f.now, id, r.query)
		r.sent = f.now
		e := f.engines[id]
		e.reading = append(e.reading, r)
		if !e.active {
			e.active = true
			f.step(e)
		}
		return true
	})
}

// step runs one step of an engine: a chunk of the prompts in turn and a token of each stream.
func (f *modelFleet) step(e *modelEngine) {
	chunk := modelChunk
	var read []*modelRequest
	for _, r := range e.reading {
		if r.unread == modelPromptTokens && chunk > 0 && f.counting {
			f.waits = append(f.waits, f.now.Sub(r.arrived))
		}
		n := min(chunk, r.unread)
		r.unread -= n
		chunk -= n
		if r.unread == 0 {
			read = append(read, r)
		}
	}
	prefill := millis(float64(modelChunk-chunk) / modelPrefillRate / e.speed)
	if f.counting {
		e.prefills += prefill
	}
	f.after(prefill+millis(modelStep/e.speed), func() {
		e.reading = e.reading[len(read):]
		e.running = append(e.running, read...)
		e.running = slices.DeleteFunc(e.running, func(r *modelRequest) bool { return f.token(e, r) })
		if e.active = len(e.reading)+len(e.running) > 0; e.active {
			f.step(e)
		}
	})
}

// token records a token of a stream and reports whether it was the last one.
func (f *modelFleet) token(e *modelEngine, r *modelRequest) bool {
	c := f.cores[r.instance]
	r.tokens++
	if r.tokens%modelEventTokens != 0 {
		return false
	}
	if r.first.IsZero() {
		r.first = f.now
		c.RecordFirstEvent(e.id, r.query, f.now.Sub(r.sent))
	} else if f.counting {
		f.gaps = append(f.gaps, f.now.Sub(r.lastAt))
	}
	r.lastAt = f.now
	if r.tokens < modelEvents*modelEventTokens {
		return false
	}
	c.RecordDone(f.now, e.id, r.query, true, false, f.now.Sub(r.sent))
	if f.speeds {
		c.RecordPace(f.now, e.id, r.query, modelEvents, f.now.Sub(r.first))
	}
	f.serve(r.instance)
	return true
}

// exchange gives all instances the sums of the reports of the exchange before.
func (f *modelFleet) exchange() {
	total, paces := map[string]balancer.InFlight{}, map[string]balancer.Pace{}
	for _, r := range f.sums {
		for id, n := range r.inFlight {
			total[id] = total[id].Add(n)
		}
		for id, p := range r.paces {
			paces[id] = paces[id].Add(p)
		}
	}
	percent := map[string]int{}
	for id, p := range paces {
		percent[id] = int(math.Round(100 * p.Speed()))
	}
	for i, c := range f.cores {
		if f.sums != nil {
			peers := map[string]balancer.InFlight{}
			for id, n := range total {
				peers[id] = n.Sub(f.sums[i].inFlight[id])
			}
			c.UpdatePeers(f.now, peers)
			if f.speeds {
				c.UpdateSpeeds(f.now, percent)
			}
		}
	}
	f.sums = f.sums[:0]
	for i, c := range f.cores {
		f.sums = append(f.sums, modelReport{c.OwnInFlight(f.now), c.OwnPaces(f.now)})
		f.serve(i)
	}
	f.after(modelExchange, f.exchange)
}

// runModelFleet returns the state after modelDuration of requests for a number of models, each of
// which is on as many servers.
func runModelFleet(speeds bool, models int, perSecond float64) *modelFleet {
	start := time.Unix(1000, 0)
	f := &modelFleet{now: start, random: rand.New(rand.NewPCG(3, 4)), engines: map[string]*modelEngine{}, queues: make([][]*modelRequest, modelInstances), speeds: speeds}
	var list []registrar.Server
	for i := range modelServers {
		e := &modelEngine{id: fmt.Sprint("s", i), speed: []float64{0.6, 1, 1.6}[i%3]}
		f.engines[e.id] = e
		s := server(e.id, "z1")
		s.Slots = 32
		for k := range 3 {
			s.Loaded = append(s.Loaded, registrar.LoadedModel{Model: fmt.Sprint("m", (i+k*7+i/models*k)%models)})
		}
		list = append(list, s)
	}
	for i := range modelInstances {
		c := balancer.NewCore("z1", uint64(i))
		c.Update(start, list)
		f.cores = append(f.cores, c)
	}
	f.arrive(models, perSecond)
	f.exchange()
	f.after(modelWarmUp, func() { f.counting = true })
	for f.now.Sub(start) < modelDuration {
		e := heap.Pop(&f.events).(modelEvent)
		f.now = e.at
		e.run()
	}
	slices.Sort(f.waits)
	slices.Sort(f.gaps)
	return f
}

// spread returns the standard deviation of the servers' utilisation, the share of time in which they
// prefill, as a share of the mean, and the mean utilisation by speed.
func (f *modelFleet) spread() (deviation float64, bySpeed map[float64]float64) {
	bySpeed = map[float64]float64{}
	var sum, squares float64
	for _, e := range f.engines {
		u := float64(e.prefills) / float64(modelDuration-modelWarmUp)
		sum, squares = sum+u, squares+u*u
		bySpeed[e.speed] += u * 3 / modelServers
	}
	mean := sum / modelServers
	return math.Sqrt(max(squares/modelServers-mean*mean, 0)) / mean, bySpeed
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[int(q*float64(len(sorted)-1))]
}

var _ = Describe("Fleet of servers of speeds 0.6, 1.0 and 1.6", func() {
	It("evens out the utilisation and more than halves the longest waits", func() {
		// The load: 420 prompts a second of 1,460 tokens over 20 models, each on nine servers, for 30 s
		// after 10 s of warm-up. Guards against the slow servers getting as much as the others, and
		// against instances with the same old counts sending to the same server.
		without, with := runModelFleet(false, 20, 420), runModelFleet(true, 20, 420)
		deviation, bySpeed := with.spread()
		deviationWithout, _ := without.spread()
		wait, waitWithout := quantile(with.waits, 0.99), quantile(without.waits, 0.99)
		GinkgoWriter.Printf("deviation %.3f, %.3f without speeds; utilisation %v; wait %v, %v without; gaps %v, %v without\n", deviation, deviationWithout,
			bySpeed, wait, waitWithout, quantile(with.gaps, 0.99), quantile(without.gaps, 0.99))
		Expect(deviation).To(BeNumerically("<", 0.1))
		Expect(deviationWithout).To(BeNumerically(">", deviation))
		Expect(wait).To(BeNumerically("<", waitWithout/2))
		Expect(quantile(with.gaps, 0.99)).To(BeNumerically("<", quantile(without.gaps, 0.99)))
	})
})
