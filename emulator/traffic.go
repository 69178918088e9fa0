package emulator

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"primrosehook/balancer"
	"primrosehook/serviceplanner"
)

// rateHalfLife is the half-life of the rates of requests.
const rateHalfLife = 2 * time.Second

// Kind is a kind of request.
type Kind struct {
	// PerSecond is the mean rate of requests, each of which is for one of Models by its weight and, for
	// a share of AdapterShare, for one of its adapters.
	PerSecond    float64
	Models       []string
	Weights      []float64
	AdapterShare float64
	// Holds is how long a request holds a slot of a server, Wait the longest time that it waits for one.
	Holds, Wait time.Duration
}

type request struct {
	key          string
	holds, until time.Duration
}

// arrive lets requests arrive.
func (f *Fleet) arrive() {
	decay := math.Exp2(-step.Seconds() / rateHalfLife.Seconds())
	for k := range f.rates {
		f.rates[k] *= decay
	}
	for _, kind := range f.traffic {
		total := 0.0
		for _, w := range kind.Weights {
			total += w
		}
		for range f.poisson(kind.PerSecond * step.Seconds()) {
			at, i := f.random.Float64()*total, 0
			for ; i < len(kind.Weights)-1 && at >= kind.Weights[i]; i++ {
				at -= kind.Weights[i]
			}
			m := kind.Models[i]
			key := m
			if n := f.engine.Models[m].Adapters; n > 0 && f.random.Float64() < kind.AdapterShare {
				key = balancer.Key(m, fmt.Sprintf("a%d", f.random.IntN(n)+1))
			}
			f.rates[key] += math.Ln2 / rateHalfLife.Seconds()
			f.requested[m] = f.now
			f.waiting = append(f.waiting, request{key, kind.Holds, f.now + kind.Wait})
			k := f.outcomes[key]
			if k == nil {
				k = &outcome{first: f.now}
				f.outcomes[key] = k
			}
			if k.asked == 0 {
				k.first = f.now
			}
			k.asked, k.last = k.asked+1, f.now
		}
	}
}

// poisson draws from a Poisson distribution.
func (f *Fleet) poisson(mean float64) int {
	n, p, limit := 0, f.random.Float64(), math.Exp(-mean)
	for p > limit {
		n, p = n+1, p*f.random.Float64()
	}
	return n
}

// serve sends the waiting requests to the servers with most room that have what they need.
func (f *Fleet) serve() {
	left := f.waiting[:0]
	for _, q := range f.waiting {
		model, adapter, _ := strings.Cut(q.key, "/")
		var best *server
		room := 0
		for _, s := range f.servers {
			adapters, ok := s.Loaded[model]
			if !ok || s.up > f.now || adapter != "" && !slices.Contains(adapters, adapter) || f.unloads(s, model, adapter) {
				continue
			}
			running := 0
			for _, ends := range s.ends {
				running += len(ends)
			}
			if n := f.engine.Slots - running; n > room {
				best, room = s, n
			}
		}
		switch {
		case best != nil:
			best.ends[q.key] = append(best.ends[q.key], f.now+q.holds)
		case f.now < q.until:
			left = append(left, q)
		}
	}
	f.waiting = left
}

// unloads reports whether a server unloads a model or adapter.
func (f *Fleet) unloads(s *server, model, adapter string) bool {
	o := s.order
	return o != nil && o.Op == serviceplanner.Unload && o.Model == model && (o.Adapter == "" || o.Adapter == adapter)
}
