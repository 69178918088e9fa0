package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"primrosehook/faker"
	"primrosehook/launcher"
	"primrosehook/server"
)

// parts is the number of equal intervals that the report divides the run into.
const parts = 10

// jobTimeout bounds the wait for the accepted jobs after the last arrival.
const jobTimeout = 2 * time.Minute

// tally collects the outcomes of a run.
type tally struct {
	begin  time.Time
	length time.Duration

	mu       sync.Mutex
	classes  map[string]*class
	codes    map[string]int
	outcomes []outcome
}

// class counts the outcomes of one class of work. never counts work that was
// refused or got no whole answer.
type class struct {
	requests, inTime, late, never int
	// parts holds the number of requests and of those answered in time for each
	// interval of the run, by time of arrival.
	parts [parts][2]int
}

func newTally(length time.Duration, begin time.Time) *tally {
	return &tally{begin: begin, length: length, classes: map[string]*class{}, codes: map[string]int{}}
}

func (t *tally) add(o outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outcomes = append(t.outcomes, o)
	c := t.classes[o.work.class]
	if c == nil {
		c = &class{}
		t.classes[o.work.class] = c
	}
	part := min(int(o.work.begin.Sub(t.begin)*parts/t.length), parts-1)
	c.requests++
	c.parts[part][0]++
	switch {
	case o.inTime():
		c.inTime++
		c.parts[part][1]++
	case !o.ended || o.refused:
		c.never++
	default:
		c.late++
	}
	if o.code != "" {
		t.codes[o.code]++
	}
}

// print prints a line for each class with its totals and its share of requests
// in time for each interval of the run.
func (t *tally) print(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%-10s %6s %7s %5s %5s   in time by tenth of the run, %%\n", "class", "asked", "in time", "late", "never")
	for _, name := range slices.Sorted(maps.Keys(t.classes)) {
		c := t.classes[name]
		_, _ = fmt.Fprintf(w, "%-10s %6d %7.4f %5d %5d  ", name, c.requests, float64(c.inTime)/float64(c.requests), c.late, c.never)
		for _, p := range c.parts {
			_, _ = fmt.Fprintf(w, " %4s", share(p[1], p[0]))
		}
		_, _ = fmt.Fprintln(w)
	}
	for _, code := range slices.Sorted(maps.Keys(t.codes)) {
		_, _ = fmt.Fprintf(w, "  last refusal %q: %d\n", code, t.codes[code])
	}
}

// share returns part as a percentage of whole, or "-" if whole is zero.
func share(part, whole int) string {
	if whole == 0 {
		return "-"
	}
	return fmt.Sprintf("%.0f", 100*float64(part)/float64(whole))
}

// awaitJobs waits until every accepted job is done, for at most jobTimeout.
func (f *fleet) awaitJobs(ctx context.Context, t *tally) error {
	limit, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	for _, o := range t.outcomes {
		if o.job == "" {
			continue
		}
		if err := f.awaitJob(limit, o.job); err != nil {
			return fmt.Errorf("accepted job %s is not done %v after the last arrival: %w", o.job, jobTimeout, err)
		}
	}
	return nil
}

// awaitJob polls an accepted job until it is done.
func (f *fleet) awaitJob(ctx context.Context, path string) error {
	var job struct{ Status string }
	for n := 0; ; n++ {
		if e := f.choose(n); e != nil {
			a, err := f.exchange(ctx, message{method: http.MethodGet, url: e.URL() + path})
			if err == nil && a.status == http.StatusOK && json.Unmarshal(a.body, &job) == nil && job.Status == server.JobDone {
				return nil
			}
			if a.status == http.StatusNotFound {
				return errors.New("is not known")
			}
		}
		select {
		case <-f.clock.After(retryInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// check prints the injected faults and verifies the invariants.
func (f *fleet) check(ctx context.Context, t *tally) error {
	f.mu.Lock()
	for _, event := range f.events {
		fmt.Println("  " + event)
	}
	f.mu.Unlock()
	ran, err := f.runCounts(ctx)
	if err != nil {
		return err
	}
	doubled, lost, wrong, unknown, jobs, cuts := 0, 0, 0, 0, 0, 0
	for _, o := range t.outcomes {
		if o.wrong {
			wrong++
		}
		if o.job != "" {
			jobs++
		}
		cuts += o.cuts
		if o.work.kind != kindWrite {
			continue
		}
		count := ran[o.work.key()]
		switch {
		case count > 1:
			doubled++
		case o.ended && !o.refused && count == 0:
			lost++
		case !o.ended && o.unknown:
			unknown++
		}
	}
	over, moves, err := f.memory(ctx)
	if err != nil {
		return err
	}
	fmt.Printf("  writes doubled %d, confirmed but not run %d, left in doubt %d; wrong answers %d; answers asked for again %d\n",
		doubled, lost, unknown, wrong, cuts)
	fmt.Printf("  jobs accepted and done %d; overcommits %d; loads and unloads %d\n", jobs, over, moves)
	if doubled+lost+wrong+over > 0 {
		return errors.New("an invariant was violated")
	}
	return nil
}

// runCounts returns how many times each write ran, by its key, summed over all
// servers of the service.
func (f *fleet) runCounts(ctx context.Context) (map[string]int, error) {
	counts := map[string]int{}
	for _, s := range f.services {
		var ran map[string]faker.Run
		if err := launcher.Get(ctx, s.URL()+"/ran", &ran); err != nil {
			return nil, err
		}
		for key, r := range ran {
			counts[key] += r.Count
		}
	}
	return counts, nil
}

// memory returns the number of overcommits that the engines in the surviving
// zones recorded, and of loads and unloads that the instances last reported.
func (f *fleet) memory(ctx context.Context) (over int, moves int64, err error) {
	for zone, p := range f.engines {
		if slices.Contains(f.lostZones, zone) {
			continue
		}
		for n := range f.members(zone) {
			var seen []faker.Violation
			if err := launcher.Get(ctx, p.Member(n)+"/violations", &seen); err != nil {
				return 0, 0, err
			}
			over += len(seen)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, count := range f.moves {
		moves += count
	}
	return over, moves, nil
}
