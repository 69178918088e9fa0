package sparer_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/sparer"
)

// slowOwners is a model in which some calls to the first of two owners are answered too late.
// The instance then reports the end of the request and asks the second owner for a time.
type slowOwners struct {
	*model
	owners [2]sparer.Admissions
	// late is the share of calls that are answered too late.
	late float64
	// backedOff is until when each client's instance asks the second owner.
	backedOff [24]time.Time
	lastID    uint64
}

// client sends requests one after the other, each asking to be admitted up to four times.
func (s *slowOwners) client(i, tries int) {
	if tries == 0 {
		s.after(100*time.Millisecond, func() { s.client(i, 4) })
		return
	}
	s.lastID++
	id, owner := s.lastID, &s.owners[0]
	if s.now.Before(s.backedOff[i]) {
		owner = &s.owners[1]
	} else if s.random.Float64() < s.late {
		s.after(time.Duration(50+s.random.IntN(100))*time.Millisecond, func() { owner.Admit(s.now, id, s.bears) })
		s.after(90*time.Millisecond, func() {
			s.after(s.delay(), func() { owner.Record(s.now, id, s.bears, false) })
			s.backedOff[i] = s.now.Add(time.Second)
			s.client(i, tries-1)
		})
		return
	}
	s.after(s.delay(), func() {
		wait, ok := owner.Admit(s.now, id, s.bears)
		s.after(s.delay(), func() {
			switch {
			case ok:
				s.after(s.delay(), func() { s.arriveOf(owner, i, id) })
			case wait > 20*time.Millisecond:
				s.after(wait, func() { s.client(i, 4) })
			default:
				s.after(wait, func() { s.client(i, tries-1) })
			}
		})
	})
}

// arriveOf is the arrival of a client's request at the server, which lets none wait.
func (s *slowOwners) arriveOf(owner *sparer.Admissions, i int, id uint64) {
	end := func(refused bool) {
		s.after(s.delay(), func() { owner.Record(s.now, id, s.bears, refused) })
		s.client(i, 0)
	}
	if s.running >= s.slots {
		s.refusals = append(s.refusals, s.now)
		s.after(s.delay(), func() { end(true) })
		return
	}
	s.running++
	s.after(s.work, func() {
		s.running--
		s.served++
		s.after(s.delay(), func() { end(false) })
	})
}

var _ = Describe("A brittle server whose owner answers some calls too late", func() {
	// Guards against a limit that is too low for seconds under the load of 24 clients of four
	// instances, three times what the server can do: the end of a request that the owner had
	// not let through freed the place of another one.
	It("serves half of what it can", func() {
		const span, bears, slots, work = 6 * time.Second, 8, 3, 50 * time.Millisecond
		for seed := range modelSeeds() + 5 {
			s := &slowOwners{model: newModel(seed, 0, bears, slots, work, true), late: 0.05}
			end := s.now.Add(span)
			for i := range s.backedOff {
				s.after(time.Duration(i)*time.Millisecond, func() { s.client(i, 4) })
			}
			for s.queue[0].at.Before(end) {
				s.step()
			}
			Expect(s.served).To(BeNumerically(">", int(0.5*slots*span.Seconds()/work.Seconds())), "seed %d", seed)
			Expect(s.mostRefusals()).To(BeNumerically("<=", bears), "seed %d", seed)
		}
	})

	It("counts no request as in flight whose end is reported before it is let through", func() {
		var a sparer.Admissions
		now := time.Unix(1000, 0)
		Expect(a.Record(now, 1, 8, false)).To(BeFalse())
		_, ok := a.Admit(now, 1, 8)
		Expect(ok).To(BeFalse())
		_, ok = a.Admit(now, 2, 8)
		Expect(ok).To(BeTrue())
		Expect(a.Record(now, 2, 8, false)).To(BeTrue())
		Expect(a.Record(now, 2, 8, false)).To(BeFalse())
	})
})
