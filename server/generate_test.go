package server_test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jonboulle/clockwork"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"primrosehook/judge"
	"primrosehook/quarantiner"
	"primrosehook/server"
)

const chatBody = `{"model":"tiny","max_tokens":6,"seed":42,"messages":[{"role":"user","content":"which room is free"}]}`

// wholeAnswer is the answer to chatBody.
const wholeAnswer = "tiny/42 user: which room is free "

func streamed(body string) string { return strings.Replace(body, "{", `{"stream":true,`, 1) }

// response is a received HTTP response.
type response struct {
	status int
	header http.Header
	body   string
}

func sendRequest(method, url, body string, headers ...string) response {
	GinkgoHelper()
	q, err := http.NewRequest(method, url, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	for i := 0; i+1 < len(headers); i += 2 {
		q.Header.Set(headers[i], headers[i+1])
	}
	p, err := http.DefaultClient.Do(q)
	Expect(err).NotTo(HaveOccurred())
	defer p.Body.Close()
	text, err := io.ReadAll(p.Body)
	Expect(err).NotTo(HaveOccurred())
	return response{status: p.StatusCode, header: p.Header, body: string(text)}
}

// refusal decodes the error in the response.
func (s response) refusal() (code, verdict, message string) {
	GinkgoHelper()
	var f struct {
		Error struct{ Code, Verdict, Message string }
	}
	Expect(json.Unmarshal([]byte(s.body), &f)).To(Succeed(), s.body)
	Expect(s.header.Get(judge.Header)).To(Equal(f.Error.Verdict))
	return f.Error.Code, f.Error.Verdict, f.Error.Message
}

// parseEvents returns the text of a stream, the ids of its events, and its last
// data.
func parseEvents(body string) (text string, ids []string, last string) {
	GinkgoHelper()
	for line := range strings.Lines(body) {
		line = strings.TrimSpace(line)
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			ids = append(ids, id)
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		last = data
		var chunk struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		if json.Unmarshal([]byte(data), &chunk) == nil && len(chunk.Choices) > 0 {
			text += chunk.Choices[0].Delta.Content
		}
	}
	return text, ids, last
}

// flushRecorder records how many tokens the client has at each flush.
type flushRecorder struct {
	*httptest.ResponseRecorder
	sent []int
}

func (f *flushRecorder) Flush() { f.sent = append(f.sent, strings.Count(f.Body.String(), "id: ")) }

var _ = Describe("generation", func() {
	var b *harness
	var chat string

	BeforeEach(func() {
		b = newHarness()
		DeferCleanup(func() { b.close() })
		chat = b.callers.URL + "/v1/chat/completions"
	})
	AfterEach(func() {
		Eventually(b.dispatcher.active).Should(BeZero(), "every slot is released")
	})

	Describe("an unmodified OpenAI client", func() {
		var client openai.Client
		params := openai.ChatCompletionNewParams{
			Model: "tiny:branch", MaxTokens: openai.Int(6), Seed: openai.Int(42),
			Messages:      []openai.ChatCompletionMessageParamUnion{openai.UserMessage("which room is free")},
			StreamOptions: openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)},
		}
		BeforeEach(func() {
			client = openai.NewClient(option.WithBaseURL(b.callers.URL+"/v1"), option.WithAPIKey("none"), option.WithMaxRetries(0))
		})

		It("receives an answer that is not streamed", func(ctx context.Context) {
			p, err := client.Chat.Completions.New(ctx, params)
			Expect(err).NotTo(HaveOccurred())
			Expect(p.Choices[0].Message.Content).To(Equal(wholeAnswer))
			Expect(p.Choices[0].FinishReason).To(Equal("length"))
			Expect(p.Usage.TotalTokens).To(Equal(int64(13)))
			Expect(p.ID).To(HavePrefix("chatcmpl-"))
		})

		It("receives a stream with usage", func(ctx context.Context) {
			stream := client.Chat.Completions.NewStreaming(ctx, params)
			all := openai.ChatCompletionAccumulator{}
			for stream.Next() {
				Expect(all.AddChunk(stream.Current())).To(BeTrue())
			}
			Expect(stream.Err()).NotTo(HaveOccurred())
			Expect(all.Choices[0].Message.Content).To(Equal(wholeAnswer))
			Expect(all.Choices[0].FinishReason).To(Equal("length"))
			Expect(all.Usage.CompletionTokens).To(Equal(int64(6)))
		})

		It("receives a completion, both as JSON and as a stream", func(ctx context.Context) {
			params := openai.CompletionNewParams{
				Model: "tiny", MaxTokens: openai.Int(3), Seed: openai.Int(42),
				Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("roster of may")},
			}
			p, err := client.Completions.New(ctx, params)
			Expect(err).NotTo(HaveOccurred())
			Expect(p.Choices[0].Text).To(Equal("tiny/42 roster of "))
			stream, text := client.Completions.NewStreaming(ctx, params), ""
			for stream.Next() {
				text += stream.Current().Choices[0].Text
			}
			Expect(stream.Err()).NotTo(HaveOccurred())
			Expect(text).To(Equal("tiny/42 roster of "))
		})

		It("lists the models", func(ctx context.Context) {
			page, err := client.Models.List(ctx)
			Expect(err).NotTo(HaveOccurred())
			Expect(page.Data).To(HaveLen(2))
			m, err := client.Models.Get(ctx, "tiny")
			Expect(err).NotTo(HaveOccurred())
			Expect(m.ID).To(Equal("tiny"))
		})

		It("receives errors in the format of the OpenAI API", func(ctx context.Context) {
			unknown := params
			unknown.Model = "huge"
			_, err := client.Chat.Completions.New(ctx, unknown)
			var failure *openai.Error
			Expect(errors.As(err, &failure)).To(BeTrue())
			Expect(failure.Code).To(Equal("model_not_found"))
			Expect(failure.Type).To(Equal("invalid_request_error"))
		})
	})

	It("passes the class, priority and deadline of the rule to the dispatcher", func() {
		Expect(sendRequest("POST", chat, chatBody, server.ClientHeader, "branch-7").status).To(Equal(200))
		w := b.dispatcher.works[0]
		Expect(w.Class).To(Equal("urgent"))
		Expect(w.Priority).To(Equal(5))
		Expect(w.Client).To(Equal("branch-7"))
		Expect(w.Deadline).NotTo(BeZero())
	})

	It("assigns a different seed to each request without one", func() {
		plain := strings.Replace(chatBody, `"seed":42,`, "", 1)
		sendRequest("POST", chat, plain)
		sendRequest("POST", chat, plain)
		requests, _ := b.engines["e1"].calls()
		Expect(requests[0].Seed).NotTo(BeZero())
		Expect(requests[0].Seed).NotTo(Equal(requests[1].Seed))
	})

	DescribeTable("continues a cut stream without gaps or repeated tokens",
		func(cutAt int, dead bool, crashes int) {
			b.engines["e1"].cutAt, b.engines["e1"].lostAfterCut = cutAt, dead
			p := sendRequest("POST", chat, streamed(chatBody))
			text, ids, last := parseEvents(p.body)
			Expect(text).To(Equal(wholeAnswer))
			Expect(ids).To(Equal([]string{"1", "2", "3", "4", "5", "6"}))
			Expect(last).To(Equal("[DONE]"))
			Expect(b.quarantine.crashed).To(HaveLen(crashes))
			requests, _ := b.engines["e2"].calls()
			if dead {
				Expect(requests[0].SkipTokens).To(Equal(cutAt))
			} else {
				Expect(requests).To(BeEmpty())
			}
		},
		Entry("on the same engine", 3, false, 0),
		Entry("on another engine if the first is lost", 3, true, 1),
		Entry("at the last token", 5, true, 1),
	)

	DescribeTable("sends tokens that arrived together in one write and delays none",
		func(burst bool, cutAt int, dead bool, sent []int) {
			b.engines["e1"].allReady, b.engines["e2"].allReady = burst, burst
			b.engines["e1"].cutAt, b.engines["e1"].lostAfterCut = cutAt, dead
			w := &flushRecorder{ResponseRecorder: httptest.NewRecorder()}
			q := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(streamed(chatBody)))
			b.server.Handler().ServeHTTP(w, q)
			text, ids, last := parseEvents(w.Body.String())
			Expect(text).To(Equal(wholeAnswer))
			Expect(ids).To(Equal([]string{"1", "2", "3", "4", "5", "6"}))
			Expect(last).To(Equal("[DONE]"))
			Expect(w.sent).To(Equal(sent))
		},
		Entry("all tokens at once", true, 0, false, []int{6}),
		Entry("tokens one by one", false, 0, false, []int{1, 2, 3, 4, 5, 6}),
		Entry("a cut stream that is resumed", true, 3, false, []int{3, 6}),
		Entry("a cut stream that another engine continues", true, 3, true, []int{3, 6}),
	)

	It("detects a lost engine while its process still resets connections", func() {
		b.engines["e1"].cutAt, b.engines["e1"].lostAfterCut, b.engines["e1"].resetsAfterCut = 3, true, 3
		text, _, _ := parseEvents(sendRequest("POST", chat, streamed(chatBody)).body)
		Expect(text).To(Equal(wholeAnswer))
		Expect(b.quarantine.crashed).To(Equal([]string{"e1"}))
	})

	It("continues on another engine if an engine stalls", func() {
		limits := server.DefaultLimits()
		limits.StallTimeout = 50 * time.Millisecond
		b.close()
		b = newHarness(server.WithLimits(limits))
		b.engines["e1"].stalls = true
		text, _, _ := parseEvents(sendRequest("POST", b.callers.URL+"/v1/chat/completions", streamed(chatBody)).body)
		Expect(text).To(Equal(wholeAnswer))
		_, cancelled := b.engines["e1"].calls()
		Expect(cancelled).NotTo(BeEmpty())
		Expect(b.quarantine.crashed).To(BeEmpty())
	})

	Describe("a generation on a stalled engine", func() {
		limits := server.DefaultLimits()
		limits.StallTimeout = 50 * time.Millisecond
		const pause = 400 * time.Millisecond

		setUp := func(change func(*server.Limits), list string) {
			b.close()
			l := limits
			change(&l)
			b = newHarness(server.WithLimits(l), server.WithRules(newRules(list)))
			chat = b.callers.URL + "/v1/chat/completions"
			b.engines["e1"].stalls = true
		}
		keep := func(*server.Limits) {}

		// Guards against a generation that is cancelled on a live engine before
		// another engine has accepted it.
		DescribeTable("is kept until another engine has accepted it",
			func(change func(*server.Limits), prepare func()) {
				setUp(change, ruleList)
				prepare()
				e1 := b.engines["e1"]
				time.AfterFunc(pause, func() { close(e1.released) })
				text, ids, last := parseEvents(sendRequest("POST", chat, streamed(chatBody)).body)
				Expect([]any{text, last}).To(Equal([]any{wholeAnswer, "[DONE]"}))
				Expect(ids).To(Equal([]string{"1", "2", "3", "4", "5", "6"}))
				requests, cancelled := e1.calls()
				Expect(requests).To(HaveLen(1))
				Expect(cancelled).To(BeEmpty())
			},
			Entry("without another engine", keep, func() { b.dispatcher.engines = []string{"e1"} }),
			Entry("before the first token", keep, func() {
				b.dispatcher.engines = []string{"e1"}
				b.engines["e1"].stallsAtOnce = true
			}),
			Entry("without a retry in the budget", keep, func() { b.dispatcher.budgetExhausted = true }),
			Entry("without an attempt left", func(l *server.Limits) { l.MaxAttempts = 1 }, func() {}),
			Entry("while another engine refuses it", keep, func() {
				b.engines["e2"].refusal = judge.Unavailable("engine", "engine is full", time.Second)
			}),
		)

		It("ends if the engine is found to be lost", func() {
			setUp(keep, ruleList)
			b.dispatcher.engines = []string{"e1"}
			time.AfterFunc(pause, b.engines["e1"].lose)
			text, _, last := parseEvents(sendRequest("POST", chat, streamed(chatBody)).body)
			Expect(wholeAnswer).To(HavePrefix(text))
			Expect(last).To(And(ContainSubstring(`"verdict":"may-have-run"`), ContainSubstring(`"delivered":1`)))
			Expect(b.quarantine.crashed).To(Equal([]string{"e1"}))
		})

		It("ends if the engine is no longer in the instance list", func() {
			setUp(keep, ruleList)
			b.dispatcher.engines = []string{"e3"}
			b.engines["e3"] = newEngine("e3")
			b.engines["e3"].stalls = true
			_, _, last := parseEvents(sendRequest("POST", chat, streamed(chatBody)).body)
			Expect(last).To(ContainSubstring(`"delivered":1`))
			_, cancelled := b.engines["e3"].calls()
			Expect(cancelled).To(HaveLen(1))
		})

		It("ends at the deadline if it has no token", func() {
			setUp(keep, strings.Replace(ruleList, "deadline: 2s", "deadline: 300ms", 1))
			b.dispatcher.engines = []string{"e1"}
			b.engines["e1"].stallsAtOnce = true
			p := sendRequest("POST", chat, streamed(chatBody))
			_, verdict, _ := p.refusal()
			Expect([]any{p.status, verdict}).To(Equal([]any{503, "may-have-run"}))
			_, cancelled := b.engines["e1"].calls()
			Expect(cancelled).To(HaveLen(1))
		})

		It("is cancelled if the client disconnects meanwhile", func() {
			setUp(keep, ruleList)
			b.dispatcher.engines = []string{"e1"}
			ctx, cancel := context.WithTimeout(context.Background(), pause)
			defer cancel()
			q, _ := http.NewRequestWithContext(ctx, http.MethodPost, chat, strings.NewReader(streamed(chatBody)))
			p, err := http.DefaultClient.Do(q)
			Expect(err).NotTo(HaveOccurred())
			defer p.Body.Close()
			_, err = io.ReadAll(p.Body)
			Expect(err).To(MatchError(context.DeadlineExceeded))
			Eventually(func() []string { _, gone := b.engines["e1"].calls(); return gone }).Should(HaveLen(1))
		})

		// Guards against a resumed stream that is given up at a live engine.
		DescribeTable("is kept by a resumed stream", func(method, body string) {
			setUp(keep, ruleList)
			e1 := b.engines["e1"]
			e1.stalls = false
			token := sendRequest("POST", chat, streamed(chatBody)).header.Get(server.ResumeHeader)
			e1.stalls = true
			b.dispatcher.engines = []string{"e1"}
			time.AfterFunc(pause, func() { close(e1.released) })
			p := sendRequest(method, b.callers.URL+"/v1/streams/"+token+"?from=1", body)
			text, _, last := parseEvents(p.body)
			Expect([]any{p.status, text, last}).To(Equal([]any{200, strings.TrimPrefix(wholeAnswer, "tiny/42 "), "[DONE]"}))
			requests, cancelled := e1.calls()
			Expect(requests).To(HaveLen(1))
			Expect(cancelled).To(BeEmpty())
		},
			Entry("that cannot be generated again", "GET", ""),
			Entry("that no engine generates again", "POST", streamed(chatBody)),
		)
	})

	It("does not cancel deferred work that waits in an engine", func(ctx context.Context) {
		limits := server.DefaultLimits()
		limits.StallTimeout = 20 * time.Millisecond
		c := newHarness(server.WithLimits(limits))
		DeferCleanup(c.close)
		c.engines["e1"].firstTokenDelay = 200 * time.Millisecond
		status, _, err := c.server.RunJob(ctx, server.Job{ID: "j", URL: "/v1/chat/completions", Body: []byte(chatBody)})
		Expect([]any{status, err}).To(Equal([]any{200, nil}))
		requests, cancelled := c.engines["e1"].calls()
		Expect(requests).To(HaveLen(1))
		Expect(cancelled).To(BeEmpty())
	})

	It("reports how many tokens were delivered if the retry budget is exhausted", func() {
		b.dispatcher.budgetExhausted = true
		// The first crash is retried outside the budget, the second is not.
		b.engines["e1"].cutAt, b.engines["e1"].lostAfterCut = 2, true
		b.engines["e2"].cutAt, b.engines["e2"].lostAfterCut = 4, true
		text, _, last := parseEvents(sendRequest("POST", chat, streamed(chatBody)).body)
		Expect(wholeAnswer).To(HavePrefix(text))
		Expect(last).To(ContainSubstring(`"verdict":"may-have-run"`))
		Expect(last).To(ContainSubstring(`"delivered":4`))
	})

	DescribeTable("retries depending on the status of the refusal",
		func(refusal *judge.Refusal, status int, attempts int) {
			b.engines["e1"].refusal = refusal
			Expect(sendRequest("POST", chat, chatBody).status).To(Equal(status))
			requests, _ := b.engines["e2"].calls()
			Expect(requests).To(HaveLen(attempts))
		},
		Entry("an engine with a full queue", &judge.Refusal{Status: 429, Code: "engine"}, 200, 1),
		Entry("an engine without the model", &judge.Refusal{Status: 404, Code: "engine"}, 200, 1),
		Entry("a request that the engine rejects as invalid", &judge.Refusal{Status: 400, Code: "engine"}, 400, 0),
	)

	It("reports not-run and a retry delay if no engine ran the request", func() {
		for _, e := range b.engines {
			e.refusal = judge.Unavailable("engine", "engine is full", time.Second)
		}
		p := sendRequest("POST", chat, chatBody)
		code, verdict, _ := p.refusal()
		Expect([]any{p.status, code, verdict}).To(Equal([]any{503, "no-engine", "not-run"}))
		Expect(p.header.Get("Retry-After")).To(Or(Equal("2"), Equal("3")))
	})

	DescribeTable("passes on the refusal of the last engine if all rejected the request",
		func(refusal *judge.Refusal, status int, back string) {
			limits := server.DefaultLimits()
			limits.MaxAttempts = 1
			c := newHarness(server.WithLimits(limits))
			DeferCleanup(c.close)
			c.dispatcher.engines = []string{"e1", "e2", "e3", "e4", "e5"}
			for _, name := range c.dispatcher.engines {
				c.engines[name] = newEngine(name)
				c.engines[name].refusal = refusal
			}
			p := sendRequest("POST", c.callers.URL+"/v1/chat/completions", chatBody)
			code, verdict, message := p.refusal()
			Expect([]any{p.status, code, verdict, message}).To(Equal([]any{status, "engine", "not-run", "no room"}))
			Expect(p.header.Get("Retry-After")).To(MatchRegexp(back))
			requests, _ := c.engines["e5"].calls()
			Expect(requests).To(BeEmpty(), "the number of offers is limited")
		},
		Entry("all queues are full", &judge.Refusal{Status: 429, Code: "engine", Reason: "no room", RetryAfter: 30 * time.Second}, 429, "^[34]"),
		Entry("no engine has the model loaded", &judge.Refusal{Status: 404, Code: "engine", Reason: "no room"}, 503, "^[12]$"),
		Entry("all report a conflict", &judge.Refusal{Status: 409, Code: "engine", Reason: "no room"}, 503, "^[12]$"),
	)

	It("randomizes the retry delay", func() {
		b.dispatcher.engines = nil
		seen := map[string]bool{}
		for range 8 {
			seen[sendRequest("POST", chat, chatBody).header.Get("Retry-After-Ms")] = true
		}
		Expect(len(seen)).To(BeNumerically(">", 4))
	})

	It("refuses requests that a rule refuses and requests in quarantine", func() {
		p := sendRequest("POST", chat, chatBody, server.ClientHeader, "banned")
		code, verdict, message := p.refusal()
		Expect([]any{p.status, code, verdict}).To(Equal([]any{429, "refused-by-rule", "not-run"}))
		Expect(message).To(ContainSubstring("closed"))
		b.quarantine.remaining = time.Minute
		p = sendRequest("POST", chat, chatBody)
		code, _, _ = p.refusal()
		Expect([]any{p.status, code}).To(Equal([]any{422, "quarantined"}))
		Expect(p.header.Get("Retry-After")).NotTo(BeEmpty())
	})

	It("quarantines a request after two crashes, before it reaches a third engine", func() {
		guard := quarantiner.NewGuard(clockwork.NewRealClock(), quarantiner.DefaultOptions())
		c := newHarness(server.WithQuarantine(guard))
		DeferCleanup(c.close)
		c.dispatcher.engines = []string{"e1", "e2", "e3"}
		for _, name := range c.dispatcher.engines {
			c.engines[name] = newEngine(name)
			c.engines[name].cutAt, c.engines[name].lostAfterCut = 1, true
		}
		p := sendRequest("POST", c.callers.URL+"/v1/chat/completions", chatBody)
		code, verdict, _ := p.refusal()
		Expect([]any{p.status, code, verdict}).To(Equal([]any{422, "quarantined", "may-have-run"}))
		requests, _ := c.engines["e3"].calls()
		Expect(requests).To(BeEmpty())
		p = sendRequest("POST", c.callers.URL+"/v1/chat/completions", chatBody)
		code, verdict, _ = p.refusal()
		Expect([]any{p.status, code, verdict}).To(Equal([]any{422, "quarantined", "not-run"}))
		Expect(sendRequest("POST", c.callers.URL+"/v1/chat/completions", strings.Replace(chatBody, "room", "hall", 1)).status).
			NotTo(Equal(422), "another request is not quarantined")
	})

	// Guards against a bystander that is cut off since the report of the request that explains
	// its crashes arrives a moment later.
	It("serves a request whose crashes another instance's request explains, as is reported after the second one", func() {
		guard := quarantiner.NewGuard(clockwork.NewRealClock(), quarantiner.DefaultOptions())
		c := newHarness(server.WithQuarantine(guard))
		DeferCleanup(c.close)
		c.dispatcher.engines = []string{"e1", "e2", "e3"}
		for _, name := range c.dispatcher.engines {
			c.engines[name] = newEngine(name)
		}
		for _, name := range []string{"e1", "e2"} {
			c.engines[name].cutAt, c.engines[name].lostAfterCut = 1, true
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			for len(guard.Export()) == 0 || len(guard.Export()[0].Marks) < 2 {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(300 * time.Millisecond)
			other := guard.Export()[0]
			other.Digest++
			other.Marks = append(other.Marks, quarantiner.Mark{Engine: "e0", At: time.Now(), Concurrent: 1})
			guard.Merge([]quarantiner.Suspect{other})
		}()
		p := sendRequest("POST", c.callers.URL+"/v1/chat/completions", chatBody)
		Expect(p.status).To(Equal(200), p.body)
		Expect(p.body).To(ContainSubstring(wholeAnswer))
		<-done
	})

	It("cancels the generation on the engine if the client disconnects", func() {
		b.engines["e1"].stalls = true
		ctx, cancel := context.WithCancel(context.Background())
		q, _ := http.NewRequestWithContext(ctx, http.MethodPost, chat, strings.NewReader(streamed(chatBody)))
		p, err := http.DefaultClient.Do(q)
		Expect(err).NotTo(HaveOccurred())
		defer p.Body.Close()
		_, err = bufio.NewReader(p.Body).ReadString('\n')
		Expect(err).NotTo(HaveOccurred())
		cancel()
		Eventually(func() []string { _, gone := b.engines["e1"].calls(); return gone }).Should(HaveLen(1))
	})

	Describe("a resume token", func() {
		var token string
		rest := func(from int) string { return strings.Join(strings.SplitAfter(wholeAnswer, " ")[from:], "") }

		BeforeEach(func() {
			token = sendRequest("POST", chat, streamed(chatBody)).header.Get(server.ResumeHeader)
			Expect(token).NotTo(BeEmpty())
		})

		It("resumes from any token, on any instance", func() {
			other := newHarness()
			DeferCleanup(other.close)
			other.engines["e1"] = b.engines["e1"]
			for from := range 6 {
				p := sendRequest("GET", other.callers.URL+"/v1/streams/"+token, "", "Last-Event-ID", fmt.Sprint(from))
				text, ids, last := parseEvents(p.body)
				Expect(text).To(Equal(rest(from)))
				Expect(ids).To(HaveLen(6 - from))
				Expect(last).To(Equal("[DONE]"))
			}
		})

		It("generates the rest again if the engine is lost", func() {
			b.engines["e1"].lost = true
			p := sendRequest("GET", b.callers.URL+"/v1/streams/"+token+"?from=2", "")
			code, _, _ := p.refusal()
			Expect([]any{p.status, code}).To(Equal([]any{410, "stream-lost"}))
			text, _, last := parseEvents(sendRequest("POST", b.callers.URL+"/v1/streams/"+token+"?from=2", streamed(chatBody)).body)
			Expect(text).To(Equal(rest(2)))
			Expect(last).To(Equal("[DONE]"))
		})

		// Guards against a refusal of the rest of a stream because its start is long ago.
		It("generates the rest again without a deadline for the first token", func() {
			b.engines["e1"].lost = true
			sendRequest("POST", b.callers.URL+"/v1/streams/"+token+"?from=2", streamed(chatBody))
			Expect(b.dispatcher.works).NotTo(BeEmpty())
			Expect(b.dispatcher.works[len(b.dispatcher.works)-1].Deadline).To(BeZero())
		})

		It("is rejected with another request", func() {
			p := sendRequest("POST", b.callers.URL+"/v1/streams/"+token, strings.Replace(chatBody, "room", "hall", 1))
			code, _, message := p.refusal()
			Expect([]any{p.status, code}).To(Equal([]any{400, "token"}))
			Expect(message).To(ContainSubstring("another request"))
		})

		DescribeTable("is rejected if it is damaged", func(damage func(string) string) {
			Expect(sendRequest("GET", b.callers.URL+"/v1/streams/"+damage(token), "").status).To(Equal(400))
		},
			Entry("truncated", func(t string) string { return t[:len(t)/2] }),
			Entry("modified", func(t string) string { return "A" + t[1:] }),
			Entry("too long", func(t string) string { return strings.Repeat("a", 4000) }),
		)
	})
})
