package crowder_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"

	"primrosehook/driver"
	"primrosehook/faker"
	"primrosehook/lister"
	"primrosehook/platform"
)

const (
	// faultyServers is how many servers send without end at the same time.
	faultyServers = 18
	// askFor is for how long clients then ask for models.
	askFor = 2 * time.Second
)

// endless is a server that answers with bytes that repeat until its caller closes the connection.
// What other answers if it is set: only requests for generation. With a pause it sends slowly.
type endless struct {
	begin, repeat string
	pause         time.Duration
	other         http.Handler
}

// ServeHTTP implements http.Handler.
func (e endless) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if e.other != nil && q.URL.Path != "/generate" {
		e.other.ServeHTTP(w, q)
		return
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	piece := e.repeat
	if e.pause == 0 {
		piece = strings.Repeat(piece, 1+(32<<10)/len(piece))
	}
	begin := strings.NewReplacer("ID", q.Header.Get("Primrosehook-Request-Id"), "NAME", q.Header.Get("Primrosehook-Expect-Instance"))
	for _, err = begin.WriteString(conn, e.begin); err == nil; {
		_, err = fmt.Fprint(conn, piece)
		time.Sleep(e.pause)
	}
}

// manyFields returns the fields of a head, with names of a few bytes, just within its limit.
func manyFields() string {
	var fields strings.Builder
	for i := 0; fields.Len() < 62<<10; i++ {
		_, _ = fmt.Fprintf(&fields, "%x:\r\n", i)
	}
	return fields.String()
}

// plainHead begins an answer, signedHead one to a request.
const (
	plainHead  = "HTTP/1.1 200 OK\r\n\r\n"
	signedHead = "HTTP/1.1 200 OK\r\nPrimrosehook-Request-Id: ID\r\nPrimrosehook-Server-Signature: NAME\r\n"
)

const modelsConfiguration = `{"version":4,"routes":[
 {"name":"form","host":"h","path-prefix":"/form/","kind":"idempotent","timeout-ms":4000,"target-latency-ms":100,"service":"api","max-attempts":2},
 {"name":"chat","host":"h","path-prefix":"/chat/","kind":"streaming","timeout-ms":4000,"target-latency-ms":1000,"service":"gpu","max-attempts":3}],
 "services":[{"name":"api"},{"name":"gpu","engine":{"slots":8,"kv-capacity":100000,"weights-mb":1000,"adapter-slots":2,"loads-per-s":50,"models":[%s]}}],
 "limits":{"max-body-bytes":%d}}`

// addModelServers registers servers that answer with h, each with a model that is loaded, and has the
// configuration name these and as many that are not loaded.
func (n *instance) addModelServers(h http.Handler) {
	server := httptest.NewServer(h)
	DeferCleanup(server.Close)
	var models []string
	for i := range faultyServers {
		id := fmt.Sprint("f-", i)
		one := faker.NewModelServer(id, fmt.Sprint("l", i))
		n.records.Put(platform.TopicServers, id, one.Registration("gpu", server.Listener.Addr().String(), "z1", "ready", 1))
		models = append(models, fmt.Sprintf(`{"name":"l%d","weights-mb":400,"load-s":0.2},{"name":"m%d","weights-mb":400,"load-s":0.2}`, i, i))
	}
	n.records.Put(platform.TopicOperator, platform.KeyConfig, fmt.Appendf(nil, modelsConfiguration, strings.Join(models, ","), maxBody))
}

// answerPage answers with a page of the newest records after which there are more.
func answerPage(w http.ResponseWriter, q *http.Request) {
	var items []string
	for i := range 500 {
		items = append(items, fmt.Sprintf(`{"key":"%s%03d","value":"%s","offset":%d}`, q.URL.Query().Get("after"), i, strings.Repeat("QUJD", 400), i))
	}
	_, _ = fmt.Fprintf(w, `{"items":[%s],"has-more":true,"end":9}`, strings.Join(items, ","))
}

// answerGone answers that records were deleted.
func answerGone(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusGone)
	_, _ = fmt.Fprint(w, `{"first":9}`)
}

