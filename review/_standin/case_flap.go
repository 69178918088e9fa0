package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// flapServers servers stand behind flapInstances instances, which get flapRate writes a second.
	flapServers, flapInstances, flapRate = 150, 18, 1800
	flapLength                           = 103 * time.Second
	// hangTime is for how long an instance answers nothing before the case is over.
	hangTime = 10 * time.Second
)

// runFlap is a service whose servers go down and up by turns, crash, and take new channels late.
func runFlap([]string) int {
	f := newFleet(20*time.Second, flapInstances)
	f.configure(1)
	f.launch("farm", func() *exec.Cmd {
		args := []string{"farm", "-network", f.network, "-store", f.storeAddress(), "-service", "api", "-dir", f.dir, "-count", strconv.Itoa(flapServers), "-after", "6s"}
		if troubled() {
			args = append(args, "-flap-share", "0.1", "-flap-gap", "950ms", "-flap-for", "6.5s", "-crash-share", "0.25", "-crash-for", "1s", "-full", "300ms", "-full-every", "700ms")
		}
		return f.standin(args...)
	})
	f.startInstances()
	f.note("trouble: %v, from second 6 on: of %d servers a share of 0.1 goes down and up by turns, and a share of 0.25 crashes for 1 s; their queues of new channels are full for 300 of 700 ms", troubled(), flapServers)
	c := newClients(f)
	code := c.checkAnswered(flapRate, flapLength)
	runs, _ := os.ReadFile(filepath.Join(f.dir, "farm.runs"))
	f.note("the servers ran %s requests", runs)
	f.dumpHanging()
	return finish(f, code)
}

// checkAnswered sends writes for a time and checks that they are answered: of those that are
// unanswered at their route's timeout, no more than half are half a second later.
func (c *clients) checkAnswered(perSecond int, length time.Duration) int {
	const timeout = 3 * time.Second
	var mu sync.Mutex
	sent, late, silent := 0, 0, 0
	bySecond := map[int][2]int{}
	statuses := map[int]int{}
	tick := time.NewTicker(time.Second / time.Duration(perSecond))
	defer tick.Stop()
	for end := time.Now().Add(length); time.Now().Before(end) && !c.hanging(hangTime); <-tick.C {
		c.work.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
			defer cancel()
			id, at, i := fmt.Sprintf("%016x", rand.Uint64()), time.Now(), c.instance(-1)
			o := c.attempt(ctx, i, id, "/post/"+id, http.Header{"Primrosehook-Request-Deadline": {"6000"}}, nil, 0)
			took := time.Since(at)
			mu.Lock()
			defer mu.Unlock()
			sent++
			statuses[o.status]++
			if took < timeout {
				return
			}
			late++
			second := int(at.Sub(c.started).Seconds())
			n := bySecond[second]
			n[0]++
			if took >= timeout+500*time.Millisecond {
				silent++
				n[1]++
				if silent <= 20 {
					c.note("request %s at front-%d: no answer after %v (%v)", id, i+1, took, o.err)
				}
			}
			bySecond[second] = n
		})
	}
	c.work.Wait()
	c.note("sent %d, statuses %v, unanswered at the timeout of the route %d, half a second later %d, by second %v", sent, statuses, late, silent, bySecond)
	if silent >= 8 && 2*silent > late {
		return exitBroken
	}
	return exitHeld
}

// hanging reports whether an instance has answered no readiness check for a time.
func (c *clients) hanging(length time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	// A check that gets no answer takes a second, and there is a second between two.
	return slices.ContainsFunc(c.misses, func(n int) bool { return time.Duration(n)*2*time.Second >= length })
}

// dumpHanging ends the instances that answer no readiness check with SIGQUIT, which writes the
// stacks of their goroutines to their log, and notes those that wait for a lock.
func (f *fleet) dumpHanging() {
	for i := range f.instances {
		name := fmt.Sprintf("front-%d", i+1)
		if f.ready(i) || f.ready(i) {
			continue
		}
		f.mu.Lock()
		p := f.processes[name]
		p.down = true
		f.mu.Unlock()
		_ = p.cmd.Process.Signal(syscall.SIGQUIT)
		<-p.ended
		raw, _ := os.ReadFile(filepath.Join(f.dir, name+".log"))
		_, stacks, _ := strings.Cut(string(raw), "SIGQUIT: quit")
		locked, waits := 0, map[string]int{}
		for g := range strings.SplitSeq(stacks, "\n\n") {
			if !strings.Contains(g, "sync.Mutex.Lock") {
				continue
			}
			locked++
			if strings.Contains(g, "detourer") {
				waits[strings.Join(callers(g), " < ")]++
			}
		}
		f.note("%s hangs: %d goroutines wait for a lock, of these in the detourer:", name, locked)
		for stack, n := range waits {
			f.note("%s hangs: %d of %s", name, n, stack)
		}
	}
}

// callers returns the functions of the project in the stack of a goroutine, the innermost first.
func callers(stack string) []string {
	var list []string
	for line := range strings.Lines(stack) {
		if name, ok := strings.CutPrefix(line, "primrosehook/"); ok {
			name, _, _ = strings.Cut(name, "({")
			name, _, _ = strings.Cut(name, "(0x")
			list = append(list, strings.TrimSpace(name))
		}
	}
	return list
}
