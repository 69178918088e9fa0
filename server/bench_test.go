package server_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jonboulle/clockwork"

	"primrosehook/dispatcher"
	"primrosehook/driver"
	"primrosehook/explainer"
	"primrosehook/faker"
	"primrosehook/lister"
	"primrosehook/sender"
	"primrosehook/server"
)

// noDeadlineRules sets no deadline, so that a stream may stay open.
const noDeadlineRules = `
models: [{name: tiny, pool: gpu, memory: 100}]
rules: [{name: all, when: true, then: {class: urgent}}]
`

// instantEngine answers without computing. The batching of the stand-in engine
// takes milliseconds, which would hide the server's share.
type instantEngine struct {
	release chan struct{}
	// tokenInterval is the time before each token.
	tokenInterval time.Duration
	// answerTokens is the minimum length of an answer in tokens.
	answerTokens int
}

func (e *instantEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var q driver.Request
	if json.NewDecoder(r.Body).Decode(&q) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	lines, control := json.NewEncoder(w), http.NewResponseController(w)
	tokens := faker.Answer(q)
	for i := len(tokens); i < e.answerTokens; i++ {
		tokens[i-1].Finish, tokens[i-1].PromptTokens = "", 0
		tokens = append(tokens, driver.Token{Offset: i, Text: "tone ", Finish: "stop"})
	}
	for i, t := range tokens {
		time.Sleep(e.tokenInterval)
		_ = lines.Encode(t)
		if control.Flush() != nil {
			return
		}
		if e.release != nil && i == 0 {
			<-e.release
		}
	}
}

// benchPath is an engine over TCP and a server in front of it.
type benchPath struct {
	engine *httptest.Server
	entry  *httptest.Server
	client *http.Client
	// prompt is prepended to the prompt of the request.
	prompt string
}

func newBenchPath(b *testing.B, e *instantEngine) *benchPath {
	engine := httptest.NewServer(e)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096, MaxIdleConns: 4096}}
	engines := sender.NewClient()
	addr := engine.Listener.Addr().String()
	limits := server.DefaultLimits()
	limits.StallTimeout = time.Hour
	s := server.New(clockwork.NewRealClock(),
		server.WithLimits(limits), server.WithRules(newRules(noDeadlineRules)), server.WithExplainer(explainer.New(1024)),
		server.WithDispatcher(singleEngine{lister.Instance{Name: "e1", Addr: addr}}),
		server.WithEngines(func(addr string) driver.Engine { return driver.NewClient(addr, engines) }))
	p := &benchPath{engine: engine, client: client}
	p.entry = serve(s, s.Handler())
	b.Cleanup(func() {
		if e.release != nil {
			close(e.release)
		}
		p.entry.Close()
		p.engine.Close()
	})
	return p
}

// singleEngine grants its engine at once, so that only the server is measured.
type singleEngine struct{ engine lister.Instance }

func (s singleEngine) Acquire(_ context.Context, w dispatcher.Work) (dispatcher.Grant, error) {
	return dispatcher.Grant{Work: w, Engine: s.engine}, nil
}
func (singleEngine) Release(dispatcher.Grant, dispatcher.Result) {}
func (singleEngine) Retry() bool                                 { return true }

// direct sends a request to the engine, through sends it to the server.
func (p *benchPath) direct(id int) (*http.Response, error) {
	body := fmt.Sprintf(`{"id":"d%d","model":"tiny","prompt":"user: %swhich room is free\n","max_tokens":6,"seed":42}`, id, p.prompt)
	return p.client.Post(p.engine.URL+"/generate", "application/json", strings.NewReader(body))
}

func (p *benchPath) through(int) (*http.Response, error) {
	body := strings.Replace(streamed(chatBody), "which", p.prompt+"which", 1)
	return p.client.Post(p.entry.URL+"/v1/chat/completions", "application/json", strings.NewReader(body))
}

// requestFunc sends one request.
type requestFunc func(id int) (*http.Response, error)

// readAnswer sends a request and reads the whole answer.
func readAnswer(b *testing.B, ask requestFunc, id int) {
	p, err := ask(id)
	if err != nil {
		b.Fatal(err)
	}
	if p.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(p.Body)
		b.Fatalf("status %d: %s", p.StatusCode, text)
	}
	if _, err := io.Copy(io.Discard, p.Body); err != nil {
		b.Fatal(err)
	}
	p.Body.Close()
}

