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

const question = `{"model":"tiny","max_tokens":6,"seed":42,"messages":[{"role":"user","content":"which room is free"}]}`

// whole is the answer to the question.
const whole = "tiny/42 user: which room is free "

func streamed(body string) string { return strings.Replace(body, "{", `{"stream":true,`, 1) }

// said is one answer over HTTP.
type said struct {
	status int
	header http.Header
	body   string
}

func send(method, url, body string, headers ...string) said {
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
	return said{status: p.StatusCode, header: p.Header, body: string(text)}
}

// refusal is the error in an answer.
func (s said) refusal() (code, verdict, message string) {
	GinkgoHelper()
	var f struct {
		Error struct{ Code, Verdict, Message string }
	}
	Expect(json.Unmarshal([]byte(s.body), &f)).To(Succeed(), s.body)
	Expect(s.header.Get(judge.Header)).To(Equal(f.Error.Verdict))
	return f.Error.Code, f.Error.Verdict, f.Error.Message
}

// events reads a stream: its text, the ids of its events, and its last data.
func events(body string) (text string, ids []string, last string) {
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

// flushes notes how many tokens the caller has at each flush.
type flushes struct {
	*httptest.ResponseRecorder
	sent []int
}

func (f *flushes) Flush() { f.sent = append(f.sent, strings.Count(f.Body.String(), "id: ")) }

var _ = Describe("generation", func() {
	var b *bench
	var chat string

	BeforeEach(func() {
		b = newBench()
		DeferCleanup(func() { b.close() })
		chat = b.callers.URL + "/v1/chat/completions"
	})
	AfterEach(func() {
		Eventually(b.dispatcher.holding).Should(BeZero(), "every place is given back")
	})

	Describe("a ready-made OpenAI client", func() {
		var client openai.Client
		params := openai.ChatCompletionNewParams{
			Model: "tiny:branch", MaxTokens: openai.Int(6), Seed: openai.Int(42),
			Messages:      []openai.ChatCompletionMessageParamUnion{openai.UserMessage("which room is free")},
			StreamOptions: openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)},
		}
		BeforeEach(func() {
			client = openai.NewClient(option.WithBaseURL(b.callers.URL+"/v1"), option.WithAPIKey("none"), option.WithMaxRetries(0))
		})

		It("gets a whole answer", func(ctx context.Context) {
			p, err := client.Chat.Completions.New(ctx, params)
			Expect(err).NotTo(HaveOccurred())
			Expect(p.Choices[0].Message.Content).To(Equal(whole))
			Expect(p.Choices[0].FinishReason).To(Equal("length"))
			Expect(p.Usage.TotalTokens).To(Equal(int64(13)))
			Expect(p.ID).To(HavePrefix("chatcmpl-"))
		})

		It("gets a stream with usage", func(ctx context.Context) {
			stream := client.Chat.Completions.NewStreaming(ctx, params)
			all := openai.ChatCompletionAccumulator{}
			for stream.Next() {
				Expect(all.AddChunk(stream.Current())).To(BeTrue())
			}
			Expect(stream.Err()).NotTo(HaveOccurred())
			Expect(all.Choices[0].Message.Content).To(Equal(whole))
			Expect(all.Choices[0].FinishReason).To(Equal("length"))
			Expect(all.Usage.CompletionTokens).To(Equal(int64(6)))
		})

		It("gets a completion, whole and as a stream", func(ctx context.Context) {
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

		It("gets an error of its own shape", func(ctx context.Context) {
			unknown := params
			unknown.Model = "huge"
			_, err := client.Chat.Completions.New(ctx, unknown)
			var failure *openai.Error
			Expect(errors.As(err, &failure)).To(BeTrue())
			Expect(failure.Code).To(Equal("model_not_found"))
			Expect(failure.Type).To(Equal("invalid_request_error"))
		})
	})

	It("tells the dispatcher what the rule says", func() {
		Expect(send("POST", chat, question, server.CallerHeader, "branch-7").status).To(Equal(200))
		w := b.dispatcher.works[0]
		Expect(w.Class).To(Equal("urgent"))
		Expect(w.Priority).To(Equal(5))
		Expect(w.Caller).To(Equal("branch-7"))
		Expect(w.Deadline).NotTo(BeZero())
	})

	It("gives each request without a seed one of its own", func() {
		plain := strings.Replace(question, `"seed":42,`, "", 1)
		send("POST", chat, plain)
		send("POST", chat, plain)
		requests, _ := b.engines["e1"].seen()
		Expect(requests[0].Seed).NotTo(BeZero())
		Expect(requests[0].Seed).NotTo(Equal(requests[1].Seed))
	})

	DescribeTable("goes on after a stream was cut, without a gap or a repeat",
		func(cutAt int, dead bool, crashes int) {
			b.engines["e1"].cutAt, b.engines["e1"].dead = cutAt, dead
			p := send("POST", chat, streamed(question))
			text, ids, last := events(p.body)
			Expect(text).To(Equal(whole))
			Expect(ids).To(Equal([]string{"1", "2", "3", "4", "5", "6"}))
			Expect(last).To(Equal("[DONE]"))
			Expect(b.quarantine.crashed).To(HaveLen(crashes))
			requests, _ := b.engines["e2"].seen()
			if dead {
				Expect(requests[0].From).To(Equal(cutAt))
			} else {
				Expect(requests).To(BeEmpty())
			}
		},
		Entry("on the same engine", 3, false, 0),
		Entry("on another engine when the first is lost", 3, true, 1),
		Entry("at the last token", 5, true, 1),
	)

	DescribeTable("joins tokens that have arrived together, and holds back none",
		func(burst bool, cutAt int, dead bool, sent []int) {
			b.engines["e1"].burst, b.engines["e2"].burst = burst, burst
			b.engines["e1"].cutAt, b.engines["e1"].dead = cutAt, dead
			w := &flushes{ResponseRecorder: httptest.NewRecorder()}
			q := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(streamed(question)))
			b.server.Handler().ServeHTTP(w, q)
			text, ids, last := events(w.Body.String())
			Expect(text).To(Equal(whole))
			Expect(ids).To(Equal([]string{"1", "2", "3", "4", "5", "6"}))
			Expect(last).To(Equal("[DONE]"))
			Expect(w.sent).To(Equal(sent))
		},
		Entry("all at once", true, 0, false, []int{6}),
		Entry("one by one", false, 0, false, []int{1, 2, 3, 4, 5, 6}),
		Entry("cut, and resumed", true, 3, false, []int{3, 6}),
		Entry("cut, and made again elsewhere", true, 3, true, []int{3, 6}),
	)

	It("tells a lost engine while its process is just ending", func() {
		b.engines["e1"].cutAt, b.engines["e1"].dead, b.engines["e1"].dying = 3, true, 3
		text, _, _ := events(send("POST", chat, streamed(question)).body)
		Expect(text).To(Equal(whole))
		Expect(b.quarantine.crashed).To(Equal([]string{"e1"}))
	})

	It("goes on elsewhere when an engine falls silent", func() {
		limits := server.Standard()
		limits.Stall = 50 * time.Millisecond
		b.close()
		b = newBench(server.WithLimits(limits))
		b.engines["e1"].frozen = true
		text, _, _ := events(send("POST", b.callers.URL+"/v1/chat/completions", streamed(question)).body)
		Expect(text).To(Equal(whole))
		_, cancelled := b.engines["e1"].seen()
		Expect(cancelled).NotTo(BeEmpty())
		Expect(b.quarantine.crashed).To(BeEmpty())
	})

	It("leaves deferred work that waits in an engine where it is", func(ctx context.Context) {
		limits := server.Standard()
		limits.Stall = 20 * time.Millisecond
		c := newBench(server.WithLimits(limits))
		DeferCleanup(c.close)
		c.engines["e1"].slow = 200 * time.Millisecond
		status, _, err := c.server.RunJob(ctx, server.Job{ID: "j", URL: "/v1/chat/completions", Body: []byte(question)})
		Expect([]any{status, err}).To(Equal([]any{200, nil}))
		requests, cancelled := c.engines["e1"].seen()
		Expect(requests).To(HaveLen(1))
		Expect(cancelled).To(BeEmpty())
	})

	It("says what was delivered when the budget allows no further try", func() {
		b.dispatcher.broke = true
		// The first crash is made good outside the budget, the second is not.
		b.engines["e1"].cutAt, b.engines["e1"].dead = 2, true
		b.engines["e2"].cutAt, b.engines["e2"].dead = 4, true
		text, _, last := events(send("POST", chat, streamed(question)).body)
		Expect(whole).To(HavePrefix(text))
		Expect(last).To(ContainSubstring(`"verdict":"may-have-run"`))
		Expect(last).To(ContainSubstring(`"delivered":4`))
	})

	DescribeTable("retries by verdict",
		func(refusal *judge.Refusal, status int, tries int) {
			b.engines["e1"].refuse = refusal
			Expect(send("POST", chat, question).status).To(Equal(status))
			requests, _ := b.engines["e2"].seen()
			Expect(requests).To(HaveLen(tries))
		},
		Entry("a full engine", &judge.Refusal{Status: 429, Code: "engine"}, 200, 1),
		Entry("an engine without the model", &judge.Refusal{Status: 404, Code: "engine"}, 200, 1),
		Entry("a request that the engine finds invalid", &judge.Refusal{Status: 400, Code: "engine"}, 400, 0),
	)

	It("says not run, and when to come back, if no engine ran it", func() {
		for _, e := range b.engines {
			e.refuse = judge.Unavailable("engine", "engine is full", time.Second)
		}
		p := send("POST", chat, question)
		code, verdict, _ := p.refusal()
		Expect([]any{p.status, code, verdict}).To(Equal([]any{503, "no-engine", "not-run"}))
		Expect(p.header.Get("Retry-After")).To(Or(Equal("2"), Equal("3")))
	})

	DescribeTable("passes on what the last engine said, when none took it",
		func(refusal *judge.Refusal, status int, back string) {
			limits := server.Standard()
			limits.Tries = 1
			c := newBench(server.WithLimits(limits))
			DeferCleanup(c.close)
			c.dispatcher.engines = []string{"e1", "e2", "e3", "e4", "e5"}
			for _, name := range c.dispatcher.engines {
				c.engines[name] = newEngine(name)
				c.engines[name].refuse = refusal
			}
			p := send("POST", c.callers.URL+"/v1/chat/completions", question)
			code, verdict, message := p.refusal()
			Expect([]any{p.status, code, verdict, message}).To(Equal([]any{status, "engine", "not-run", "no room"}))
			Expect(p.header.Get("Retry-After")).To(MatchRegexp(back))
			requests, _ := c.engines["e5"].seen()
			Expect(requests).To(BeEmpty(), "the offers are bounded")
		},
		Entry("all full", &judge.Refusal{Status: 429, Code: "engine", Reason: "no room", Retry: 30 * time.Second}, 429, "^[34]"),
		Entry("none with the model", &judge.Refusal{Status: 404, Code: "engine", Reason: "no room"}, 503, "^[12]$"),
		Entry("all with a conflict", &judge.Refusal{Status: 409, Code: "engine", Reason: "no room"}, 503, "^[12]$"),
	)

	It("spreads the time to come back", func() {
		b.dispatcher.engines = nil
		seen := map[string]bool{}
		for range 8 {
			seen[send("POST", chat, question).header.Get("Retry-After-Ms")] = true
		}
		Expect(len(seen)).To(BeNumerically(">", 4))
	})

	It("refuses what a rule refuses and what is in quarantine", func() {
		p := send("POST", chat, question, server.CallerHeader, "banned")
		code, verdict, message := p.refusal()
		Expect([]any{p.status, code, verdict}).To(Equal([]any{429, "refused-by-rule", "not-run"}))
		Expect(message).To(ContainSubstring("closed"))
		b.quarantine.held = time.Minute
		p = send("POST", chat, question)
		code, _, _ = p.refusal()
		Expect([]any{p.status, code}).To(Equal([]any{422, "quarantined"}))
		Expect(p.header.Get("Retry-After")).NotTo(BeEmpty())
	})

	It("costs no third engine when it crashes every one", func() {
		guard := quarantiner.NewGuard(clockwork.NewRealClock(), quarantiner.DefaultOptions())
		c := newBench(server.WithQuarantine(guard))
		DeferCleanup(c.close)
		c.dispatcher.engines = []string{"e1", "e2", "e3"}
		for _, name := range c.dispatcher.engines {
			c.engines[name] = newEngine(name)
			c.engines[name].cutAt, c.engines[name].dead = 1, true
		}
		p := send("POST", c.callers.URL+"/v1/chat/completions", question)
		code, verdict, _ := p.refusal()
		Expect([]any{p.status, code, verdict}).To(Equal([]any{422, "quarantined", "may-have-run"}))
		requests, _ := c.engines["e3"].seen()
		Expect(requests).To(BeEmpty())
		p = send("POST", c.callers.URL+"/v1/chat/completions", question)
		code, verdict, _ = p.refusal()
		Expect([]any{p.status, code, verdict}).To(Equal([]any{422, "quarantined", "not-run"}))
		Expect(send("POST", c.callers.URL+"/v1/chat/completions", strings.Replace(question, "room", "hall", 1)).status).
			NotTo(Equal(422), "another request is free")
	})

	It("takes the generation off the engine when the caller goes away", func() {
		b.engines["e1"].frozen = true
		ctx, cancel := context.WithCancel(context.Background())
		q, _ := http.NewRequestWithContext(ctx, http.MethodPost, chat, strings.NewReader(streamed(question)))
		p, err := http.DefaultClient.Do(q)
		Expect(err).NotTo(HaveOccurred())
		defer p.Body.Close()
		_, err = bufio.NewReader(p.Body).ReadString('\n')
		Expect(err).NotTo(HaveOccurred())
		cancel()
		Eventually(func() []string { _, gone := b.engines["e1"].seen(); return gone }).Should(HaveLen(1))
	})

	Describe("a resume token", func() {
		var token string
		rest := func(from int) string { return strings.Join(strings.SplitAfter(whole, " ")[from:], "") }

		BeforeEach(func() {
			token = send("POST", chat, streamed(question)).header.Get(server.ResumeHeader)
			Expect(token).NotTo(BeEmpty())
		})

		It("goes on from any token, on any instance", func() {
			other := newBench()
			DeferCleanup(other.close)
			other.engines["e1"] = b.engines["e1"]
			for from := range 6 {
				p := send("GET", other.callers.URL+"/v1/streams/"+token, "", "Last-Event-ID", fmt.Sprint(from))
				text, ids, last := events(p.body)
				Expect(text).To(Equal(rest(from)))
				Expect(ids).To(HaveLen(6 - from))
				Expect(last).To(Equal("[DONE]"))
			}
		})

		It("makes the rest again when the engine is lost", func() {
			b.engines["e1"].lost = true
			p := send("GET", b.callers.URL+"/v1/streams/"+token+"?from=2", "")
			code, _, _ := p.refusal()
			Expect([]any{p.status, code}).To(Equal([]any{410, "stream-lost"}))
			text, _, last := events(send("POST", b.callers.URL+"/v1/streams/"+token+"?from=2", streamed(question)).body)
			Expect(text).To(Equal(rest(2)))
			Expect(last).To(Equal("[DONE]"))
		})

		It("goes with its own request only", func() {
			p := send("POST", b.callers.URL+"/v1/streams/"+token, strings.Replace(question, "room", "hall", 1))
			code, _, message := p.refusal()
			Expect([]any{p.status, code}).To(Equal([]any{400, "token"}))
			Expect(message).To(ContainSubstring("another request"))
		})

		DescribeTable("is refused when it is damaged", func(damage func(string) string) {
			Expect(send("GET", b.callers.URL+"/v1/streams/"+damage(token), "").status).To(Equal(400))
		},
			Entry("cut", func(t string) string { return t[:len(t)/2] }),
			Entry("changed", func(t string) string { return "A" + t[1:] }),
			Entry("too long", func(t string) string { return strings.Repeat("a", 4000) }),
		)
	})
})
