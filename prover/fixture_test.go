package prover_test

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/driver"
	"primrosehook/faker"
	"primrosehook/judge"
	"primrosehook/launcher"
)

// Timeout and polling interval of Eventually. The timeout is generous, since no test
// asserts a timing.
const (
	waitLimit    = "40s"
	pollInterval = "50ms"
)

// world is a platform with engines and entry instances, each a process of its own.
type world struct {
	ctx      context.Context
	cluster  *launcher.Cluster
	platform *launcher.Process
	mesh     *launcher.Mesh
	engines  []*launcher.Process
	entries  []*launcher.Process
}

func newWorld(ctx context.Context) *world {
	w := &world{ctx: context.WithoutCancel(ctx), cluster: launcher.New(programs, GinkgoWriter)}
	DeferCleanup(w.cluster.Stop)
	var err error
	w.platform, err = w.cluster.Platform(w.ctx, "-list-renewal", "5s")
	Expect(err).NotTo(HaveOccurred())
	w.mesh = launcher.NewMesh(w.cluster)
	DeferCleanup(w.mesh.Close)
	return w
}

// startWorld starts engines, with the given flags, and entry instances, and waits until
// every instance is ready.
func startWorld(ctx context.Context, engines, entries int, flags ...string) *world {
	w := newWorld(ctx)
	for range engines {
		w.engine(flags...)
	}
	for range entries {
		w.entry()
	}
	w.start()
	return w
}

// engine starts an engine that has the model loaded from the start.
func (w *world) engine(flags ...string) *launcher.Process {
	p, err := w.cluster.Engine(w.ctx, append([]string{"-model", "tiny", "-pool", "survey", "-step", "5ms"}, flags...)...)
	Expect(err).NotTo(HaveOccurred())
	w.engines = append(w.engines, p)
	return p
}

func (w *world) entry(flags ...string) *launcher.Process {
	p, err := w.mesh.Entry(w.ctx, append([]string{"-linger", "1500ms", "-stall", "2s"}, flags...)...)
	Expect(err).NotTo(HaveOccurred())
	w.entries = append(w.entries, p)
	return p
}

const rules = `
name: proof
weights: {attainment: 0.5, moves: 0.5}
services:
  - {name: kiosk, pool: kiosk, writes: [/receipts]}
models:
  - {name: tiny, pool: survey, memory: 1000}
rules:
  - {name: chat, when: 'kind == "chat"', then: {class: urgent, deadline: 30s, queue: 10s}}
  - {name: rest, when: 'true', then: {class: rest, deadline: 30s, queue: 10s, within: 10m, ready: 1}}
`

// start publishes the rules and waits until every instance is ready.
func (w *world) start() {
	version, status := w.entries[0].Publish(0, rules)
	Expect(status).To(Equal(http.StatusOK))
	w.waitVersion(version, w.entries...)
	for _, e := range w.entries {
		Eventually(e.Ready, waitLimit, pollInterval).Should(BeTrue())
	}
}

