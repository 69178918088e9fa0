package publisher_test

import (
	"context"
	"fmt"
	"math/rand"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"primrosehook/publisher"
	"primrosehook/simulator"
)

// BenchmarkInForce measures the time from a publish until the list is in
// force on every instance, for fleets of several sizes in one process.
func BenchmarkInForce(b *testing.B) {
	for _, size := range []int{9, 30, 65} {
		b.Run(fmt.Sprintf("instances=%d", size), func(b *testing.B) {
			fleet := simulator.NewFleet()
			var all []*publisher.Publisher
			for i := range size {
				n, err := fleet.Add(fmt.Sprint("n", i))
				if err != nil {
					b.Fatal(err)
				}
				b.Cleanup(n.Kill)
				p := publisher.New(n.Log, n, n.Peers)
				p.Serve(n.Server)
				p.Start(n.Context)
				all = append(all, p)
			}
			version := publisher.Version(0)
			var slowest time.Duration
			for n := 0; b.Loop(); n++ {
				start := time.Now()
				var err error
				version, err = all[n%size].Publish(context.Background(), version, "bench", listText(fmt.Sprint("list", n)))
				if err != nil {
					b.Fatal(err)
				}
				for _, p := range all {
					for changed := p.Changed(); p.Version() < version; changed = p.Changed() {
						<-changed
					}
				}
				slowest = max(slowest, time.Since(start))
			}
			b.ReportMetric(float64(slowest.Milliseconds()), "ms-slowest")
			b.ReportMetric(float64(fleet.Log.AppendCount())/float64(b.N), "appends/publish")
		})
	}
}

// BenchmarkRecord measures the size of a list, both as plain text and as
// stored in a snapshot, for several numbers of models, and the time to
// restore it.
func BenchmarkRecord(b *testing.B) {
	source, err := os.ReadFile("../examples/vertrekpunt.yaml")
	if err != nil {
		b.Fatal(err)
	}
	head, rest, _ := strings.Cut(string(source), "\nmodels:\n")
	models, tail, _ := strings.Cut(rest, "\nrules:\n")
	// All names and sizes differ, so the text compresses worse than real lists do.
	varied, random := regexp.MustCompile(`name: [a-z]*|memory: [0-9]*`), rand.New(rand.NewSource(1))
	for _, times := range []int{1, 3, 6} {
		text := head + "\nmodels:\n"
		for range times {
			text += varied.ReplaceAllStringFunc(models, func(s string) string {
				return fmt.Sprintf("%s%d", strings.TrimRight(s, "0123456789"), random.Intn(90_000)+10_000)
			})
		}
		text += "\nrules:\n" + tail
		b.Run(fmt.Sprintf("models=%d", 40*times), func(b *testing.B) {
			fleet := simulator.NewFleet()
			n, err := fleet.Add("a")
			if err != nil {
				b.Fatal(err)
			}
			b.Cleanup(n.Kill)
			p := publisher.New(n.Log, n, n.Peers)
			p.Start(n.Context)
			if _, err := p.Publish(context.Background(), 0, "bench", text); err != nil {
				b.Fatal(err)
			}
			list, _ := p.Published()
			list.Text = ""
			state, err := msgpack.Marshal(list)
			if err != nil {
				b.Fatal(err)
			}
			m := publisher.NewMachine()
			for b.Loop() {
				if err := m.Restore(state); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(text)), "plain-B")
			b.ReportMetric(float64(len(state)), "record-B")
		})
	}
}
