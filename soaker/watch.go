package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"time"

	"go.uber.org/zap"

	"primrosehook/auditor"
)

const (
	// checkEvery is the interval of readiness checks, resourcesEvery that of looks at memory and
	// descriptors, progressEvery that of progress lines.
	checkEvery, resourcesEvery, progressEvery = 500 * time.Millisecond, 500 * time.Millisecond, 5 * time.Second
	// maxMisses readiness checks without 200 in a row take an instance out.
	maxMisses = 2
	// A new configuration is asked for until probeTime after its acknowledgement.
	probeEvery, probeTime = 500 * time.Millisecond, 5 * time.Second
)

// loopReadiness asks an instance whether it is ready.
func (i *instance) loopReadiness(ctx context.Context) {
	client := &http.Client{Timeout: checkTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	url := fmt.Sprintf("http://%s:%d/-/readiness", i.world.address(1+i.index), portReady)
	for ctx.Err() == nil {
		ready := false
		if p, err := client.Get(url); err == nil {
			ready = p.StatusCode == http.StatusOK
			_ = p.Body.Close() // only the status counts
		}
		sample := auditor.Sample{Instance: i.index, At: i.world.clock.Now(), Ready: ready}
		i.world.record.Change(func() { i.world.record.Samples = append(i.world.record.Samples, sample) })
		i.mu.Lock()
		i.ready = ready
		i.misses++
		if ready {
			i.misses = 0
		}
		i.mu.Unlock()
		i.world.sleep(ctx, checkEvery)
	}
}

// isReady returns the last answer, and whether the instance takes new connections.
func (i *instance) isReady() (ready, inRotation bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.ready, i.misses < maxMisses
}

// pick draws an instance that takes new connections, another one than other if there is one. All do
// if fewer than half of them are ready.
func (w *world) pick(random *rand.Rand, other int) int {
	var list []int
	for _, i := range w.instances {
		if _, ok := i.isReady(); ok && i.index != other {
			list = append(list, i.index)
		}
	}
	if len(list) < len(w.instances)/2 || len(list) == 0 {
		return random.IntN(len(w.instances))
	}
	return list[random.IntN(len(list))]
}

// loopResources looks at the memory and the descriptors of an instance's process.
func (i *instance) loopResources(ctx context.Context) {
	for ctx.Err() == nil {
		if p, entry, _ := i.current(); p != nil && p.Ending() == "" {
			memory, descriptors := resources(p.PID())
			i.world.record.Change(func() {
				entry.PeakMB, entry.PeakDescriptors = max(entry.PeakMB, memory), max(entry.PeakDescriptors, descriptors)
			})
		}
		i.world.sleep(ctx, resourcesEvery)
	}
}

// resources returns the peak of a process's memory in MB, and its descriptors; zero if it has ended.
func resources(pid int) (int, int) {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0, 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0
	}
	_, rest, _ := strings.Cut(string(text), "VmHWM:")
	kb := 0
	_, _ = fmt.Sscan(rest, &kb) // none for a process that has ended just now
	return kb / 1024, len(list)
}

// loopProbes asks an instance for the route that only the newest configuration has.
func (i *instance) loopProbes(ctx context.Context) {
	c := &client{world: i.world, instance: i.index, random: rand.New(rand.NewPCG(i.world.options.Seed, uint64(i.index)))}
	for n := 0; ctx.Err() == nil; n++ {
		i.world.sleep(ctx, probeEvery)
		version, at := i.world.newest()
		if version == 0 || i.world.clock.Since(at) > probeTime {
			continue
		}
		c.kind = kind{name: probeRoute(version), budget: 3 * time.Second}
		a := auditor.Attempt{ID: fmt.Sprintf("p%d-%d-%x", i.index, n, i.world.options.Seed), Instance: i.index}
		x := &exchange{client: c, attempt: &a, text: a.ID, until: time.Now().Add(c.kind.budget)}
		x.probe()
		i.world.record.AddRequest(auditor.Request{Kind: "probe", Version: version, Attempts: []auditor.Attempt{a}, Served: a.Complete && a.Status == http.StatusOK})
	}
}

// loopProgress logs how far the soak is.
func (w *world) loopProgress(ctx context.Context) {
	for ctx.Err() == nil {
		w.sleep(ctx, progressEvery)
		ready := 0
		for _, i := range w.instances {
			if ok, _ := i.isReady(); ok {
				ready++
			}
		}
		made, served := w.record.Counts()
		w.log.Info("soak: progress", zap.Float64("s", w.clock.Since(w.record.Begin).Round(time.Second/10).Seconds()), zap.Int("requests", made), zap.Int("served", served), zap.Int("ready", ready), zap.Int("instances", len(w.instances)))
	}
}
