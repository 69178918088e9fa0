package pacer_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"primrosehook/pacer"
)

var epoch = time.Date(2026, 12, 4, 17, 0, 0, 0, time.UTC)

func limits() pacer.Limits {
	return pacer.Limits{Window: 300 * time.Millisecond, Tokens: 4000, MaxWait: 150 * time.Millisecond}
}

// engine simulates an engine that prefills prompts in chunks between the steps of
// its streams. All times are in milliseconds.
type engine struct {
	queue    []prompt
	clock    float64
	stepEnds []float64
}

type prompt struct {
	at     float64
	tokens int
}

const (
	chunkTokens   = 2048
	tokenMillis   = 1 / 22.1
	stepMillis    = 30
	stepsPerEvent = 3
	maxGapMillis  = 300
)

// run prefills the queued prompts until a time, and records when each step ended.
func (e *engine) run(until float64) {
	for e.clock < until {
		budget, prefilled := chunkTokens, 0
		for len(e.queue) > 0 && e.queue[0].at <= e.clock && budget > 0 {
			n := min(e.queue[0].tokens, budget)
			prefilled, budget = prefilled+n, budget-n
			if e.queue[0].tokens -= n; e.queue[0].tokens == 0 {
				e.queue = e.queue[1:]
			}
		}
		e.clock += stepMillis + float64(prefilled)*tokenMillis
		e.stepEnds = append(e.stepEnds, e.clock)
	}
}

// lateShare returns the share of steps that end an event after too long a gap.
func (e *engine) lateShare() float64 {
	n := 0
	for i := stepsPerEvent; i < len(e.stepEnds); i++ {
		if e.stepEnds[i]-e.stepEnds[i-stepsPerEvent] > maxGapMillis {
			n++
		}
	}
	return float64(n) / float64(len(e.stepEnds))
}

var _ = Describe("Schedule", func() {
	It("lets no more tokens through in any window than the limits allow", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var s pacer.Schedule
			r := limits()
			now := epoch
			type sent struct {
				at     time.Time
				tokens int
			}
			var all []sent
			for range 60 {
				now = now.Add(time.Duration(rapid.IntRange(0, 120).Draw(t, "pause")) * time.Millisecond)
				tokens := rapid.IntRange(1, r.Tokens).Draw(t, "tokens")
				if wait, ok := s.Reserve(now, 0, tokens, r); ok {
					if wait < 0 || wait > r.MaxWait {
						t.Fatalf("reserved a slot %v ahead", wait)
					}
					all = append(all, sent{now.Add(wait), tokens})
				} else if wait <= 0 {
					t.Fatalf("refused with a retry interval of %v", wait)
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

	It("reserves a slot after the retry interval of a refusal", func() {
		var s pacer.Schedule
		_, ok := s.Reserve(epoch, 0, 4000, limits())
		Expect(ok).To(BeTrue())
		retry, ok := s.Reserve(epoch, 0, 1000, limits())
		Expect(ok).To(BeFalse())
		Expect(retry).To(Equal(150 * time.Millisecond))
		wait, ok := s.Reserve(epoch.Add(retry), 0, 1000, limits())
		Expect(ok).To(BeTrue())
		Expect(wait).To(Equal(150 * time.Millisecond))
	})

	It("lets a prompt that is longer than the limit of a window through alone", func() {
		var s pacer.Schedule
		wait, ok := s.Reserve(epoch, 0, 9000, limits())
		Expect([]any{wait, ok}).To(Equal([]any{time.Duration(0), true}))
		_, ok = s.Reserve(epoch.Add(400*time.Millisecond), 0, 1000, limits())
		Expect(ok).To(BeFalse())
		_, ok = s.Reserve(epoch.Add(700*time.Millisecond), 0, 1000, limits())
		Expect(ok).To(BeTrue())
		Expect(s.Idle(epoch.Add(2*time.Second), limits().Window)).To(BeTrue())
	})

	// The load: clients leave while their prompts wait for slots, and others come. Guards against
	// slots that stay reserved for nobody.
	It("gives a slot to others once its client has left before its time", func() {
		s := &pacer.Schedule{}
		_, ok := s.Reserve(epoch, 1, 3000, limits())
		Expect(ok).To(BeTrue())
		now := epoch.Add(200 * time.Millisecond)
		wait, ok := s.Reserve(now, 2, 3000, limits())
		Expect([]any{wait, ok}).To(Equal([]any{100 * time.Millisecond, true}))
		s.Release(now, 1) // its time has come
		_, ok = s.Reserve(now, 3, 3000, limits())
		Expect(ok).To(BeFalse())
		s.Release(now, 2)
		wait, ok = s.Reserve(now, 3, 3000, limits())
		Expect([]any{wait, ok}).To(Equal([]any{100 * time.Millisecond, true}))
	})

	// One model is in demand, and each of nine instances sees the others' prompts
	// 150 ms late. When the count of prompts sent falls below the limit, all of
	// them see it and send together.
	It("keeps streams from pausing when many instances see free capacity at the same moment", func() {
		unreserved, reserved := &engine{}, &engine{}
		var s pacer.Schedule
		random := rand.New(rand.NewPCG(7, 7))
		const instances, lag, seconds = 9, 150.0, 60.0
		waiting := make([]int, instances)
		waitingReserved := make([]int, instances)
		var sent [instances][]prompt
		limit := limits().Tokens
		for at := 0.0; at < seconds*1000; at++ {
			if random.Float64() < 0.010 {
				i := random.IntN(instances)
				waiting[i]++
				waitingReserved[i]++
			}
			for i := range instances {
				if waiting[i] > 0 && knownSent(sent, i, at, lag) < limit {
					waiting[i]--
					unreserved.queue = append(unreserved.queue, prompt{at, 1400})
					sent[i] = append(sent[i], prompt{at, 1400})
				}
				if waitingReserved[i] > 0 {
					now := epoch.Add(time.Duration(at) * time.Millisecond)
					if wait, ok := s.Reserve(now, 0, 1400, limits()); ok {
						waitingReserved[i]--
						reserved.queue = append(reserved.queue, prompt{at + float64(wait.Milliseconds()), 1400})
					}
				}
			}
		}
		unreserved.run(seconds * 1000)
		reserved.run(seconds * 1000)
		AddReportEntry("late events with exchanged counts and with reservations", []float64{unreserved.lateShare(), reserved.lateShare()})
		Expect(unreserved.lateShare()).To(BeNumerically(">", 0.1), "without reservations")
		Expect(reserved.lateShare()).To(BeNumerically("<", 0.03))
	})
})

// knownSent returns the tokens that an instance knows to have been sent in the
// last window: its own prompts, and those of the others as of lag milliseconds
// ago.
func knownSent(sent [9][]prompt, self int, now, lag float64) int {
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
