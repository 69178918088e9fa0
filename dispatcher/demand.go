package dispatcher

import (
	"cmp"
	"math"
	"slices"
	"time"

	"primrosehook/decayer"
	"primrosehook/driver"
	"primrosehook/router"
)

// Demand is the recent demand for some weights in one class, as this instance
// sees it. The sum over all instances is what a placement is planned from.
type Demand struct {
	driver.Weights
	Class    string `json:"class" msgpack:"c"`
	Deferred bool   `json:"deferred,omitempty" msgpack:"d"`
	// Rate is in requests a second, refused ones included.
	Rate float64 `json:"rate" msgpack:"r"`
	// Missed is the part of the rate that found no engine with the weights.
	// It asks for a load at once.
	Missed float64 `json:"missed,omitempty" msgpack:"x"`
	// Service is the mean time that a request holds a place, zero if unknown.
	Service time.Duration `json:"service,omitempty" msgpack:"s"`
}

type demandKey struct {
	driver.Weights
	class    string
	deferred bool
}

type demandEntry struct {
	all    decayer.Counter
	missed decayer.Counter
}

// demand counts arrivals with an exponential decay, which needs no timer.
type demand struct {
	half    time.Duration
	entries map[demandKey]*demandEntry
	// models sums the entries of each model up.
	models map[string]*decayer.Counter
}

func newDemand(half time.Duration) demand {
	return demand{half: half, entries: map[demandKey]*demandEntry{}, models: map[string]*decayer.Counter{}}
}

// maxDemand bounds the entries, so that unknown names cannot fill the memory.
const maxDemand = 4096

func (d *demand) entry(w *Work) *demandEntry {
	key := demandKey{Weights: w.Weights, class: w.Class, deferred: w.Deferred}
	e, ok := d.entries[key]
	if !ok {
		if len(d.entries) >= maxDemand {
			return &demandEntry{}
		}
		e = &demandEntry{}
		d.entries[key] = e
	}
	return e
}

func (d *demand) count(now time.Time, w Work) {
	d.entry(&w).all.Add(now, d.half, 1)
	m, ok := d.models[w.Model]
	if !ok {
		if len(d.models) >= maxDemand {
			return
		}
		m = &decayer.Counter{}
		d.models[w.Model] = m
	}
	m.Add(now, d.half, 1)
}

// rate returns the demand for a model.
func (d *demand) rate(now time.Time, model string) float64 {
	m, ok := d.models[model]
	if !ok {
		return 0
	}
	return m.Rate(now, d.half)
}

func (d *demand) miss(now time.Time, w Work, status router.Status) {
	if status == router.Absent {
		d.entry(&w).missed.Add(now, d.half, 1)
	}
}

// rates returns the demand in a fixed order, and forgets what has faded.
func (d *demand) rates(now time.Time) []Demand {
	for model, m := range d.models {
		if m.Value(now, d.half) < faded {
			delete(d.models, model)
		}
	}
	scale := math.Ln2 / d.half.Seconds()
	all := make([]Demand, 0, len(d.entries))
	for key, e := range d.entries {
		count := e.all.Value(now, d.half)
		if count < faded {
			delete(d.entries, key)
			continue
		}
		all = append(all, Demand{
			Weights:  key.Weights,
			Class:    key.class,
			Deferred: key.deferred,
			Rate:     count * scale,
			Missed:   e.missed.Value(now, d.half) * scale,
		})
	}
	slices.SortFunc(all, func(a, b Demand) int {
		return cmp.Or(
			cmp.Compare(a.Model, b.Model),
			cmp.Compare(a.Adapter, b.Adapter),
			cmp.Compare(a.Version, b.Version),
			cmp.Compare(a.Class, b.Class),
		)
	})
	return all
}

// faded is the decayed count below which an entry is forgotten.
const faded = 1e-3
