package server_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"primrosehook/forwarder"
	"primrosehook/judge"
	"primrosehook/lister"
	"primrosehook/server"
)

// answerWith answers every call with a text, the path and the query.
func answerWith(text string) func(context.Context, forwarder.Call) (forwarder.Answer, error) {
	return func(_ context.Context, c forwarder.Call) (forwarder.Answer, error) {
		h := http.Header{"X-Server": {text}, "Connection": {"close"}}
		return forwarder.Answer{Status: 200, Header: h, Body: []byte(text + c.Path + "?" + c.Query)}, nil
	}
}

// failWith fails every call with an error.
func failWith(err error) func(context.Context, forwarder.Call) (forwarder.Answer, error) {
	return func(context.Context, forwarder.Call) (forwarder.Answer, error) { return forwarder.Answer{}, err }
}

var _ = Describe("plain services", func() {
	var b *harness
	var kiosk string
	BeforeEach(func() {
		b = newHarness()
		DeferCleanup(func() { b.close() })
		kiosk = b.callers.URL + "/services/kiosk"
		b.services.handlers["k1"], b.services.handlers["k2"], b.services.handlers["k3"] = answerWith("k1"), answerWith("k2"), answerWith("k3")
	})

	It("receive calls on a live server, in the same availability zone if it is no busier", func() {
		p := sendRequest("GET", kiosk+"/form?branch=7", "")
		Expect(p.status).To(Equal(200))
		Expect(p.body).To(Equal("k1/form?branch=7"))
		Expect(p.header.Get("X-Server")).To(Equal("k1"))
		for range 20 {
			sendRequest("GET", kiosk+"/form", "")
		}
		Expect(b.services.calls).NotTo(ContainElement("k3"), "a leaving server receives no new calls")
	})

	It("retry an idempotent call on another server, whether it ran or not", func() {
		b.services.handlers["k1"] = failWith(judge.Unknown("service", "answer was cut", nil))
		p := sendRequest("GET", kiosk+"/form", "")
		Expect(p.body).To(Equal("k2/form?"))
	})

	It("retry on another server, within the deadline, if one is unresponsive", func() {
		b.services.handlers["k1"] = func(ctx context.Context, _ forwarder.Call) (forwarder.Answer, error) {
			<-ctx.Done()
			return forwarder.Answer{}, judge.Unknown("service", "no answer", ctx.Err())
		}
		Expect(sendRequest("GET", kiosk+"/form", "").body).To(Equal("k2/form?"))
	})

	// Guards against a call that is cancelled at a server before another has accepted it.
	DescribeTable("keep a call at a slow server until another one has answered",
		func(servers int, exhausted bool, other func(context.Context, forwarder.Call) (forwarder.Answer, error), body string) {
			b.close()
			b = newHarness(server.WithInstances(fakeView{
				{Name: "k1", Kind: lister.KindService, Pool: "kiosk", Addr: "k1", State: lister.StateLive},
				{Name: "k2", Kind: lister.KindService, Pool: "kiosk", Addr: "k2", Zone: "far", State: lister.StateLive},
			}[:servers]), server.WithRules(newRules(strings.Replace(ruleList, "deadline: 2s", "deadline: 1s", 1))))
			b.dispatcher.budgetExhausted = exhausted
			ended := make(chan error, 1)
			b.services.handlers["k1"] = func(ctx context.Context, c forwarder.Call) (forwarder.Answer, error) {
				select {
				case <-time.After(700 * time.Millisecond):
				case <-ctx.Done():
				}
				ended <- ctx.Err()
				if ctx.Err() != nil {
					return forwarder.Answer{}, judge.Unknown("service", "no answer", ctx.Err())
				}
				return answerWith("k1")(ctx, c)
			}
			b.services.handlers["k2"] = other
			p := sendRequest("GET", b.callers.URL+"/services/kiosk/form", "")
			Expect([]any{p.status, p.body}).To(Equal([]any{200, body}))
			if body == "k1/form?" {
				Expect(ended).To(Receive(BeNil()))
			} else {
				Eventually(ended).Should(Receive(MatchError(context.Canceled)))
			}
		},
		Entry("without another server", 1, false, nil, "k1/form?"),
		Entry("without a retry in the budget", 2, true, answerWith("k2"), "k1/form?"),
		Entry("while another server refuses it", 2, false,
			failWith(judge.Unavailable("service", "server is full", time.Second)), "k1/form?"),
		Entry("until another server answers", 2, false, answerWith("k2"), "k2/form?"),
	)

	It("stop retrying if the retry budget is exhausted", func() {
		b.dispatcher.budgetExhausted = true
		b.services.handlers["k1"] = failWith(judge.Unknown("service", "answer was cut", nil))
		p := sendRequest("GET", kiosk+"/form", "")
		_, verdict, _ := p.refusal()
		Expect([]any{p.status, verdict}).To(Equal([]any{502, "may-have-run"}))
		Expect(p.header.Get("Retry-After")).NotTo(BeEmpty(), "the client may retry the call")
		Expect(b.services.calls).To(HaveLen(1))
	})

	It("answer a repeated write with the recorded outcome", func() {
		one := sendRequest("POST", kiosk+"/receipts", "paid", server.KeyHeader, "k-1")
		Expect(one.status).To(Equal(201))
		Expect(one.header.Get(server.RepeatedHeader)).To(BeEmpty())
		two := sendRequest("POST", kiosk+"/receipts", "paid", server.KeyHeader, "k-1")
		Expect(two.body).To(Equal(one.body))
		Expect(two.header.Get(server.RepeatedHeader)).To(Equal("true"))
		Expect(b.services.calls).To(BeEmpty(), "writes are sent only through the writer")
	})

	DescribeTable("refuse a write without a valid idempotency key",
		func(headers ...string) {
			p := sendRequest("POST", kiosk+"/receipts", "paid", headers...)
			code, verdict, _ := p.refusal()
			Expect([]any{p.status, code, verdict}).To(Equal([]any{400, "idempotency-key", "not-run"}))
			Expect(b.writer.done).To(BeEmpty())
		},
		Entry("no key"),
		Entry("too long", server.KeyHeader, strings.Repeat("k", 300)),
		Entry("not printable", server.KeyHeader, "k\tk"),
	)

	DescribeTable("recognise a write by any spelling of its path", func(path string) {
		p := sendRequest("POST", kiosk+path, "paid")
		code, _, _ := p.refusal()
		Expect(code).To(Equal("idempotency-key"))
		Expect(b.services.calls).To(BeEmpty())
	},
		Entry("two slashes", "//receipts"),
		Entry("a dot", "/./receipts"),
		Entry("two dots", "/x/../receipts"),
		Entry("escaped letters", "/%72eceipts"),
		Entry("a slash at the end", "/receipts/"),
	)

	It("receive the path as the client sent it", func() {
		Expect(sendRequest("GET", kiosk+"/form/a%2Fb?c=%20", "").body).To(Equal("k1/form/a%2Fb?c=%20"))
	})

	It("are refused with 404 if the rule list does not contain them", func() {
		p := sendRequest("GET", b.callers.URL+"/services/cinema/x", "")
		code, _, _ := p.refusal()
		Expect([]any{p.status, code}).To(Equal([]any{404, "service-not-found"}))
	})
})

