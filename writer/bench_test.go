package writer_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"primrosehook/judge"
	"primrosehook/sharder"
	"primrosehook/simulator"
	"primrosehook/writer"
)

// startWithDefaults starts instances with the default timeouts.
func startWithDefaults(b *testing.B, fleet *simulator.Fleet, s *simulator.Service, group time.Duration, count int) []*instance {
	b.Helper()
	var all []*instance
	for i := range count {
		one, err := addInstance(fleet, s, fmt.Sprint("n", i), writer.WithSharding(
			sharder.WithCount(8), sharder.WithGroupInterval(group), sharder.WithOwnerTimeout(4*time.Second)),
			writer.WithLimits(2*time.Second, 30*time.Second, 15*time.Second))
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(one.node.Kill)
		all = append(all, one)
	}
	warmUp(b, all)
	return all
}

// warmUp writes enough keys that every shard is in use.
func warmUp(b *testing.B, all []*instance) {
	b.Helper()
	for i := range 64 {
		if _, err := all[i%len(all)].write(fmt.Sprint("warm", i), "warm", 10*time.Second); err != nil {
			b.Fatal(err)
		}
	}
}

// offerWrites sends writes at a fixed rate, in writes per second, and waits for
// their responses.
func offerWrites(all []*instance, name string, rate int, length time.Duration) []*call {
	var g sync.WaitGroup
	var calls []*call
	tick := time.NewTicker(time.Second / time.Duration(rate))
	defer tick.Stop()
	for range int(length.Seconds() * float64(rate)) {
		key := fmt.Sprint(name, len(calls))
		c := &call{at: all[len(calls)%len(all)], key: key, name: key, limit: 40 * time.Second, group: &g}
		calls = append(calls, c)
		g.Add(1)
		go c.run()
		<-tick.C
	}
	g.Wait()
	return calls
}

func countVerdicts(calls []*call) (ran, unknown, refused int) {
	for _, c := range calls {
		switch {
		case c.err == nil:
			ran++
		case judge.Of(c.err) == judge.NotRun:
			refused++
		default:
			unknown++
		}
	}
	return ran, unknown, refused
}

const defaultGroupInterval = 20 * time.Millisecond

// BenchmarkAppends measures appends per second against writes per second, with
// 8 shards and 6 instances.
func BenchmarkAppends(b *testing.B) {
	for _, load := range []struct {
		rate  int
		group time.Duration
	}{{10, defaultGroupInterval}, {50, defaultGroupInterval}, {200, defaultGroupInterval}, {1000, defaultGroupInterval}, {1000, 100 * time.Millisecond}} {
		rate := load.rate
		b.Run(fmt.Sprintf("rate=%d/group=%s", rate, load.group), func(b *testing.B) {
			fleet, s := simulator.NewFleet(), simulator.NewService()
			all := startWithDefaults(b, fleet, s, load.group, 6)
			for b.Loop() {
				before := fleet.Log.AppendCount()
				began := time.Now()
				calls := offerWrites(all, fmt.Sprint("k", before, "-"), rate, 4*time.Second)
				took := time.Since(began).Seconds()
				appends := float64(fleet.Log.AppendCount() - before)
				var total time.Duration
				for _, c := range calls {
					total += c.endedAt.Sub(c.startedAt)
				}
				b.ReportMetric(float64(len(calls))/took, "writes/s")
				b.ReportMetric(appends/took, "appends/s")
				b.ReportMetric(appends/float64(len(calls)), "appends/write")
				b.ReportMetric(float64(total.Milliseconds())/float64(len(calls)), "ms/write")
			}
		})
	}
}

// BenchmarkTakeover measures how long writes fail on the shard of a killed
// owner, which refuses connections while the instance list still shows it.
func BenchmarkTakeover(b *testing.B) {
	for b.Loop() {
		fleet, s := simulator.NewFleet(), simulator.NewService()
		all := startWithDefaults(b, fleet, s, defaultGroupInterval, 6)
		victim, _ := ownerAndOther(all)
		rest := except(all, victim)
		victim.node.Kill()
		began := time.Now()
		calls := offerWrites(rest, "k", 100, 3*time.Second)
		var last time.Time
		var worst time.Duration
		for _, c := range calls {
			worst = max(worst, c.endedAt.Sub(c.startedAt))
			if c.err != nil && c.endedAt.After(last) {
				last = c.endedAt
			}
		}
		_, unknown, refused := countVerdicts(calls)
		b.ReportMetric(max(0, last.Sub(began).Seconds()), "s-to-last-failure")
		b.ReportMetric(float64(worst.Milliseconds()), "ms-worst")
		b.ReportMetric(float64(refused), "refused")
		b.ReportMetric(float64(unknown), "unknown")
	}
}

// BenchmarkOutage measures how many writes are refused for each outage length,
// at 50 writes per second, and how soon after the outage the last refusal is.
func BenchmarkOutage(b *testing.B) {
	const rate = 50
	for _, length := range []time.Duration{time.Second, 4 * time.Second, 16 * time.Second} {
		b.Run(fmt.Sprintf("down=%s", length), func(b *testing.B) {
			for b.Loop() {
				fleet, s := simulator.NewFleet(), simulator.NewService()
				all := startWithDefaults(b, fleet, s, defaultGroupInterval, 6)
				o := &outage{all: all, length: length}
				var g sync.WaitGroup
				o.group = &g
				g.Add(1)
				go o.run()
				calls := offerWrites(all, "k", rate, length+8*time.Second)
				g.Wait()
				ran, unknown, refused := countVerdicts(calls)
				var last time.Duration
				for _, c := range calls {
					if c.err != nil {
						last = max(last, c.startedAt.Sub(o.endedAt))
					}
				}
				b.ReportMetric(float64(refused), "refused")
				b.ReportMetric(float64(refused)/rate/length.Seconds(), "refused/offered-in-outage")
				b.ReportMetric(float64(unknown), "unknown")
				b.ReportMetric(float64(ran), "ran")
				b.ReportMetric(last.Seconds(), "s-to-recover")
			}
		})
	}
}

// outage disconnects all instances from the log for a time.
type outage struct {
	all     []*instance
	length  time.Duration
	endedAt time.Time
	group   *sync.WaitGroup
}

func (o *outage) run() {
	defer o.group.Done()
	time.Sleep(time.Second)
	for _, i := range o.all {
		i.node.Log.SetUnreachable(true)
	}
	time.Sleep(o.length)
	for _, i := range o.all {
		i.node.Log.SetUnreachable(false)
	}
	o.endedAt = time.Now()
}

// except returns all instances but one.
func except(all []*instance, one *instance) []*instance {
	var rest []*instance
	for _, i := range all {
		if i != one {
			rest = append(rest, i)
		}
	}
	return rest
}
