// Command capacity measures the control-plane overhead of an entry instance: it
// starts instances with idle engines as real processes, waits for the models to
// load, and prints bytes, messages, processor time and memory per instance, by
// the number of instances and engines.
//
// No client requests are sent, so all measured traffic is control traffic. With
// -tokens it measures the cost of streamed tokens instead.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"

	"primrosehook/launcher"
	"primrosehook/server"
)

// Durations and limits of a run.
const (
	loadWait = 40 * time.Second
	// changes is the number of rule lists that are published to measure the cost
	// of one.
	changes        = 10
	changeInterval = 2 * time.Second
	deadline       = 15 * time.Minute
	// tick is the unit of processor time in /proc/PID/stat, in seconds.
	tick = 0.01
)

// size is the size of one fleet to measure.
type size struct {
	entries int
	engines int
}

func main() {
	span := flag.Duration("span", 30*time.Second, "how long to measure each fleet size or number of streams")
	tokens := flag.Bool("tokens", false, "measure the cost of streamed tokens instead of control traffic")
	flag.Parse()
	if err := run(*span, *tokens); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func run(span time.Duration, tokens bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	return launcher.WithPrograms(ctx, "", func(programs launcher.Programs, _ io.Writer) error {
		if tokens {
			return measureTokens(ctx, programs, span)
		}
		return measureAll(ctx, programs, span)
	})
}

func measureAll(ctx context.Context, programs launcher.Programs, span time.Duration) error {
	fmt.Println("entries engines  peers B/s  peers msg/s  platform B/s  log appends/s  cpu %  rss MB  heap MB  busiest B/s  rules B/change   (per instance, but appends: all; busiest: one instance, peers and platform)")
	for _, s := range []size{{3, 10}, {9, 20}, {9, 60}, {18, 20}, {36, 20}, {36, 60}} {
		if err := measure(ctx, programs, s, span); err != nil {
			return err
		}
	}
	return nil
}

// fleet holds the processes of one measurement.
type fleet struct {
	cluster  *launcher.Cluster
	platform *launcher.Process
	entries  []*launcher.Process
	// rules is the source of the rule list; version is the version that was
	// published last.
	rules   string
	version int64
}

func measure(ctx context.Context, programs launcher.Programs, s size, span time.Duration) error {
	f := &fleet{cluster: launcher.New(programs, io.Discard)}
	defer f.cluster.Stop()
	if err := f.start(ctx, s); err != nil {
		return err
	}
	clock := clockwork.NewRealClock()
	clock.Sleep(loadWait)
	before, err := f.sample(ctx)
	if err != nil {
		return err
	}
	clock.Sleep(span)
	after, err := f.sample(ctx)
	if err != nil {
		return err
	}
	n := span.Seconds() * float64(s.entries)
	control := after.peerBytes + after.platformBytes - before.peerBytes - before.platformBytes
	change, err := f.change(ctx, control/span.Seconds())
	if err != nil {
		return err
	}
	fmt.Printf("%7d %7d %10.0f %12.1f %13.0f %14.2f %6.2f %7.1f %8.1f %12.0f %15.0f\n", s.entries, s.engines,
		(after.peerBytes-before.peerBytes)/n, (after.peerMessages-before.peerMessages)/n,
		(after.platformBytes-before.platformBytes)/n, (after.appends-before.appends)/span.Seconds(),
		100*(after.cpu-before.cpu)/n, after.rss/float64(s.entries), after.heap/float64(s.entries),
		busiest(before, after)/span.Seconds(), change/float64(s.entries))
	return nil
}

// busiest returns the largest number of control bytes that any one instance sent
// and received between two samples.
func busiest(before, after sums) float64 {
	most := 0.0
	for i := range after.each {
		most = max(most, after.each[i]-before.each[i])
	}
	return most
}

// change publishes several rule lists and returns the control bytes per
// publication, summed over all instances. rest is the traffic without changes in
// B/s, which is subtracted.
func (f *fleet) change(ctx context.Context, rest float64) (float64, error) {
	clock := clockwork.NewRealClock()
	before, err := f.sample(ctx)
	if err != nil {
		return 0, err
	}
	began := clock.Now()
	for n := range changes {
		if err := f.publish(ctx, fmt.Sprintf("%s\n# change %d\n", f.rules, n)); err != nil {
			return 0, err
		}
		clock.Sleep(changeInterval)
	}
	after, err := f.sample(ctx)
	if err != nil {
		return 0, err
	}
	control := after.peerBytes + after.platformBytes - before.peerBytes - before.platformBytes
	return (control - rest*clock.Since(began).Seconds()) / changes, nil
}

func (f *fleet) start(ctx context.Context, s size) error {
	var err error
	if f.platform, err = f.cluster.Platform(ctx, "-store-rate", "0", "-store-slots", "0", "-store-speed", "0"); err != nil {
		return err
	}
	for left := s.engines; left > 0; left -= 20 {
		count := strconv.Itoa(min(left, 20))
		if _, err := f.cluster.Engine(ctx, "-count", count, "-pool", "survey", "-zone", "ams-a,ams-b,hlm-c"); err != nil {
			return err
		}
	}
	for n := range s.entries {
		e, err := f.cluster.Entry(ctx, "-zone", []string{"ams-a", "ams-b", "hlm-c"}[n%3])
		if err != nil {
			return err
		}
		f.entries = append(f.entries, e)
	}
	// A deployment's rule list is used so that models are loaded.
	text, err := os.ReadFile("examples/vertrekpunt.yaml")
	if err != nil {
		return err
	}
	f.rules = string(text)
	return f.publish(ctx, f.rules)
}

func (f *fleet) publish(ctx context.Context, text string) error {
	url := fmt.Sprintf("http://%s/admin/rules?base=%d&file=capacity.yaml", f.entries[0].OperatorAddr, f.version)
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(text))
	if err != nil {
		return err
	}
	p, err := http.DefaultClient.Do(q)
	if err != nil {
		return err
	}
	defer func() { _ = p.Body.Close() }()
	if p.StatusCode != http.StatusOK {
		return fmt.Errorf("publishing the rule list returned status %d", p.StatusCode)
	}
	var answer server.PublishResult
	if err := json.NewDecoder(p.Body).Decode(&answer); err != nil {
		return err
	}
	f.version = answer.Version
	return nil
}