var _ = Describe("traces", func() {
	It("have a span for each hop, in the client's trace", func(ctx context.Context) {
		const id = "4bf92f3577b34da6a3ce929d0e0e4736"
		spans := tracetest.NewInMemoryExporter()
		provider := sdk.NewTracerProvider(sdk.WithSyncer(spans))
		b := newHarness(server.WithTracer(provider.Tracer("test")))
		DeferCleanup(b.close)
		sent := ""
		b.services.handlers["k1"] = func(_ context.Context, c forwarder.Call) (forwarder.Answer, error) {
			sent = c.Header.Get("Traceparent")
			return forwarder.Answer{Status: 200}, nil
		}
		b.services.handlers["k2"] = b.services.handlers["k1"]
		parent := "00-" + id + "-00f067aa0ba902b7-01"
		sendRequest("GET", b.callers.URL+"/services/kiosk/form", "", "Traceparent", parent)
		Expect(sent).To(And(HavePrefix("00-"+id), Not(Equal(parent))))
		sendRequest("POST", b.callers.URL+"/services/kiosk/receipts", "", "Traceparent", parent, server.KeyHeader, "k")
		sendRequest("POST", b.callers.URL+"/v1/chat/completions", chatBody, "Traceparent", parent)
		names := []string{}
		for _, s := range spans.GetSpans() {
			names = append(names, s.Name)
			Expect(s.SpanContext.TraceID().String()).To(Equal(id))
		}
		Expect(names).To(Equal([]string{"call", "request", "write", "request", "generate", "request"}))
		Expect(provider.Shutdown(ctx)).To(Succeed())
	})
})