// question is one completion request. Its expected answer follows from its fields.
type question struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	Seed      int64  `json:"seed"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

func newQuestion(n int) question {
	return question{
		Model: "tiny", Prompt: fmt.Sprintf("caller %d asks which room is free tonight", n),
		Seed: int64(n + 1), MaxTokens: 60, Stream: true,
	}
}

func (q question) want() string {
	return faker.Text(faker.Answer(driver.Request{
		Weights: driver.Weights{Model: q.Model}, Prompt: q.Prompt, Seed: q.Seed, MaxTokens: q.MaxTokens,
	}))
}

// reply is what a client received for a question.
type reply struct {
	question question
	status   int
	verdict  string
	retry    string
	id       string
	// text is the text received; complete reports whether the stream ended with
	// [DONE].
	text     string
	complete bool
	// tokens is the number of tokens received; token is the resume token of the
	// stream.
	tokens int
	token  string
	body   string
	err    error
}

func (*world) send(at *launcher.Process, q question) reply {
	body, _ := json.Marshal(q)
	return parseReply(q, launcher.Call(http.MethodPost, at.URL()+"/v1/completions", "", string(body)))
}

// resume resumes an interrupted stream and returns the reply with both parts of the
// text. If the instance can't resume it without the request (status 410), the request
// is sent again with it.
func (*world) resume(at *launcher.Process, r reply) reply {
	body, _ := json.Marshal(r.question)
	url := fmt.Sprintf("%s/v1/streams/%s?from=%d", at.URL(), r.token, r.tokens)
	a := launcher.Call(http.MethodGet, url, "", "")
	if a.Status == http.StatusGone {
		a = launcher.Call(http.MethodPost, url, "", string(body))
	}
	more := parseReply(r.question, a)
	more.text = r.text + more.text
	more.tokens += r.tokens
	return more
}

// parseReply parses the server-sent events of an answer.
func parseReply(q question, a launcher.Answer) reply {
	r := reply{
		question: q, status: a.Status, id: a.Header.Get("X-Request-Id"), err: a.Err,
		verdict: a.Header.Get(judge.Header), retry: a.Header.Get("Retry-After"),
	}
	if a.Status >= http.StatusBadRequest {
		r.body = string(a.Body)
	}
	for line := range strings.SplitSeq(string(a.Body), "\n") {
		r.parseLine(line)
	}
	return r
}

func (r *reply) parseLine(line string) {
	switch {
	case strings.HasPrefix(line, ": resume "):
		r.token = strings.TrimPrefix(line, ": resume ")
	case line == "data: [DONE]":
		r.complete = true
	case strings.HasPrefix(line, "data: {"):
		var event struct {
			Choices []struct{ Text string }
		}
		if json.Unmarshal([]byte(line[len("data: "):]), &event) != nil || len(event.Choices) == 0 {
			return
		}
		if event.Choices[0].Text != "" {
			r.text += event.Choices[0].Text
			r.tokens++
		}
	}
}

// check expects that a reply has the expected text of its question, in full if it is
// complete and otherwise a prefix of it, that an error has a verdict, and that status
// 503 has a Retry-After header.
func (r reply) check() {
	want := r.question.want()
	if r.complete {
		Expect(r.text).To(Equal(want), "request %s", r.id)
		return
	}
	Expect(want).To(HavePrefix(r.text), "request %s", r.id)
	if r.status >= 400 {
		Expect(r.verdict).NotTo(BeEmpty())
	}
	if r.status == http.StatusServiceUnavailable {
		Expect(r.retry).NotTo(BeEmpty())
	}
}

// caller sends questions one after the other, each to the next instance.
type caller struct {
	world     *world
	at        []*launcher.Process
	questions []question
	replies   []reply
	done      chan struct{}
}

func (w *world) newCaller(at []*launcher.Process, all ...question) *caller {
	return &caller{world: w, at: at, questions: all, done: make(chan struct{})}
}

func (a *caller) run() {
	defer GinkgoRecover()
	defer close(a.done)
	for n, q := range a.questions {
		a.replies = append(a.replies, a.world.send(a.at[n%len(a.at)], q))
	}
}

// startCallers starts callers that each send count questions to the instances at, or
// to all instances if there are none.
func (w *world) startCallers(callers, count int, at ...*launcher.Process) []*caller {
	if len(at) == 0 {
		at = w.entries
	}
	var all []*caller
	for n := range callers {
		a := w.newCaller(slices.Concat(at[n%len(at):], at[:n%len(at)]))
		for m := range count {
			a.questions = append(a.questions, newQuestion(n*count+m))
		}
		all = append(all, a)
		go a.run()
	}
	return all
}

// waitReplies waits for all callers, checks every reply and returns the replies.
func waitReplies(all []*caller) []reply {
	var got []reply
	for _, a := range all {
		Eventually(a.done, "120s").Should(BeClosed())
		got = append(got, a.replies...)
	}
	for _, r := range got {
		r.check()
	}
	return got
}

// expectComplete expects that every reply is complete.
func expectComplete(all []reply) {
	GinkgoHelper()
	for _, r := range all {
		if !r.complete {
			Fail(fmt.Sprintf("request %s: status %d, verdict %q, retry %q, %d tokens, %v, %s",
				r.id, r.status, r.verdict, r.retry, r.tokens, r.err, r.body))
		}
	}
}

// requestsRun returns the number of requests that engines have run.
func (w *world) requestsRun(engines []*launcher.Process) int {
	sum := 0
	for _, e := range engines {
		var counts map[string]int
		Expect(launcher.Get(w.ctx, e.URL()+"/ran", &counts)).To(Succeed())
		sum += len(counts)
	}
	return sum
}

// waitBusy waits until engines have run or started more than three requests.
func (w *world) waitBusy(engines ...*launcher.Process) {
	Eventually(w.requestsRun, waitLimit, pollInterval).WithArguments(engines).Should(BeNumerically(">", 3))
}

// checkNotRun expects that requests with the verdict "not run" ran on no engine that
// can be queried. An engine that can't be queried must have exited.
func (w *world) checkNotRun(all []reply) {
	var ids []string
	for _, e := range w.engines {
		var counts map[string]int
		if launcher.Get(w.ctx, e.URL()+"/ran", &counts) != nil {
			Eventually(e.Done(), waitLimit).Should(BeClosed())
		}
		ids = slices.AppendSeq(ids, maps.Keys(counts))
	}
	for _, r := range all {
		if r.verdict != judge.NotRun.String() || r.id == "" {
			continue
		}
		ran := slices.ContainsFunc(ids, func(id string) bool { return strings.HasPrefix(id, r.id) })
		Expect(ran).To(BeFalse(), "request %s was called not run and ran", r.id)
	}
}

// lostEngines returns the number of engines that no longer answer.
func (w *world) lostEngines() int {
	count := 0
	for _, e := range w.engines {
		if launcher.Get(w.ctx, e.URL()+"/ran", nil) != nil {
			count++
		}
	}
	return count
}

func (w *world) fault(path string, faults any) {
	Expect(launcher.Put(w.ctx, w.platform.URL()+path, faults)).To(Succeed())
}

// setOutages injects faults into the log service and the instance list.
func (w *world) setOutages(log, list faker.Faults) {
	w.fault("/faults/log", faker.LogFaults{Faults: log})
	w.fault("/faults/list", faker.ListFaults{Faults: list})
}

// Faults of the platform's services.
var (
	healthy = faker.Faults{}
	hangs   = faker.Faults{Outage: faker.OutageHang}
	refuses = faker.Faults{Outage: faker.OutageRefuse}
	drops   = faker.Faults{Outage: faker.OutageDrop}
	loses   = faker.Faults{LoseReplies: faker.All}
)