// askModels has clients ask for models on a path with a body, in which MODEL stands for the model.
func (n *instance) askModels(path, body string, models ...string) {
	var callers sync.WaitGroup
	until := time.Now().Add(askFor)
	for i := range 4 * faultyServers {
		model := models[i%len(models)]
		callers.Go(func() {
			client := &http.Client{Timeout: askFor}
			for try := 0; time.Now().Before(until); try++ {
				q, err := http.NewRequest(http.MethodPost, "http://"+n.front+path, strings.NewReader(strings.ReplaceAll(body, "MODEL", model)))
				if err != nil {
					return
				}
				q.Host = "h"
				q.Header.Set("Primrosehook-Request-Id", fmt.Sprint("chat-", i, "-", try))
				q.Header.Set("Primrosehook-Model", model)
				q.Header.Set("Primrosehook-Token-Usage", "10,10")
				if p, err := client.Do(q); err == nil {
					_ = p.Body.Close()
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	callers.Wait()
}

var _ = Describe("An instance whose servers send without end", Ordered, ContinueOnFailure, func() {
	var program string
	BeforeAll(func() { program = buildProgram(GinkgoT().TempDir()) })

	// Guards against a process that reports and answers of servers in trouble take over its memory.
	DescribeTable("lives within its memory and serves others by sound servers",
		func(faulty endless) {
			n := startInstance(program, GinkgoT().TempDir(), memoryMB)
			n.addModelServers(faulty)
			var models []string
			for i := range faultyServers {
				models = append(models, fmt.Sprint("l", i), fmt.Sprint("m", i))
			}
			n.askModels("/chat/1", "x", models...)
			n.expectServed("small", 100)
			n.expectWithinLimits()
		},
		Entry("heads", endless{begin: signedHead, repeat: "X: y\r\n"}),
		Entry("heads of many fields, and bodies slowly", endless{begin: signedHead + "Content-Type: text/event-stream\r\n" + manyFields() + "\r\n", repeat: ":", pause: 100 * time.Millisecond}),
		Entry("bodies", endless{begin: signedHead + "\r\n", repeat: "x"}),
		Entry("streams of one event", endless{begin: signedHead + "Content-Type: text/event-stream\r\n\r\n", repeat: "data: x\n"}),
		Entry("reports of empty models", endless{begin: plainHead + `{"models":[{}`, repeat: ",{}"}),
		Entry("reports of one name", endless{begin: plainHead + `{"models":[{"name":"`, repeat: "x"}),
	)

	// Guards against a process that answers of a store in trouble take over its memory.
	DescribeTable("lives within its memory and serves others by what it knows",
		func(newest, read http.Handler) {
			n := startInstance(program, GinkgoT().TempDir(), memoryMB)
			fault := func(w http.ResponseWriter, q *http.Request) {
				switch q.URL.Path {
				case "/-/log-newest":
					newest.ServeHTTP(w, q)
				default:
					read.ServeHTTP(w, q)
				}
			}
			n.platformFault.Store((*http.HandlerFunc)(&fault))
			time.Sleep(askFor)
			n.expectServed("small", 100)
			n.expectWithinLimits()
		},
		Entry("pages without end", http.HandlerFunc(answerPage), http.HandlerFunc(answerGone)),
		Entry("a page of one value", endless{begin: plainHead + `{"items":[{"value":"`, repeat: "x"}, http.HandlerFunc(answerGone)),
		Entry("empty records", http.NotFoundHandler(), endless{begin: plainHead, repeat: "\x00"}),
		Entry("empty keyed records", http.NotFoundHandler(), endless{begin: plainHead + strings.Repeat("\x00", 16), repeat: "\x00\x00\x00\x01\x00"}),
	)

	// Guards against a process that answers of a list or a log in trouble take over its memory.
	DescribeTable("lives within its memory and serves others with the system's own API",
		func(path string, faulty endless) {
			n := startOwnAPI(program, nil)
			fault := func(w http.ResponseWriter, q *http.Request) {
				if strings.HasPrefix(q.URL.Path, path) {
					faulty.ServeHTTP(w, q)
					return
				}
				n.platform.ServeHTTP(w, q)
			}
			n.platformFault.Store((*http.HandlerFunc)(&fault))
			time.Sleep(askFor)
			n.expectServed("small", 100)
			n.expectWithinLimits()
		},
		Entry("lists of empty instances", "/instances", endless{begin: plainHead + `{"instances":[{}`, repeat: ",{}"}),
		Entry("lists of one name", "/instances", endless{begin: plainHead + `{"instances":[{"name":"`, repeat: "x"}),
		Entry("logs of empty records", "/streams/", endless{begin: plainHead + `{"records":[{}`, repeat: ",{}"}),
		Entry("logs of one record", "/streams/", endless{begin: plainHead + `{"records":[{"data":"`, repeat: "x"}),
	)

	// Guards against a process that reports and tokens of engines in trouble take over its memory.
	DescribeTable("lives within its memory with the system's own API",
		func(faulty endless) {
			n := startOwnAPI(program, func(platform string) {
				engine := faker.NewEngine("faulty", faker.DefaultEngine())
				engine.Preload(driver.Weights{Model: "tiny"}, 1000)
				if faulty.other != nil {
					faulty.other = engine.Handler()
				}
				server := httptest.NewServer(faulty)
				DeferCleanup(server.Close)
				for i := range faultyServers {
					announceAs(platform, fmt.Sprint("faulty-", i), lister.KindEngine, "gpu", server.Listener.Addr())
				}
			})
			n.askModels("/v1/chat/completions", `{"model":"MODEL","max_tokens":3,"messages":[{"role":"user","content":"x"}]}`, "tiny")
			n.expectServed("small", 100)
			n.expectWithinLimits()
		},
		Entry("reports of empty weights", endless{begin: plainHead + `{"residents":[{}`, repeat: ",{}"}),
		Entry("reports of one name", endless{begin: plainHead + `{"residents":[{"model":"`, repeat: "x"}),
		Entry("tokens", endless{begin: plainHead + `{"offset":0,"text":"`, repeat: "x", other: http.NotFoundHandler()}),
	)
})
