package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// clients send requests through the instances, as the platform's balancer passes them on.
type clients struct {
	*fleet

	mu sync.Mutex
	// misses counts the readiness checks in a row that each instance has missed.
	misses []int
	// models is what became of the requests for each model.
	models map[string]*demand
	// sent and served are the requests by the second in which they were sent.
	sent, served map[int]int
	work         sync.WaitGroup
}

// demand is what became of the requests for a model.
type demand struct {
	asked, served int
	first, last   time.Time
	statuses      map[int]int
}

func newClients(f *fleet) *clients {
	c := &clients{fleet: f, misses: make([]int, f.instances), models: map[string]*demand{}, sent: map[int]int{}, served: map[int]int{}}
	go c.loopChecks()
	return c
}

// loopChecks asks each instance once a second whether it is ready.
func (c *clients) loopChecks() {
	for ; ; time.Sleep(time.Second) {
		for i := range c.instances {
			ok := c.ready(i)
			c.mu.Lock()
			c.misses[i]++
			if ok {
				c.misses[i] = 0
			}
			c.mu.Unlock()
		}
	}
}

// instance returns an instance that takes new channels, other than one; after two misses it
// takes none.
func (c *clients) instance(other int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []int
	for i, n := range c.misses {
		if n < 2 && i != other {
			list = append(list, i)
		}
	}
	if len(list) == 0 {
		return rand.IntN(c.instances)
	}
	return list[rand.IntN(len(list))]
}

// outcome is what a client got for one attempt.
type outcome struct {
	status     int
	body       []byte
	signed     bool
	retryAfter time.Duration
	err        error
}

// attempt sends a request on a new channel.
func (c *clients) attempt(ctx context.Context, instance int, id, path string, header http.Header, body io.Reader, length int64) outcome {
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:%d%s", c.instanceIP(instance), frontPort, path), body)
	if err != nil {
		return outcome{err: err}
	}
	q.Host, q.ContentLength = "site.example", length
	for name, values := range header {
		q.Header[name] = values
	}
	q.Header.Set("Primrosehook-Request-Id", id)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(q)
	if err != nil {
		return outcome{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return outcome{
		status: resp.StatusCode, body: raw, err: err, signed: resp.Header.Get("Primrosehook-Server-Signature") != "",
		retryAfter: time.Duration(seconds * float64(time.Second)),
	}
}

// chat sends one request for a model. A client whose request was refused comes back once, after
// the time that it was told, up to a third of the time that it has left.
func (c *clients) chat(model string) {
	const budget = 8 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	defer cancel()
	sent := time.Now()
	path := "/chat/" + strconv.FormatUint(rand.Uint64(), 36)
	last := -1
	var o outcome
	for try := range 2 {
		left := budget - time.Since(sent)
		header := http.Header{
			"Primrosehook-Model": {model}, "Primrosehook-Token-Usage": {"300,25"}, "Primrosehook-Request-Deadline": {strconv.FormatInt(left.Milliseconds(), 10)},
			"Primrosehook-Prompt-Prefix": {fmt.Sprintf("aa01:100,%x:200", rand.Uint32())},
		}
		id := fmt.Sprintf("%016x", rand.Uint64())
		last = c.instance(last)
		body := strings.Repeat("x", 600)
		o = c.attempt(ctx, last, id, path, header, strings.NewReader(body), int64(len(body)))
		if o.err != nil {
			c.note("request %s for %s at front-%d: %v", id, model, last+1, o.err)
		} else if o.status != http.StatusOK {
			c.note("request %s for %s at front-%d: status %d, retry after %v", id, model, last+1, o.status, o.retryAfter)
		}
		if try > 0 || o.err == nil && o.status == http.StatusOK {
			break
		}
		select {
		case <-time.After(min(o.retryAfter, (budget-time.Since(sent))/3)):
		case <-ctx.Done():
		}
	}
	served := o.err == nil && o.status == http.StatusOK && o.signed && bytes.Count(o.body, []byte("id: ")) == events
	c.mu.Lock()
	defer c.mu.Unlock()
	d, ok := c.models[model]
	if !ok {
		d = &demand{first: sent, statuses: map[int]int{}}
		c.models[model] = d
	}
	d.asked++
	d.last = sent
	d.statuses[o.status]++
	second := int(sent.Sub(c.started).Seconds())
	c.sent[second]++
	if served {
		d.served++
		c.served[second]++
	}
}

// demand sends requests for models, in turn, at a rate for a time.
func (c *clients) demand(models []string, perSecond int, length time.Duration) {
	c.note("clients ask for %s, %d a second, for %v", strings.Join(models, " "), perSecond, length)
	tick := time.NewTicker(time.Second / time.Duration(perSecond))
	defer tick.Stop()
	end := time.Now().Add(length)
	for n := 0; time.Now().Before(end); n++ {
		c.work.Go(func() { c.chat(models[n%len(models)]) })
		<-tick.C
	}
}

// checkStarved checks the rule Starved: of the models that are asked for four times or more, over
// eight seconds, no more than 1 + 10 in 100 are never served.
func (c *clients) checkStarved() int {
	c.work.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	asked, starved := 0, []string{}
	for m, d := range c.models {
		c.note("model %s: asked %d, served %d, last answers %v", m, d.asked, d.served, d.statuses)
		if d.asked < 4 || d.last.Sub(d.first) < 8*time.Second {
			continue
		}
		asked++
		if d.served == 0 {
			starved = append(starved, m)
		}
	}
	allowed := 1 + 0.1*float64(asked)
	c.note("models asked for: %d; never served: %d (%s); allowed: %.1f", asked, len(starved), strings.Join(starved, " "), allowed)
	if float64(len(starved)) > allowed {
		return exitBroken
	}
	return exitHeld
}
