package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"primrosehook/driver"
	"primrosehook/faker"
	"primrosehook/judge"
	"primrosehook/ruler"
	"primrosehook/server"
)

// The kinds of work; kinds is their number.
const (
	kindCall = iota
	kindWrite
	kindChat
	kindJob
	kinds
)

// Limits of the simulated callers.
const (
	// overdueTimeout is how long a caller keeps retrying past its deadline: the request
	// then counts as late, and its answer is still checked.
	overdueTimeout = 20 * time.Second
	// retryInterval is the wait before a retry if the answer has no Retry-After.
	retryInterval = 200 * time.Millisecond
	maxTokens     = 40
	// callerCount is the number of distinct callers (branches or members).
	callerCount = 60
	// jobAcceptDeadline is the deadline for accepting a job; the rules set none.
	jobAcceptDeadline = 3 * time.Second
)

// message is one HTTP request.
type message struct {
	method, url string
	body        []byte
	key         string
	caller      string
}

// answer is a response with its whole body.
type answer struct {
	status int
	header http.Header
	body   []byte
	// first is when the first byte of the body arrived.
	first time.Time
}

// exchange sends a request and reads the response to its end. If the connection
// breaks while the body is read, the answer holds what has arrived and the error
// is set.
func (f *fleet) exchange(ctx context.Context, m message) (answer, error) {
	q, err := http.NewRequestWithContext(ctx, m.method, m.url, bytes.NewReader(m.body))
	if err != nil {
		return answer{}, err
	}
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set(server.ClientHeader, m.caller)
	if m.key != "" {
		q.Header.Set(server.KeyHeader, m.key)
	}
	p, err := http.DefaultClient.Do(q)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = p.Body.Close() }()
	a := answer{status: p.StatusCode, header: p.Header}
	body := bufio.NewReader(p.Body)
	_, _ = body.Peek(1)
	a.first = f.clock.Now()
	a.body, err = io.ReadAll(body)
	return a, err
}

// work is one request of a caller, including its retries.
type work struct {
	fleet  *fleet
	tally  *tally
	kind   int
	number int
	model  string
	caller string
	// class and deadline are those of the matching rule.
	class    string
	deadline time.Duration
	begin    time.Time
}

// generateLoad generates requests with exponentially distributed inter-arrival times
// and waits until all of them have ended.
func (f *fleet) generateLoad(ctx context.Context, s settings) *tally {
	random := rand.New(rand.NewPCG(s.seed, 0))
	t := newTally(s.length, f.clock.Now())
	var wait sync.WaitGroup
	for n := 0; ctx.Err() == nil && f.clock.Since(t.begin) < s.length; n++ {
		f.clock.Sleep(time.Duration(random.ExpFloat64() / s.rate * float64(time.Second)))
		w := f.draw(random, n)
		w.tally, w.begin = t, f.clock.Now()
		wait.Add(1)
		go w.run(ctx, &wait)
	}
	wait.Wait()
	return t
}

func (f *fleet) draw(random *rand.Rand, n int) *work {
	w := &work{fleet: f, number: n, caller: fmt.Sprintf("caller-%02d", random.IntN(callerCount))}
	at := random.Float64()
	for w.kind < kinds-1 && at >= f.shares[w.kind] {
		at -= f.shares[w.kind]
		w.kind++
	}
	s := ruler.Situation{Caller: w.caller}
	switch w.kind {
	case kindCall:
		s.Kind, s.Service, s.Method, s.Path = ruler.KindCall, f.service, http.MethodGet, f.read
	case kindWrite:
		s.Kind, s.Service, s.Method, s.Path = ruler.KindWrite, f.service, http.MethodPost, f.write
	case kindChat:
		w.model = f.popular(random)
		s.Kind, s.Model = ruler.KindChat, w.model
	case kindJob:
		w.model = f.job
		s.Kind, s.Model = ruler.KindJob, w.model
	}
	then := f.list.Decide(f.list.WithTime(f.clock.Now(), s)).Then
	w.class, w.deadline = then.Class, then.Deadline
	if w.kind == kindJob {
		w.deadline = jobAcceptDeadline
	}
	return w
}

// popular draws a model from a skewed distribution: the first models of the list
// are requested often, the others rarely.
func (f *fleet) popular(random *rand.Rand) string {
	n := len(f.list.Models)
	return f.list.Models[int(float64(n)*random.Float64()*random.Float64()*random.Float64())].Name
}

// run sends the work and retries it, each time at the next ready instance, until
// it has an answer or a final refusal, or the context expires.
func (w *work) run(ctx context.Context, wait *sync.WaitGroup) {
	defer wait.Done()
	ctx, cancel := context.WithTimeout(ctx, w.deadline+overdueTimeout)
	defer cancel()
	o := outcome{work: w}
	for ctx.Err() == nil && !o.ended {
		e := w.fleet.choose(w.number + o.attempts)
		o.attempts++
		if e != nil {
			w.attempt(ctx, e.URL(), &o)
		}
		if !o.ended {
			w.waitRetry(ctx, &o)
		}
	}
	w.tally.add(o)
}

