package pacer_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"primrosehook/pacer"
)

var start = time.Date(2026, 12, 4, 17, 0, 0, 0, time.UTC)

func rule() pacer.Rule {
	return pacer.Rule{Window: 300 * time.Millisecond, Tokens: 4000, Ahead: 150 * time.Millisecond}
}

// engine is an engine that reads prompts in pieces between the steps of its
// streams. All times are in milliseconds.
type engine struct {
	queue []prompt
	clock float64
	ends  []float64
}

type prompt struct {
	at     float64
	tokens int
}

const (
	piece    = 2048
	perToken = 1 / 22.1
	stepTime = 30
	perEvent = 3
	longest  = 300
)

// run reads all prompts, and notes when each step ended.
func (e *engine) run(until float64) {
	for e.clock < until {
		room, read := piece, 0
		for len(e.queue) > 0 && e.queue[0].at <= e.clock && room > 0 {
			n := min(e.queue[0].tokens, room)
			read, room = read+n, room-n
			if e.queue[0].tokens -= n; e.queue[0].tokens == 0 {
				e.queue = e.queue[1:]
			}
		}
		e.clock += stepTime + float64(read)*perToken
		e.ends = append(e.ends, e.clock)
	}
}

// late is the share of steps that end an event whose pause was too long.
func (e *engine) late() float64 {
	n := 0
	for i := perEvent; i < len(e.ends); i++ {
		if e.ends[i]-e.ends[i-perEvent] > longest {
			n++
		}
	}
	return float64(n) / float64(len(e.ends))
}

var _ = Describe("Book", func() {
	It("lets no more through in any window than the rule says", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var b pacer.Book
			r := rule()
			now := start
			type sent struct {
				at     time.Time
				tokens int
			}
			var all []sent
			for range 60 {
				now = now.Add(time.Duration(rapid.IntRange(0, 120).Draw(t, "pause")) * time.Millisecond)
				tokens := rapid.IntRange(1, r.Tokens).Draw(t, "tokens")
				if wait, ok := b.Reserve(now, tokens, r); ok {
					if wait < 0 || wait > r.Ahead {
						t.Fatalf("booked %v ahead", wait)
					}
					all = append(all, sent{now.Add(wait), tokens})
				} else if wait <= 0 {
					t.Fatalf("refused with a pause of %v", wait)
				}
			}
			for _, x := range all {
				sum := 0
				for _, y := range all {
					if !y.at.Before(x.at) && y.at.Sub(x.at) < r.Window {
						sum += y.tokens
					}
				}
				if sum > r.Tokens {
					t.Fatalf("%d tokens in a window", sum)
				}
			}
		})
	})

	It("books again after the pause that a refusal names", func() {
		var b pacer.Book
		_, ok := b.Reserve(start, 4000, rule())
		Expect(ok).To(BeTrue())
		pause, ok := b.Reserve(start, 1000, rule())
		Expect(ok).To(BeFalse())
		Expect(pause).To(Equal(150 * time.Millisecond))
		wait, ok := b.Reserve(start.Add(pause), 1000, rule())
		Expect(ok).To(BeTrue())
		Expect(wait).To(Equal(150 * time.Millisecond))
	})

	It("lets a prompt through that is longer than a window takes, alone", func() {
		var b pacer.Book
		wait, ok := b.Reserve(start, 9000, rule())
		Expect([]any{wait, ok}).To(Equal([]any{time.Duration(0), true}))
		_, ok = b.Reserve(start.Add(400*time.Millisecond), 1000, rule())
		Expect(ok).To(BeFalse())
		_, ok = b.Reserve(start.Add(700*time.Millisecond), 1000, rule())
		Expect(ok).To(BeTrue())
		Expect(b.Idle(start.Add(2*time.Second), rule().Window)).To(BeTrue())
	})

	// The pattern: one model in demand, nine instances, each of which learns of
	// the others' prompts 150 ms late. When the count of prompts sent falls
	// below the limit, all see it and send together.
	It("keeps streams from pausing when many instances see room at the same moment", func() {
		shared, booked := &engine{}, &engine{}
		var b pacer.Book
		random := rand.New(rand.NewPCG(7, 7))
		const instances, lag, seconds = 9, 150.0, 60.0
		waiting := make([]int, instances)
		waitingBooked := make([]int, instances)
		var sent [instances][]prompt
		limit := rule().Tokens
		for at := 0.0; at < seconds*1000; at++ {
			if random.Float64() < 0.010 {
				i := random.IntN(instances)
				waiting[i]++
				waitingBooked[i]++
			}
			for i := range instances {
				if waiting[i] > 0 && seen(sent, i, at, lag) < limit {
					waiting[i]--
					shared.queue = append(shared.queue, prompt{at, 1400})
					sent[i] = append(sent[i], prompt{at, 1400})
				}
				if waitingBooked[i] > 0 {
					now := start.Add(time.Duration(at) * time.Millisecond)
					if wait, ok := b.Reserve(now, 1400, rule()); ok {
						waitingBooked[i]--
						booked.queue = append(booked.queue, prompt{at + float64(wait.Milliseconds()), 1400})
					}
				}
			}
		}
		shared.run(seconds * 1000)
		booked.run(seconds * 1000)
		AddReportEntry("late events, counts exchanged and booked", []float64{shared.late(), booked.late()})
		Expect(shared.late()).To(BeNumerically(">", 0.1), "the pattern")
		Expect(booked.late()).To(BeNumerically("<", 0.03))
	})
})

// seen is what an instance knows to have been sent in the last window: its own
// prompts, and those of the others as they were some time ago.
func seen(sent [9][]prompt, self int, now, lag float64) int {
	sum := 0
	for i, list := range sent {
		age := 0.0
		if i != self {
			age = lag
		}
		for j := len(list) - 1; j >= 0 && list[j].at > now-300; j-- {
			if list[j].at <= now-age {
				sum += list[j].tokens
			}
		}
	}
	return sum
}
