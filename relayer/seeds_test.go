package relayer_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/balancer"
)

// lastTestEvent is the last event of the streams of faultyServer.
const lastTestEvent = 5

// runLog counts the runs and arrivals of requests at all servers, by request ID.
type runLog struct {
	mu             sync.Mutex
	arrivals, runs map[string]int
	active         atomic.Int64
}

func (l *runLog) count(m map[string]int, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m[id]++
}

func (l *runLog) get(id string) (arrivals, runs int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.arrivals[id], l.runs[id]
}

// faultyServer pauses, refuses, fails and breaks off at random.
func faultyServer(seed, server uint64, log *runLog) handler {
	pauses := []time.Duration{0, 0, 0, 100 * time.Millisecond, 500 * time.Millisecond, 1300 * time.Millisecond, 1650 * time.Millisecond}
	return func(w http.ResponseWriter, q *http.Request) {
		log.active.Add(1)
		defer log.active.Add(-1)
		_, _ = io.Copy(io.Discard, q.Body)
		id := q.Header.Get("Id")
		random := rand.New(rand.NewPCG(seed, server^balancer.Hash(id)))
		log.count(log.arrivals, id)
		pause := func() bool {
			select {
			case <-time.After(pauses[random.IntN(len(pauses))]):
				return true
			case <-q.Context().Done():
				return false
			}
		}
		if !pause() {
			log.count(log.runs, id)
			return
		}
		fate := random.IntN(10)
		if fate < 2 {
			statusOnly(503, "Refused")(w, q)
			return
		}
		log.count(log.runs, id)
		switch {
		case fate == 2:
			statusOnly(500, "Sign")(w, q)
		case fate == 3:
			abortConnection(w, q)
		case !strings.HasPrefix(q.URL.Path, "/chat/"):
			signedAnswer("whole")(w, q)
		case fate == 4:
			unframedStream(random.IntN(3*lastTestEvent))(w, q)
		default:
			from, breakAfter := 0, random.IntN(3*lastTestEvent)
			_, _ = fmt.Sscan(q.Header.Get("Last"), &from)
			streamEvents(from, 0)(w, q)
			for i := from + 1; i <= lastTestEvent; i++ {
				if random.IntN(4) == 0 && !pause() {
					return
				}
				_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", i, i)
				_ = http.NewResponseController(w).Flush()
				if i == breakAfter {
					_, _ = io.WriteString(w, "id: 9\nda")
					_ = http.NewResponseController(w).Flush()
					panic(http.ErrAbortHandler)
				}
			}
		}
	}
}

// unframedStream streams events after the request's Last header up to lastTestEvent, with
// neither a length nor chunks. It closes the connection in the event after breakAfter, if
// there is one.
func unframedStream(breakAfter int) handler {
	return func(w http.ResponseWriter, q *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		defer c.Close()
		from := 0
		_, _ = fmt.Sscan(q.Header.Get("Last"), &from)
		_, _ = io.WriteString(c, framedHead(q.Header.Get("Id"), "neither", 0))
		for i := from + 1; i <= lastTestEvent; i++ {
			_, _ = fmt.Fprintf(c, "id: %d\ndata: %d\n\n", i, i)
			if i == breakAfter && i < lastTestEvent {
				_, _ = io.WriteString(c, "id: 9\nda")
				return
			}
		}
	}
}

// sendRandom sends a request of a random kind, which its client may give up, and
// returns what is wrong with its answer, empty for nothing.
func (w *fixture) sendRandom(random *rand.Rand, id string, log *runLog) string {
	kind := []string{"read", "write", "chat"}[random.IntN(3)]
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if random.IntN(5) == 0 {
		defer time.AfterFunc(time.Duration(random.IntN(1800))*time.Millisecond, cancel).Stop()
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, w.proxy.URL+"/"+kind+"/1", strings.NewReader("x"))
	if err != nil {
		return err.Error()
	}
	q.Host = "h"
	q.Header.Set("Id", id)
	code, body := 0, ""
	p, err := http.DefaultClient.Do(q)
	if err == nil {
		var raw []byte
		raw, err = io.ReadAll(p.Body)
		_ = p.Body.Close()
		code, body = p.StatusCode, string(raw)
	}
	left := ctx.Err() != nil
	arrivals, runs := log.get(id)
	var whole strings.Builder
	for i := 1; i <= lastTestEvent; i++ {
		fmt.Fprintf(&whole, "id: %d\ndata: %d\n\n", i, i)
	}
	want := whole.String()
	if kind != "chat" {
		want = "whole"
	}
	switch got := fmt.Sprintf("%s %s: %d %q %v, %d arrivals, %d runs", kind, id, code, body, err, arrivals, runs); {
	case arrivals > 2:
		return "more arrivals than attempts: " + got
	case kind == "write" && runs > 1:
		return "run twice: " + got
	case code == http.StatusServiceUnavailable && runs > 0:
		return "refused after a run: " + got
	case code == 0 && !left:
		return "not answered: " + got
	case code == http.StatusOK && !strings.HasPrefix(want, body):
		return "other bytes: " + got
	case code == http.StatusOK && err == nil && body != want:
		return "cut, but looks complete: " + got
	case err != nil && !left && kind != "chat":
		return "broken: " + got
	}
	return ""
}

var _ = Describe("Requests to servers that pause, refuse, fail and break off", func() {
	// Guards against missing, repeated or mixed events, runs beyond the attempts,
	// refusals of requests that ran, and connections that outlive their request.
	It("get each event once, and run no more often than they may", func() {
		const seeds, requests = 50, 6
		var group sync.WaitGroup
		problems := make(chan string, seeds*requests)
		var fixtures []*fixture
		var logs []*runLog
		for seed := range uint64(seeds) {
			log := &runLog{arrivals: map[string]int{}, runs: map[string]int{}}
			w := startRelayer(faultyServer(seed, 0, log), faultyServer(seed, 1, log), faultyServer(seed, 2, log))
			fixtures, logs = append(fixtures, w), append(logs, log)
			for i := range uint64(requests) {
				random := rand.New(rand.NewPCG(seed, i))
				start := time.Duration(random.IntN(2000)) * time.Millisecond
				group.Go(func() {
					time.Sleep(start)
					if problem := w.sendRandom(random, fmt.Sprintf("q%d", i), log); problem != "" {
						problems <- fmt.Sprintf("seed %d: %s", seed, problem)
					}
				})
			}
		}
		group.Wait()
		close(problems)
		var list []string
		for p := range problems {
			list = append(list, p)
		}
		Expect(list).To(BeEmpty())
		failovers := 0
		for i, w := range fixtures {
			failovers += w.logs.FilterMessage("relay: server is silent").Len()
			Eventually(func() (n int) {
				for _, f := range w.fleet.OwnInFlight() {
					n += f.Requests
				}
				return n
			}, "2s").Should(BeZero(), "requests in flight, seed %d", i)
			Eventually(logs[i].active.Load, "2s").Should(BeZero(), "requests at servers, seed %d", i)
		}
		Expect(failovers).To(BeNumerically(">", seeds/2), "silent servers")
	})
})