var _ = Describe("jobs", func() {
	const job = `{"url":"/v1/chat/completions","body":` + chatBody + `}`
	var b *harness
	BeforeEach(func() {
		b = newHarness()
		DeferCleanup(func() { b.close() })
	})

	It("are accepted, run and fetched", func(ctx context.Context) {
		p := sendRequest("POST", b.callers.URL+"/v1/jobs", job, server.ClientHeader, "hr")
		Expect(p.status).To(Equal(202))
		location := p.header.Get("Location")
		Expect(sendRequest("GET", b.callers.URL+location, "").body).To(ContainSubstring(`"status":"queued"`))
		accepted := time.Now().Add(-time.Hour)
		for id, j := range b.jobs.jobs {
			j.Accepted = accepted
			Expect([]any{j.Class, j.Within, j.Caller, j.Model}).To(Equal([]any{"deferred", 2 * time.Hour, "hr", "tiny"}))
			status, body, err := b.server.RunJob(ctx, j)
			Expect(err).NotTo(HaveOccurred())
			b.jobs.done[id] = server.JobState{ID: id, State: server.JobDone, Status: status, Body: body}
		}
		w := b.dispatcher.works[0]
		Expect(w.Deferred).To(BeTrue())
		Expect(w.Deadline).To(BeTemporally("==", accepted.Add(2*time.Hour)))
		Expect(w.MaxWait).To(BeNumerically(">", 0))
		var answer struct {
			Status   string
			Response struct {
				Body struct {
					Choices []struct{ Message struct{ Content string } }
				}
			}
		}
		Expect(json.Unmarshal([]byte(sendRequest("GET", b.callers.URL+location, "").body), &answer)).To(Succeed())
		Expect(answer.Status).To(Equal("done"))
		Expect(answer.Response.Body.Choices[0].Message.Content).To(Equal(wholeAnswer))
	})

	It("have the same id for the same idempotency key", func() {
		url := b.callers.URL + "/v1/jobs"
		one := sendRequest("POST", url, job, server.KeyHeader, "week-49").header.Get("Location")
		Expect(sendRequest("POST", url, job, server.KeyHeader, "week-49").header.Get("Location")).To(Equal(one))
		Expect(sendRequest("POST", url, job, server.KeyHeader, "week-50").header.Get("Location")).NotTo(Equal(one))
	})

	It("fail with an error if a retry may succeed, and complete with a failure if not", func(ctx context.Context) {
		b.dispatcher.engines = nil
		_, _, err := b.server.RunJob(ctx, server.Job{ID: "j", URL: "/v1/chat/completions", Body: []byte(chatBody)})
		Expect(err).To(HaveOccurred())
		status, _, err := b.server.RunJob(ctx, server.Job{ID: "j", URL: "/v1/chat/completions", Body: []byte(`{"model":"gone"}`)})
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(400))
	})

	DescribeTable("are refused as strictly as requests that run at once",
		func(body, code string, status int) {
			p := sendRequest("POST", b.callers.URL+"/v1/jobs", body)
			got, _, _ := p.refusal()
			Expect([]any{p.status, got}).To(Equal([]any{status, code}))
			Expect(b.jobs.jobs).To(BeEmpty())
		},
		Entry("another route", `{"url":"/services/kiosk/receipts","body":{}}`, "url", 400),
		Entry("no body", `{"url":"/v1/chat/completions"}`, "json", 400),
		Entry("an unknown model", `{"url":"/v1/chat/completions","body":{"model":"x","messages":[{"role":"user","content":"a"}]}}`, "model_not_found", 404),
	)

	It("are refused with 404 if their id is unknown", func() {
		Expect(sendRequest("GET", b.callers.URL+"/v1/jobs/none", "").status).To(Equal(404))
	})
})

