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

// The kinds of work.
const (
	kindCall = iota
	kindWrite
	kindChat
	kindJob
	kinds
)

// Bounds of the callers.
const (
	// patience is how long past its deadline a caller goes on: it counts as
	// late then, and what must hold is still checked.
	patience = 20 * time.Second
	// pause is the wait before a repeat whose answer names none.
	pause     = 200 * time.Millisecond
	maxTokens = 40
	// callers is how many branches or members there are.
	callers = 60
	// jobWithin is how soon a job should be accepted, which no rule says.
	jobWithin = 3 * time.Second
)

// message is one HTTP request.
type message struct {
	method, url string
	body        []byte
	key         string
	caller      string
}

// answer is what came back, whole.
type answer struct {
	status int
	header http.Header
	body   []byte
	// first is when the first byte of the body came.
	first time.Time
}

// exchange sends a request and reads the answer to its end. The answer holds
// what came also if the connection broke.
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

// work is one request of a caller, with its repeats.
type work struct {
	fleet  *fleet
	tally  *tally
	kind   int
	number int
	model  string
	caller string
	// class and deadline are what the rules say of it.
	class    string
	deadline time.Duration
	begin    time.Time
}

// offer lets work arrive at random moments and waits until all has ended.
func (f *fleet) offer(ctx context.Context, s settings) *tally {
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
	w := &work{fleet: f, number: n, caller: fmt.Sprintf("caller-%02d", random.IntN(callers))}
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
		w.deadline = jobWithin
	}
	return w
}

// popular draws a model: few are asked for often, all now and then.
func (f *fleet) popular(random *rand.Rand) string {
	n := len(f.list.Models)
	return f.list.Models[int(float64(n)*random.Float64()*random.Float64()*random.Float64())].Name
}

// run sends the work, and again as long as the caller was told to or does not
// know, each time to another instance.
func (w *work) run(ctx context.Context, wait *sync.WaitGroup) {
	defer wait.Done()
	ctx, cancel := context.WithTimeout(ctx, w.deadline+patience)
	defer cancel()
	o := outcome{work: w}
	for ctx.Err() == nil && !o.ended {
		e := w.fleet.choose(w.number + o.tries)
		o.tries++
		if e != nil {
			w.try(ctx, e.URL(), &o)
		}
		if !o.ended {
			w.rest(ctx, &o)
		}
	}
	w.tally.add(o)
}

// rest waits as long as the last answer said.
func (w *work) rest(ctx context.Context, o *outcome) {
	wait := pause
	if s, err := strconv.ParseFloat(o.retry, 64); err == nil {
		wait = time.Duration(s * float64(time.Second))
	}
	select {
	case <-w.fleet.clock.After(wait):
	case <-ctx.Done():
	}
}

// try sends the work once.
func (w *work) try(ctx context.Context, url string, o *outcome) {
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
		m.url, m.body = url+"/v1/completions", w.question()
	case kindJob:
		m.url, m.key = url+"/v1/jobs", w.key()
		m.body = fmt.Appendf(nil, `{"url":"/v1/completions","body":%s}`, w.question())
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

func (w *work) question() []byte {
	r := w.request()
	body, _ := json.Marshal(map[string]any{
		"model": r.Model, "prompt": r.Prompt, "seed": r.Seed, "max_tokens": r.MaxTokens, "stream": w.kind == kindChat,
	})
	return body
}

// read checks a streamed answer. One that was cut is asked for again: the
// caller of a completion may repeat it.
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

// outcome is how a piece of work ended.
type outcome struct {
	work  *work
	tries int
	cuts  int
	first time.Time
	// ended is set once the caller has its whole answer.
	ended bool
	// refused is set once the caller has given up for good.
	refused bool
	wrong   bool
	// unknown is set if the caller was once told that a write may have run.
	unknown bool
	// code is that of the last refusal.
	code  string
	retry string
	// job is where to fetch an accepted job.
	job string
}

// refuse notes an error.
func (o *outcome) refuse(a answer, err error) {
	o.code = "connection"
	if err == nil {
		var body struct{ Error struct{ Code string } }
		_ = json.Unmarshal(a.body, &body)
		o.code = fmt.Sprintf("%d %s", a.status, body.Error.Code)
	}
	verdict := a.header.Get(judge.Header)
	o.unknown = o.unknown || verdict != judge.NotRun.String()
	// A refusal without a time to come back is final.
	o.refused = err == nil && o.retry == "" && a.status < http.StatusInternalServerError
	o.ended = o.refused
}

// inTime reports whether the work met its deadline.
func (o *outcome) inTime() bool {
	return o.ended && !o.refused && !o.wrong && !o.first.IsZero() && o.first.Sub(o.work.begin) <= o.work.deadline
}