// sums holds counters summed over all instances. Memory is in MiB, cpu in
// seconds.
type sums struct {
	peerBytes, peerMessages, platformBytes, appends, cpu, rss, heap float64
	// each is the number of control bytes (peers and platform) of each instance.
	each []float64
}

// vars is the part of /debug/vars that capacity uses.
type vars struct {
	Peers struct {
		MessagesSent     float64 `json:"messages_sent"`
		MessagesReceived float64 `json:"messages_received"`
		BytesSent        float64 `json:"bytes_sent"`
		BytesReceived    float64 `json:"bytes_received"`
	} `json:"peers"`
	Platform struct {
		Sent     float64 `json:"bytes_sent"`
		Received float64 `json:"bytes_received"`
	} `json:"platform"`
	Process struct {
		Heap float64 `json:"heap_bytes"`
	} `json:"process"`
}

func (f *fleet) sample(ctx context.Context) (sums, error) {
	var s sums
	var log struct {
		Appends float64 `json:"appends"`
	}
	if err := launcher.Get(ctx, f.platform.URL()+"/stats/log", &log); err != nil {
		return s, err
	}
	s.appends = log.Appends
	for _, e := range f.entries {
		var v vars
		if err := launcher.Get(ctx, "http://"+e.OperatorAddr+"/debug/vars", &v); err != nil {
			return s, err
		}
		peers, platform := v.Peers.BytesSent+v.Peers.BytesReceived, v.Platform.Sent+v.Platform.Received
		s.each = append(s.each, peers+platform)
		s.peerBytes += peers
		s.peerMessages += v.Peers.MessagesSent + v.Peers.MessagesReceived
		s.platformBytes += platform
		s.heap += v.Process.Heap / (1 << 20)
		cpu, rss, err := usage(e.PID())
		if err != nil {
			return s, err
		}
		s.cpu += cpu
		s.rss += rss
	}
	return s, nil
}

// usage returns a process's processor time in seconds and its resident memory in
// MiB.
func usage(pid int) (cpu, rss float64, err error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, err
	}
	// Of the fields after the closing parenthesis of the command name, utime and
	// stime are the 12th and 13th, and rss in pages is the 22nd.
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	pages, _ := strconv.ParseFloat(fields[21], 64)
	return (user + system) * tick, pages * float64(os.Getpagesize()) / (1 << 20), nil
}