// processTime returns the processor time that the process has used.
func processTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkAddedLatency compares the latency of a short stream through the
// server with that of the same stream from the engine itself, alternating one
// at a time.
func BenchmarkAddedLatency(b *testing.B) {
	p := newBenchPath(b, &instantEngine{})
	ask := func(h *hdrhistogram.Histogram, f requestFunc, id int) {
		start := time.Now()
		readAnswer(b, f, id)
		_ = h.RecordValue(time.Since(start).Microseconds())
	}
	direct, through := hdrhistogram.New(1, 1e7, 3), hdrhistogram.New(1, 1e7, 3)
	id := 0
	for b.Loop() {
		id++
		ask(direct, p.direct, id)
		ask(through, p.through, id)
	}
	for _, q := range []float64{50, 99} {
		d, t := direct.ValueAtQuantile(q), through.ValueAtQuantile(q)
		b.ReportMetric(float64(t-d), fmt.Sprintf("added-us-p%.0f", q))
		b.ReportMetric(float64(t)/float64(d), fmt.Sprintf("ratio-p%.0f", q))
	}
}

// addedTime returns the processor time that the server adds to a round of
// requests, compared with a round sent to the engine itself. Client and engine
// run in the same process and cancel out, except for the calls of the server to
// the engine, which count as work of the server.
func (p *benchPath) addedTime(b *testing.B, round func(requestFunc)) time.Duration {
	var direct, through time.Duration
	for b.Loop() {
		before := processTime()
		round(p.direct)
		middle := processTime()
		round(p.through)
		through += processTime() - middle
		direct += middle - before
	}
	b.ReportMetric(float64(through)/float64(direct), "cpu-ratio")
	return (through - direct) / time.Duration(b.N)
}

// BenchmarkCoreSecond measures the processor time per request.
func BenchmarkCoreSecond(b *testing.B) {
	const batch = 50
	own := newBenchPath(b, &instantEngine{}).addedTime(b, func(ask requestFunc) {
		for i := range batch {
			readAnswer(b, ask, i)
		}
	})
	b.ReportMetric(batch/own.Seconds(), "requests/core-second")
}

// BenchmarkToken measures the processor time per token, for tokens that arrive
// one by one, as from a batch, and for tokens that arrive as fast as they can
// be written.
func BenchmarkToken(b *testing.B) {
	const parallel, length = 256, 60
	for name, pause := range map[string]time.Duration{"paced": 20 * time.Millisecond, "burst": 0} {
		b.Run(name, func(b *testing.B) {
			own := newBenchPath(b, &instantEngine{tokenInterval: pause, answerTokens: length}).addedTime(b, func(ask requestFunc) {
				var wait sync.WaitGroup
				for i := range parallel {
					wait.Go(func() { readAnswer(b, ask, i) })
				}
				wait.Wait()
			})
			b.ReportMetric(float64(own.Microseconds())/(parallel*length), "own-us/token")
		})
	}
}

// BenchmarkOpenStream measures the memory per open stream through the server,
// less that of a stream from the engine itself, by prompt length.
func BenchmarkOpenStream(b *testing.B) {
	const streams = 1000
	for _, prompt := range []int{0, 4 << 10} {
		b.Run(fmt.Sprintf("prompt-%d", prompt), func(b *testing.B) {
			for b.Loop() {
				p := newBenchPath(b, &instantEngine{release: make(chan struct{})})
				p.prompt = strings.Repeat("room ", prompt/len("room "))
				heap0, stack0 := memoryInUse()
				direct := openStreams(b, p.direct, streams)
				heap1, stack1 := memoryInUse()
				through := openStreams(b, p.through, streams)
				heap2, stack2 := memoryInUse()
				heap, stack := heap2-2*heap1+heap0, stack2-2*stack1+stack0
				b.ReportMetric((heap+stack)/streams, "bytes/stream")
				b.ReportMetric(heap/streams, "heap-bytes/stream")
				b.ReportMetric(stack/streams, "stack-bytes/stream")
				for _, r := range append(direct, through...) {
					r.Body.Close()
				}
			}
		})
	}
}

// gcRounds is how many garbage collections stacks need to shrink to the size in
// use.
const gcRounds = 5

// memoryInUse returns the memory of heap and stacks in bytes.
func memoryInUse() (heap, stack float64) {
	for range gcRounds {
		runtime.GC()
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc), float64(m.StackInuse)
}

// openStreams opens streams that have sent one token and wait.
func openStreams(b *testing.B, ask requestFunc, count int) []*http.Response {
	var all []*http.Response
	for i := range count {
		p, err := ask(i)
		if err != nil {
			b.Fatal(err)
		}
		all = append(all, p)
	}
	return all
}
