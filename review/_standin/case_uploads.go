package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// uploadTime is how long a client takes to send a body.
	uploadTime = time.Second
	// waves is how often clients send at the same time, wavePause the time between.
	waves = 6
	// uploads is how many clients send in a wave, to all instances together.
	uploads   = 90
	wavePause = 15 * time.Second
)

// slowBody is a body that is sent at an even pace.
type slowBody struct {
	left  int
	chunk []byte
}

// Read implements io.Reader.
func (b *slowBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.chunk[:min(len(b.chunk), b.left)])
	b.left -= n
	time.Sleep(uploadTime * time.Duration(n) / maxBody)
	return n, nil
}

// runUploads is a burst of writes with the largest body that the configuration allows.
func runUploads([]string) int {
	f := newFleet(20*time.Second, 3)
	f.configure(1)
	f.startServer(0, "api", "-plain")
	f.startServer(1, "api", "-plain")
	f.startServer(2, "api", "-plain")
	f.startInstances()
	c := newClients(f)
	peaks, kills := map[string]int{}, map[string]int{}
	var mu sync.Mutex
	for i := range f.instances {
		name := fmt.Sprintf("front-%d", i+1)
		go func() {
			for ; ; time.Sleep(10 * time.Millisecond) {
				mb := f.residentMB(name)
				mu.Lock()
				peaks[name] = max(peaks[name], mb)
				if mb > memoryMB {
					kills[name]++
					f.note("%s uses %d MB and is killed", name, mb)
					f.end(name)
					mu.Unlock()
					time.Sleep(2 * restartDelay)
					continue
				}
				mu.Unlock()
			}
		}()
	}
	size := 3000
	if troubled() {
		size = maxBody
	}
	perWave := uploads
	answers := map[string]int{}
	for wave := range waves {
		f.note("wave %d: %d clients send %d bytes each", wave+1, perWave, size)
		for n := range perWave {
			c.work.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
				defer cancel()
				id := fmt.Sprintf("%016x", rand.Uint64())
				o := c.attempt(ctx, n%f.instances, id, "/post/"+id, http.Header{"Primrosehook-Request-Deadline": {"6000"}}, &slowBody{left: size, chunk: make([]byte, 64<<10)}, int64(size))
				mu.Lock()
				defer mu.Unlock()
				answer := strconv.Itoa(o.status)
				if o.err != nil {
					answer = "channel ended"
				}
				answers[answer]++
			})
		}
		time.Sleep(wavePause)
	}
	c.work.Wait()
	mu.Lock()
	defer mu.Unlock()
	f.note("answers: %v; peaks of memory in MB: %v; processes over the limit of %d MB: %v", answers, peaks, memoryMB, kills)
	often := 0
	for _, n := range kills {
		if n >= 3 {
			often++
		}
	}
	if often >= 2 {
		return finish(f, exitBroken)
	}
	return finish(f, exitHeld)
}

// end kills a process as the platform does; it is started again.
func (f *fleet) end(name string) {
	f.mu.Lock()
	p := f.processes[name]
	f.mu.Unlock()
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
}

// residentMB returns the memory that a process uses.
func (f *fleet) residentMB(name string) int {
	f.mu.Lock()
	pid := f.processes[name].cmd.Process.Pid
	f.mu.Unlock()
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(raw)) {
		if v, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(v)[0])
			return kb / 1024
		}
	}
	return 0
}
