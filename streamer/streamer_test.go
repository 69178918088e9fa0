package streamer_test

import (
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/streamer"
)

func event(id int) string { return fmt.Sprintf("id: %d\ndata: token %d\n\n", id, id) }

var _ = Describe("Splitter", func() {
	push := func(s *streamer.Splitter, text string) string {
		out, err := s.Push([]byte(text))
		Expect(err).NotTo(HaveOccurred())
		return string(out)
	}

	It("gives whole events out, whatever the pieces they come in", func() {
		all := event(1) + event(2) + event(3)
		for size := 1; size <= len(all); size++ {
			s := streamer.After("")
			var out strings.Builder
			for at := 0; at < len(all); at += size {
				out.WriteString(push(s, all[at:min(at+size, len(all))]))
			}
			Expect(out.String()).To(Equal(all))
			Expect(s.Last()).To(Equal("3"))
		}
	})

	It("holds back an event that broke off", func() {
		s := streamer.After("")
		Expect(push(s, event(1)+"id: 2\ndata: to")).To(Equal(event(1)))
		Expect(s.Last()).To(Equal("1"))
		Expect(string(s.Rest())).To(Equal("id: 2\ndata: to"))
	})

	It("leaves out what a server repeats after a resumption", func() {
		s := streamer.After("2")
		Expect(push(s, event(1)+event(2)+event(3)+event(4))).To(Equal(event(3) + event(4)))
	})

	It("finds a gap", func() {
		s := streamer.After("2")
		_, err := s.Push([]byte(event(4)))
		Expect(err).To(MatchError(streamer.ErrGap))
	})

	It("passes events without an id on", func() {
		s := streamer.After("")
		Expect(push(s, ": note\n\n"+event(1))).To(Equal(": note\n\n" + event(1)))
	})
})
