package reporter_test

import (
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/reporter"
)

// fleet is what a reporting instance meets.
type fleet struct {
	// silent do not reply, fresh are the deputies that read the store, holder has the lease.
	silent, fresh map[string]bool
	holder        string
	// named is what deputies that read the store name as the holder.
	named string
}

var deputies = []string{"d1", "d2", "d3"}

// report sends reports for a time, every 300 ms, and returns those who received one that counted.
func (f fleet) report(r *reporter.Receivers, clock *clockwork.FakeClock, logged string, d time.Duration) []string {
	var received []string
	for end := clock.Now().Add(d); clock.Now().Before(end); clock.Advance(300 * time.Millisecond) {
		for range 20 {
			address, deputy := r.Next(logged, deputies)
			if address == "" || f.serves(r, address, logged, deputy) {
				if address != "" {
					received = append(received, address)
				}
				break
			}
			r.BackOff(address)
		}
	}
	return received
}

// serves sends one report, and reports whether the reply counts.
func (f fleet) serves(r *reporter.Receivers, address, logged string, deputy bool) bool {
	switch {
	case f.silent[address]:
		return false
	case address == f.holder:
		r.SetHolder(address, logged)
		return true
	case !deputy:
		return false
	}
	if f.fresh[address] {
		r.SetHolder(f.named, logged)
	}
	serves, _ := r.DeputyReplied(address, f.fresh[address], deputies)
	return serves
}

// changes returns how often the receiver changes.
func changes(received []string) int {
	n := 0
	for i := range received[1:] {
		if received[i] != received[i+1] {
			n++
		}
	}
	return n
}

var _ = Describe("The receiver of reports", func() {
	var r *reporter.Receivers
	var clock *clockwork.FakeClock
	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		r = reporter.New(clock)
	})

	// Guards against an incident (SHORT): while the store was down no deputy read it, and all instances went
	// on to the next one with every other report. Usage caps were granted by nobody in between.
	It("does not change while no deputy reads the store", func() {
		received := fleet{}.report(r, clock, "former", 20*time.Second)
		Expect(len(received)).To(BeNumerically(">=", 60))
		Expect(changes(received[10:])).To(BeZero())
	})

	// Guards against an incident (SHORT): instances that did not read the lease's log went back to the
	// deputies after each reply of the holder.
	It("is the holder that replied, whatever the lease's log names", func() {
		received := fleet{holder: "d3"}.report(r, clock, "former", 20*time.Second)
		Expect(received[10:]).To(HaveEach("d3"))
		Expect(len(received)).To(BeNumerically(">=", 60))
	})

	It("is a deputy that reads the store if one does", func() {
		received := fleet{fresh: map[string]bool{"d2": true}}.report(r, clock, "former", 20*time.Second)
		Expect(received[10:]).To(HaveEach("d2"))
	})

	It("is the holder that a deputy names, as soon as that replies", func() {
		f := fleet{fresh: map[string]bool{"d1": true}, named: "next", silent: map[string]bool{"next": true}}
		Expect(f.report(r, clock, "former", 5*time.Second)).To(HaveEach("d1"))
		f.silent, f.holder = nil, "next"
		received := f.report(r, clock, "former", 3*time.Second)
		Expect(received[5:]).To(HaveEach("next"))
	})

	It("is the holder in the lease's log once that names another one", func() {
		f := fleet{holder: "d3"}
		Expect(f.report(r, clock, "former", 5*time.Second)).To(ContainElement("d3"))
		address, deputy := r.Next("next", deputies)
		Expect(address).To(Equal("next"))
		Expect(deputy).To(BeFalse())
	})

	It("changes when it does not reply", func() {
		Expect(fleet{}.report(r, clock, "former", 5*time.Second)).To(ContainElement("d1"))
		received := fleet{silent: map[string]bool{"d1": true}}.report(r, clock, "former", 20*time.Second)
		Expect(received).NotTo(ContainElement("d1"))
		Expect(len(received)).To(BeNumerically(">=", 60))
		Expect(changes(received[10:])).To(BeZero())
	})

	It("is a deputy again that reads the store once more", func() {
		f := fleet{fresh: map[string]bool{"d2": true}}
		f.report(r, clock, "former", 20*time.Second)
		f.fresh = map[string]bool{"d3": true}
		received := f.report(r, clock, "former", 20*time.Second)
		Expect(received[30:]).To(HaveEach("d3"))
	})

	It("is nobody if there is none", func() {
		address, deputy := r.Next("", nil)
		Expect(address).To(BeEmpty())
		Expect(deputy).To(BeFalse())
	})
})