var _ = Describe("operators", func() {
	var b *harness
	BeforeEach(func() {
		b = newHarness(server.WithStatus("queues", func() any { return map[string]int{"urgent": 3} }))
		DeferCleanup(func() { b.close() })
	})

	It("read and replace the rule list; a publication on an old base is refused", func() {
		url := b.operators.URL + "/admin/rules"
		p := sendRequest("GET", url, "")
		Expect(p.body).To(Equal(ruleList))
		Expect(p.header.Get(server.VersionHeader)).To(Equal("1"))
		changed := strings.Replace(ruleList, "name: test", "name: changed", 1)
		Expect(sendRequest("POST", url+"?base=1", changed).body).To(ContainSubstring(`"version":2`))
		p = sendRequest("POST", url+"?base=1", changed)
		code, verdict, message := p.refusal()
		Expect([]any{p.status, code, verdict}).To(Equal([]any{409, "conflict", "not-run"}))
		Expect(message).To(ContainSubstring("version 2 is in force"))
	})

	It("receive all errors of a malformed rule list, which is not published", func() {
		p := sendRequest("POST", b.operators.URL+"/admin/rules?base=1&file=new.yaml", "rules: [{when: hour, then: {ready: x}}]")
		_, _, message := p.refusal()
		Expect(p.status).To(Equal(400))
		Expect(message).To(And(ContainSubstring("new.yaml:1"), ContainSubstring("ready"), ContainSubstring("when")))
		version, _ := b.rules.InForce()
		Expect(version).To(Equal(int64(1)))
	})

	It("see the state, the counters and the decisions about requests", func() {
		b.engines["e1"].cutAt, b.engines["e1"].lostAfterCut = 2, true
		p := sendRequest("POST", b.callers.URL+"/v1/chat/completions", chatBody)
		Expect(p.status).To(Equal(200))
		d := sendRequest("GET", b.operators.URL+"/admin/explain/requests/"+p.header.Get(server.IDHeader), "").body
		Expect(d).To(And(ContainSubstring(`"rule":"all"`), ContainSubstring(`"target":"e1"`), ContainSubstring(`"target":"e2"`)))
		Expect(sendRequest("GET", b.operators.URL+"/admin/explain/requests?model=tiny", "").body).To(ContainSubstring(`"tokens":6`))
		Expect(sendRequest("GET", b.operators.URL+"/admin/explain/models/tiny", "").body).To(ContainSubstring(`"queues":{"urgent":3}`))
		Expect(sendRequest("GET", b.operators.URL+"/admin/explain/rules?kind=job", "").body).To(ContainSubstring(`"rule":"jobs"`))
		Expect(sendRequest("GET", b.operators.URL+"/admin/explain/rules?phase=1", "").status).To(Equal(400))
		Expect(sendRequest("GET", b.operators.URL+"/admin/status", "").body).To(ContainSubstring(`"ready":true`))
		Expect(sendRequest("GET", b.operators.URL+"/debug/vars", "").body).To(ContainSubstring(`"crashes": 1`))
	})

	It("have routes that clients cannot reach", func() {
		Expect(sendRequest("GET", b.callers.URL+"/admin/rules", "").status).To(Equal(404))
		Expect(sendRequest("GET", b.callers.URL+"/debug/vars", "").status).To(Equal(404))
	})

	It("see why an instance is not ready, while it still serves requests", func() {
		var broken atomic.Bool
		c := newHarness(server.WithCheck("log", func() error {
			if broken.Load() {
				return fmt.Errorf("never read")
			}
			return nil
		}))
		DeferCleanup(c.close)
		Expect(sendRequest("GET", c.callers.URL+"/readyz", "").status).To(Equal(200))
		broken.Store(true)
		Expect(sendRequest("GET", c.callers.URL+"/readyz", "").body).To(Equal("log: never read\n"))
		c.server.StartLeaving()
		Expect(sendRequest("GET", c.callers.URL+"/readyz", "").body).To(ContainSubstring("instance is leaving"))
		Expect(sendRequest("GET", c.callers.URL+"/healthz", "").status).To(Equal(200))
		Expect(sendRequest("POST", c.callers.URL+"/v1/chat/completions", chatBody).status).To(Equal(200), "late requests are served")
	})
})
