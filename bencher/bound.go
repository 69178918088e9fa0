package bencher

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"primrosehook/driver"
)

// bound returns an upper bound on the share of urgent requests that any policy can
// attain, even one that knows the whole workload in advance.
//
// It is an upper bound because each simplification only helps: every engine serves
// every model without a load, all templates and conversations are cached, batches
// are always full, deferred work costs nothing, and work can be split at will. The
// remaining limit is engine time. The requests that arrive in a window must run
// before the window's end plus the deadline and the longest answer; the cheapest
// are counted as attained until that engine time is used up. Losses of windows that
// do not overlap add up, so the partition with the greatest loss is taken.
//
// If the engines start empty, the limit of the weight store gives a second bound.
func bound(w *world) float64 {
	total, lost := 0, 0
	for i := range w.arrivals {
		if isUrgent(&w.arrivals[i]) && !w.arrivals[i].flood {
			total++
		}
	}
	for _, length := range []time.Duration{time.Minute, 90 * time.Second, 2 * time.Minute, 150 * time.Second, 3 * time.Minute, w.Length} {
		for offset := time.Duration(0); offset < length; offset += 15 * time.Second {
			lost = max(lost, lostIn(w, length, offset))
		}
	}
	if w.Shape.Cold {
		lost = max(lost, lostToLoads(w))
	}
	if total == 0 {
		return 1
	}
	return 1 - float64(lost)/float64(total)
}

// lostIn returns the number of requests that cannot be attained, summed over
// consecutive windows of a length that start at an offset.
func lostIn(w *world, length, offset time.Duration) int {
	lost := 0
	var costs []time.Duration
	start := offset - length
	for i := 0; i <= len(w.arrivals); i++ {
		if i == len(w.arrivals) || w.arrivals[i].at >= start+length {
			lost += excess(costs, engineTime(w, start, start+length+overhang(w)))
			costs = costs[:0]
			if i == len(w.arrivals) {
				break
			}
			for w.arrivals[i].at >= start+length {
				start += length
			}
		}
		if a := &w.arrivals[i]; isUrgent(a) && !a.flood {
			costs = append(costs, minEngineTime(w.Deployment.Batch, a.tokens, a.class.Own))
		}
	}
	return lost
}

// lostToLoads returns the number of requests that cannot be attained after a cold
// start because the store cannot have loaded enough models by then. It assumes that
// each interval has the models with the most requests for their size, and that a
// partly loaded model serves a proportional part of its requests.
func lostToLoads(w *world) int {
	d := w.Deployment
	lost := 0
	requests := map[string]int{}
	end := courseStep
	for i := 0; i <= len(w.arrivals); i++ {
		if i == len(w.arrivals) || w.arrivals[i].at >= end {
			lost += unservable(w, requests, (end+longestDeadline(w)).Seconds()*d.Speed*float64(d.Slots))
			clear(requests)
			end += courseStep
		}
		if i < len(w.arrivals) && isUrgent(&w.arrivals[i]) && !w.arrivals[i].flood {
			requests[w.arrivals[i].weights.Model]++
		}
	}
	return lost
}

// longestDeadline returns the longest deadline of urgent work.
func longestDeadline(w *world) time.Duration {
	most := time.Duration(0)
	for _, c := range w.Deployment.Classes {
		if c.Service == "" && !c.Deferred {
			most = max(most, c.Deadline)
		}
	}
	return most
}

// unservable returns the number of requests for models that do not fit into room,
// in MB, if it is filled with the models with the most requests for their size.
func unservable(w *world, requests map[string]int, room float64) int {
	size := func(model string) float64 { return float64(w.catalogue.memory[driver.Weights{Model: model}]) }
	models := slices.SortedFunc(maps.Keys(requests), func(a, b string) int {
		return cmp.Or(cmp.Compare(float64(requests[b])/size(b), float64(requests[a])/size(a)), cmp.Compare(a, b))
	})
	sum := 0.0
	for _, m := range models {
		sum += float64(requests[m]) * (1 - min(room/size(m), 1))
		room = max(room-size(m), 0)
	}
	return int(sum)
}

// excess returns the number of requests that do not fit into an amount of engine
// time, taking the cheapest first. It sorts costs.
func excess(costs []time.Duration, limit time.Duration) int {
	slices.Sort(costs)
	for i, c := range costs {
		if limit -= c; limit < 0 {
			return len(costs) - i
		}
	}
	return 0
}

// overhang returns how long after its arrival a request that meets its deadline can
// still be running: its deadline plus its longest answer at the slowest iterations.
func overhang(w *world) time.Duration {
	slowest := stepBase + time.Duration(w.Deployment.Batch)*stepRequest + prefillChunk*prefillByte
	most := time.Duration(0)
	for _, c := range w.Deployment.Classes {
		if c.Service == "" && !c.Deferred {
			most = max(most, c.Deadline+time.Duration(c.Tokens*3/2)*slowest)
		}
	}
	return most
}

// engineTime returns the total time of the live engines between two times.
func engineTime(w *world, from, until time.Duration) time.Duration {
	from = max(from, 0)
	sum := time.Duration(w.Deployment.Engines) * (until - from)
	if f := w.Shape.Fault; f.Zone {
		down := max(min(until, f.Until)-max(from, f.From), 0)
		for i := 0; i < w.Deployment.Engines; i += len(w.Deployment.Zones) {
			sum -= down
		}
	}
	return sum
}
