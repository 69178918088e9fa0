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

// Demand is the recent demand for weights in one class at this instance. Placement
// is planned from the sum over all instances.
type Demand struct {
	driver.Weights
	Class    string `json:"class" msgpack:"c"`
	Deferred bool   `json:"deferred,omitempty" msgpack:"d"`
	// Rate is in requests per second, including refused ones.
	Rate float64 `json:"rate" msgpack:"r"`
	// Missed is the part of the rate for which no engine had the weights loaded
	// or was loading them. They should be loaded at once.
	Missed float64 `json:"missed,omitempty" msgpack:"x"`
	// Service is the mean time that a request occupies a slot; zero means
	// unknown.
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

// demandTracker counts arrivals with exponential decay, which needs no timer.
type demandTracker struct {
	halfLife time.Duration
	entries  map[demandKey]*demandEntry
	// models counts the arrivals of each model, adapters included.
	models map[string]*decayer.Counter
}

func newDemand(half time.Duration) demandTracker {
	return demandTracker{halfLife: half, entries: map[demandKey]*demandEntry{}, models: map[string]*decayer.Counter{}}
}

// maxDemandEntries limits the entries, so that unknown names cannot exhaust memory.
const maxDemandEntries = 4096

func (d *demandTracker) entry(w *Work) *demandEntry {
	key := demandKey{Weights: w.Weights, class: w.Class, deferred: w.Deferred}
	e, ok := d.entries[key]
	if !ok {
		if len(d.entries) >= maxDemandEntries {
			return &demandEntry{}
		}
		e = &demandEntry{}
		d.entries[key] = e
	}
	return e
}

func (d *demandTracker) add(now time.Time, w Work) {
	d.entry(&w).all.Add(now, d.halfLife, 1)
	m, ok := d.models[w.Model]
	if !ok {
		if len(d.models) >= maxDemandEntries {
			return
		}
		m = &decayer.Counter{}
		d.models[w.Model] = m
	}
	m.Add(now, d.halfLife, 1)
}

// rate returns the demand for a model in requests per second.
func (d *demandTracker) rate(now time.Time, model string) float64 {
	m, ok := d.models[model]
	if !ok {
		return 0
	}
	return m.Rate(now, d.halfLife)
}

func (d *demandTracker) addMissed(now time.Time, w Work, status router.Status) {
	if status == router.Absent {
		d.entry(&w).missed.Add(now, d.halfLife, 1)
	}
}

// rates returns all demand in a fixed order, and removes decayed entries.
func (d *demandTracker) rates(now time.Time) []Demand {
	for model, m := range d.models {
		if m.Value(now, d.halfLife) < minDecayedCount {
			delete(d.models, model)
		}
	}
	scale := math.Ln2 / d.halfLife.Seconds()
	all := make([]Demand, 0, len(d.entries))
	for key, e := range d.entries {
		count := e.all.Value(now, d.halfLife)
		if count < minDecayedCount {
			delete(d.entries, key)
			continue
		}
		all = append(all, Demand{
			Weights:  key.Weights,
			Class:    key.class,
			Deferred: key.deferred,
			Rate:     count * scale,
			Missed:   e.missed.Value(now, d.halfLife) * scale,
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

// minDecayedCount is the decayed count below which an entry is removed.
const minDecayedCount = 1e-3
