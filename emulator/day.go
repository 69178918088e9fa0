package emulator

import (
	"fmt"
	"math"
	"slices"
	"time"

	"primrosehook/matcher"
)

// Event changes a fleet at a time since the beginning of a day.
type Event struct {
	At time.Duration
	Do func(f *Fleet)
}

// Day is what happens to a fleet. Outcomes count after Lead, and times are counted from there on.
type Day struct {
	Name         string
	Lead, Length time.Duration
	Events       []Event
}

// Play plays a day. A fleet plays one day only.
func (f *Fleet) Play(d Day) Result {
	f.run(d.Lead)
	f.reset()
	for _, e := range d.Events {
		f.run(d.Lead + e.At)
		e.Do(f)
	}
	f.run(d.Lead + d.Length)
	return f.result()
}

// ShiftDemand takes away the requests for a model, by its place in the first kind of request, from all
// kinds. Another model becomes the first of these, and those before the old one move back a place.
func (f *Fleet) ShiftDemand(from int, to string) {
	old := f.traffic[0].Models[from]
	for i, k := range f.traffic {
		if at := slices.Index(k.Models, old); at >= 0 {
			f.traffic[i].Models = slices.Concat([]string{to}, k.Models[:at], k.Models[at+1:])
		}
	}
}

// largeAdapters are the numbers of adapters of the models that share most requests.
var largeAdapters = []int{162, 0, 45, 0, 32, 0, 27, 0, 23, 0, 20, 0, 19, 0, 25, 0, 22, 0, 19, 0, 18, 0, 18, 0, 18, 0, 18, 0, 18, 0, 18, 0, 18, 0, 18}

// LargeFleet returns a fleet of 112 servers with 135 models, of which 14 get most of the requests, and
// some 530 adapters.
func LargeFleet(seed uint64) *Fleet {
	const models, busy = 135, 14
	sizes := []float64{72700, 65100, 42700}
	loads := []time.Duration{8600 * time.Millisecond, 7800 * time.Millisecond, 5 * time.Second}
	e := &matcher.Engine{Slots: 12, MemoryMB: 200000, AdapterSlots: 8, ColdLoadsPerSecond: 16, Models: map[string]matcher.Model{}}
	chat := Kind{PerSecond: 183, AdapterShare: 0.1, Holds: 2200 * time.Millisecond, Wait: 350 * time.Millisecond}
	tag := Kind{PerSecond: 112, AdapterShare: 0.5, Holds: 900 * time.Millisecond, Wait: 420 * time.Millisecond}
	digest := Kind{PerSecond: 44, Holds: 2200 * time.Millisecond, Wait: 5 * time.Second}
	for i := range models {
		m := matcher.Model{Name: fmt.Sprintf("m%d", i), SizeMB: sizes[0], AdapterSizeMB: 66, ColdLoadTime: loads[0], DiskLoadTime: 1700 * time.Millisecond, HostLoadTime: 1300 * time.Millisecond}
		if i < len(largeAdapters) {
			m.Adapters = largeAdapters[i]
		} else {
			m.SizeMB, m.ColdLoadTime = sizes[i%3], loads[i%3]
			digest.Models, digest.Weights = append(digest.Models, m.Name), append(digest.Weights, math.Pow(float64(i-len(largeAdapters)+1), -0.4))
		}
		if i < busy {
			chat.Models, chat.Weights = append(chat.Models, m.Name), append(chat.Weights, math.Pow(float64(i+1), -0.8))
		}
		e.Models[m.Name] = m
	}
	tag.Models, tag.Weights = chat.Models, chat.Weights
	return New(seed, e, 112, chat, tag, digest)
}

// CrashesBesideLostHolders returns a day on which a third of the servers crashes four times, nobody
// gives orders for some seconds twice, and demand moves to other models.
func CrashesBesideLostHolders() Day {
	crash := func(f *Fleet) { f.Crash(0.35, 2*time.Second) }
	shift := func(to string) func(f *Fleet) { return func(f *Fleet) { f.ShiftDemand(3, to) } }
	ordered := func(ordered bool) func(f *Fleet) { return func(f *Fleet) { f.SetOrdered(ordered) } }
	return Day{
		Name: "crashes beside lost holders", Lead: 14 * time.Second, Length: 34 * time.Second,
		Events: []Event{
			{600 * time.Millisecond, crash},
			{time.Second, shift("m14")},
			{3400 * time.Millisecond, ordered(false)},
			{7 * time.Second, crash},
			{9400 * time.Millisecond, ordered(true)},
			{14 * time.Second, shift("m16")},
			{15 * time.Second, crash},
			{15800 * time.Millisecond, ordered(false)},
			{22200 * time.Millisecond, ordered(true)},
			{23 * time.Second, crash},
			{24 * time.Second, shift("m18")},
		},
	}
}
