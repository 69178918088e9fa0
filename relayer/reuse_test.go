package relayer_test

import (
	"context"
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/balancer"
	"primrosehook/exporter"
	"primrosehook/pacer"
	"primrosehook/registrar"
	"primrosehook/relayer"
	"primrosehook/reuser"
)

// statingPacer answers all reservations alike and keeps the prompts.
type statingPacer struct {
	reply   pacer.Reservation
	err     error
	prompts []*reuser.Prompt
	tokens  int
}

func (p *statingPacer) Reserve(_ context.Context, _ string, tokens int, _ time.Duration, load balancer.EngineLoad) (pacer.Reservation, error) {
	p.prompts, p.tokens = append(p.prompts, load.Prompt), tokens
	return p.reply, p.err
}

func (p *statingPacer) Release(string, pacer.Reservation) {}

var _ = Describe("A request with a prompt prefix", func() {
	send := func(p *statingPacer, set ...string) (*fixture, *exporter.Registry) {
		metrics := exporter.New()
		w := startRelayerWith(newGuard(), []handler{statusOnly(404, "Sign")}, relayer.WithPacer(p), relayer.WithMeter(metrics))
		w.servers[0].Loaded = []registrar.LoadedModel{{Model: "m", Version: 1}}
		w.fleet.Update(w.servers)
		code, _, err := w.send("POST", "/chat/1", "x", append([]string{"Model", "m"}, set...)...)
		Expect([]any{code, err}).To(Equal([]any{404, nil}))
		return w, metrics
	}
	tries := func(w *fixture) any {
		lines := w.logs.FilterMessage("relay: answered").All()
		Expect(lines).To(HaveLen(1))
		return lines[0].ContextMap()["tries"]
	}

	// Guards against a reply that reaches neither the metrics nor the log.
	It("reserves with its parts, and counts and logs what the owner states", func() {
		p := &statingPacer{reply: pacer.Reservation{Reserved: true, StatedHeld: 211}}
		w, metrics := send(p, "Parts", "1")
		Expect(p.prompts[0].Tokens()).To(Equal(1460))
		Expect(p.tokens).To(Equal(1460-350/2), "for owners of earlier builds")
		Expect(metrics.Counter(relayer.MetricPromptTokensHeld).Value()).To(Equal(int64(210)))
		Expect(tries(w)).To(ContainElement(And(HaveKeyWithValue("held_tokens", 210), HaveKey("believed_tokens"))))
	})

	// Guards against a header with more tokens of parts than the prompt has: the owner would keep the
	// server's schedule closed for all of them.
	It("reserves no more tokens than the prompt has", func() {
		p := &statingPacer{reply: pacer.Reservation{Reserved: true}}
		send(p, "Parts", "1", "Second-Part-Tokens", "1000000")
		Expect(p.prompts[0].Tokens()).To(Equal(1460))
		Expect(p.prompts[0].Parts[1].Tokens).To(Equal(1250))
	})

	// Guards against counting silence, or an owner of an earlier build, as a statement.
	DescribeTable("is served without a statement", func(p *statingPacer) {
		w, metrics := send(p, "Parts", "1")
		Expect(metrics.Names()).NotTo(ContainElement(relayer.MetricPromptTokensHeld))
		Expect(tries(w)).To(ContainElement(Not(HaveKey("held_tokens"))))
	},
		Entry("of an owner that does not reply", &statingPacer{err: errors.New("no reply")}),
		Entry("of an owner of an earlier build", &statingPacer{reply: pacer.Reservation{Reserved: true}}),
	)

	// Guards against changes for deployments that send no prefixes.
	It("differs from one without, which sends no parts", func() {
		p := &statingPacer{reply: pacer.Reservation{Reserved: true}}
		w, _ := send(p)
		Expect(p.prompts).To(Equal([]*reuser.Prompt{nil}))
		Expect(tries(w)).To(ContainElement(Not(HaveKey("believed_tokens"))))
	})
})
