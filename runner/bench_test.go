package runner_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"primrosehook/jobtracker"
	"primrosehook/runner"
	"primrosehook/simulator"
)

// BenchmarkAppends measures the appends per job, from its acceptance to its
// recorded result, with 8 shards, 6 instances and a group interval of 20 ms.
func BenchmarkAppends(b *testing.B) {
	for _, rate := range []int{5, 50, 200} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) {
			fleet, all := startMeasured(b)
			for b.Loop() {
				before := fleet.Log.AppendCount()
				began := time.Now()
				count := 4 * rate
				offerJobs(b, all, fmt.Sprint("k", before), count, rate)
				for countDone(all) < count {
					time.Sleep(10 * time.Millisecond)
				}
				took := time.Since(began).Seconds()
				appends := float64(fleet.Log.AppendCount() - before)
				b.ReportMetric(float64(count)/took, "jobs/s")
				b.ReportMetric(appends/took, "appends/s")
				b.ReportMetric(appends/float64(count), "appends/job")
				for _, i := range all {
					i.doneBefore = i.runner.Stats().Done
				}
			}
		})
	}
}

// measuredInstance stores how many jobs were done before the current iteration.
type measuredInstance struct {
	runner     *runner.Runner
	doneBefore int64
}

func startMeasured(b *testing.B) (*simulator.Fleet, []*measuredInstance) {
	b.Helper()
	fleet := simulator.NewFleet()
	do := func(context.Context, jobtracker.Job) ([]byte, error) { return []byte("result"), nil }
	var all []*measuredInstance
	for i := range 6 {
		n, err := fleet.Add(fmt.Sprint("n", i))
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(n.Kill)
		r := runner.New(n.Log, n, n.Peers, do)
		r.Serve(n.Server)
		r.Start(n.Context)
		all = append(all, &measuredInstance{runner: r})
	}
	return fleet, all
}

func countDone(all []*measuredInstance) int {
	total := int64(0)
	for _, i := range all {
		total += i.runner.Stats().Done - i.doneBefore
	}
	return int(total)
}

// acceptCall is one call of Accept that runs in its own goroutine.
type acceptCall struct {
	b    *testing.B
	at   *measuredInstance
	key  string
	done chan struct{}
}

func (o *acceptCall) run() {
	if _, err := o.at.runner.Accept(context.Background(), runner.Request{Key: o.key, Body: []byte(o.key)}); err != nil {
		o.b.Error(err)
	}
	o.done <- struct{}{}
}

func offerJobs(b *testing.B, all []*measuredInstance, prefix string, count, rate int) {
	b.Helper()
	done := make(chan struct{}, count)
	tick := time.NewTicker(time.Second / time.Duration(rate))
	defer tick.Stop()
	for n := range count {
		o := &acceptCall{b: b, at: all[n%len(all)], key: fmt.Sprint(prefix, "-", n), done: done}
		go o.run()
		<-tick.C
	}
	for range count {
		<-done
	}
}