// waitRetry waits for the Retry-After of the last answer, or for retryInterval if
// it had none.
func (w *work) waitRetry(ctx context.Context, o *outcome) {
	wait := retryInterval
	if s, err := strconv.ParseFloat(o.retry, 64); err == nil {
		wait = time.Duration(s * float64(time.Second))
	}
	select {
	case <-w.fleet.clock.After(wait):
	case <-ctx.Done():
	}
}

// attempt makes one attempt.
func (w *work) attempt(ctx context.Context, url string, o *outcome) {
	a, err := w.fleet.exchange(ctx, w.message(url))
	o.retry = a.header.Get("Retry-After")
	if err != nil || a.status >= http.StatusBadRequest {
		o.refuse(a, err)
		return
	}
	switch w.kind {
	case kindChat:
		w.read(a, o)
	case kindJob:
		o.job, o.ended = a.header.Get("Location"), true
	default:
		o.ended = true
	}
	if o.first.IsZero() {
		o.first = a.first
	}
}

func (w *work) message(url string) message {
	m := message{method: http.MethodPost, caller: w.caller}
	service := url + "/services/" + w.fleet.service
	switch w.kind {
	case kindCall:
		m.method, m.url = http.MethodGet, service+w.fleet.read
	case kindWrite:
		m.url, m.key = service+w.fleet.write, w.key()
		m.body = fmt.Appendf(nil, `{"number":%d}`, w.number)
	case kindChat:
		m.url, m.body = url+"/v1/completions", w.completionBody()
	case kindJob:
		m.url, m.key = url+"/v1/jobs", w.key()
		m.body = fmt.Appendf(nil, `{"url":"/v1/completions","body":%s}`, w.completionBody())
	}
	return m
}

func (w *work) key() string {
	return fmt.Sprintf("%s-%d-%d", w.fleet.name, w.tally.begin.UnixNano(), w.number)
}

func (w *work) request() driver.Request {
	m, _ := w.fleet.list.Model(w.model)
	return driver.Request{
		Weights: driver.Weights{Model: m.Name, Version: m.Version}, Seed: int64(w.number + 1), MaxTokens: maxTokens,
		Prompt: fmt.Sprintf("request %d of %s", w.number, w.caller),
	}
}

func (w *work) completionBody() []byte {
	r := w.request()
	body, _ := json.Marshal(map[string]any{
		"model": r.Model, "prompt": r.Prompt, "seed": r.Seed, "max_tokens": r.MaxTokens, "stream": w.kind == kindChat,
	})
	return body
}

// read compares a streamed answer with the expected text. A truncated stream
// leaves the outcome open and is retried: a completion is safe to repeat.
func (w *work) read(a answer, o *outcome) {
	var text strings.Builder
	for line := range strings.SplitSeq(string(a.body), "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if data == "[DONE]" {
			o.ended = true
		}
		var event struct {
			Choices []struct{ Text string }
		}
		if ok && json.Unmarshal([]byte(data), &event) == nil && len(event.Choices) > 0 {
			text.WriteString(event.Choices[0].Text)
		}
	}
	want := faker.Text(faker.Answer(w.request()))
	o.wrong = o.wrong || !strings.HasPrefix(want, text.String()) || o.ended && text.String() != want
	if !o.ended {
		o.cuts++
	}
}

// outcome is the result of one piece of work over all its attempts.
type outcome struct {
	work     *work
	attempts int
	cuts     int
	first    time.Time
	// ended is set once the caller has its whole answer or a final refusal.
	ended bool
	// refused is set once a refusal is final.
	refused bool
	wrong   bool
	// unknown is set if an attempt failed without the verdict that it did not run.
	unknown bool
	// code is the status and error code of the last refusal.
	code  string
	retry string
	// job is the path at which an accepted job can be fetched.
	job string
}

// refuse records a failed attempt.
func (o *outcome) refuse(a answer, err error) {
	o.code = "connection"
	if err == nil {
		var body struct{ Error struct{ Code string } }
		_ = json.Unmarshal(a.body, &body)
		o.code = fmt.Sprintf("%d %s", a.status, body.Error.Code)
	}
	verdict := a.header.Get(judge.Header)
	o.unknown = o.unknown || verdict != judge.NotRun.String()
	// A client error (status below 500) without Retry-After is final.
	o.refused = err == nil && o.retry == "" && a.status < http.StatusInternalServerError
	o.ended = o.refused
}

// inTime reports whether the work met its deadline.
func (o *outcome) inTime() bool {
	return o.ended && !o.refused && !o.wrong && !o.first.IsZero() && o.first.Sub(o.work.begin) <= o.work.deadline
}
