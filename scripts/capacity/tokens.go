package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"primrosehook/launcher"
)

// Parameters of the token measurement.
const (
	warmup       = 5 * time.Second
	tokenEngines = 4
	// answerTokens is the requested length of an answer in tokens. It is close to the
	// simulated engine's maximum of about 80, so that the cost per token dominates
	// the cost per request.
	answerTokens = 64
)

const tokenRules = `
name: capacity
models: [{name: tiny, pool: survey, memory: 1000}]
rules: [{name: all, when: 'true', then: {class: urgent, deadline: 60s, queue: 30s}}]
`

// callers is a set of closed-loop clients: each sends one request after the
// other in a goroutine of its own. answered counts the completed requests, tokens the
// received events with data.
type callers struct {
	url      string
	client   *http.Client
	tokens   atomic.Int64
	answered atomic.Int64
	wait     sync.WaitGroup
}

// run sends requests until the context ends.
func (c *callers) run(ctx context.Context, n int) {
	defer c.wait.Done()
	for i := 0; ctx.Err() == nil; i++ {
		body, _ := json.Marshal(map[string]any{
			"model": "tiny", "stream": true, "max_tokens": answerTokens, "seed": n*100_000 + i + 1,
			"prompt": fmt.Sprintf("caller %d asks for the %d. time", n, i),
		})
		q, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url, bytes.NewReader(body))
		if err != nil {
			return
		}
		p, err := c.client.Do(q)
		if err != nil {
			continue
		}
		text, _ := io.ReadAll(p.Body)
		_ = p.Body.Close()
		c.answered.Add(1)
		c.tokens.Add(int64(bytes.Count(text, []byte("data: {"))))
	}
}

// measureTokens prints the cost of tokens for one instance, by the number of
// concurrent streams.
func measureTokens(ctx context.Context, programs launcher.Programs, span time.Duration) error {
	fmt.Println("streams  requests/s  tokens/s  cpu %  cpu us/token  rss MB")
	for _, streams := range []int{1, 32, 128, 384} {
		if err := measureStreams(ctx, programs, streams, span); err != nil {
			return err
		}
	}
	return nil
}

func measureStreams(ctx context.Context, programs launcher.Programs, streams int, span time.Duration) error {
	f := &fleet{cluster: launcher.New(programs, io.Discard)}
	defer f.cluster.Stop()
	var err error
	if f.platform, err = f.cluster.Platform(ctx); err != nil {
		return err
	}
	for range tokenEngines {
		if _, err := f.cluster.Engine(ctx, "-model", "tiny", "-pool", "survey", "-batch", "128", "-step", "20ms"); err != nil {
			return err
		}
	}
	e, err := f.cluster.Entry(ctx)
	if err != nil {
		return err
	}
	f.entries = append(f.entries, e)
	if err := f.publish(ctx, tokenRules); err != nil {
		return err
	}
	clock := clockwork.NewRealClock()
	clock.Sleep(warmup)
	running, cancel := context.WithCancel(ctx)
	c := &callers{url: e.URL() + "/v1/completions", client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streams}}}
	for n := range streams {
		c.wait.Add(1)
		go c.run(running, n)
	}
	defer c.wait.Wait()
	defer cancel()
	clock.Sleep(warmup)
	tokens, answeredBefore := c.tokens.Load(), c.answered.Load()
	before, _, err := usage(e.PID())
	if err != nil {
		return err
	}
	clock.Sleep(span)
	after, rss, err := usage(e.PID())
	if err != nil {
		return err
	}
	generated := float64(c.tokens.Load() - tokens)
	fmt.Printf("%7d %11.1f %9.0f %6.1f %13.1f %7.1f\n", streams, float64(c.answered.Load()-answeredBefore)/span.Seconds(),
		generated/span.Seconds(), 100*(after-before)/span.Seconds(), 1e6*(after-before)/max(generated, 1), rss)
	return nil
}
