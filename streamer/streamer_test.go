package streamer_test

import (
	"fmt"
	"runtime"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/streamer"
)

func tokenEvent(id int) string { return fmt.Sprintf("id: %d\ndata: token %d\n\n", id, id) }

var _ = Describe("Splitter", func() {
	push := func(s *streamer.Splitter, text string) string {
		out, err := s.Push([]byte(text))
		Expect(err).NotTo(HaveOccurred())
		return string(out)
	}

	It("returns complete events, whatever the size of the chunks", func() {
		all := tokenEvent(1) + tokenEvent(2) + tokenEvent(3)
		for size := 1; size <= len(all); size++ {
			s := streamer.NewSplitterAfter("")
			var out strings.Builder
			for at := 0; at < len(all); at += size {
				out.WriteString(push(s, all[at:min(at+size, len(all))]))
			}
			Expect(out.String()).To(Equal(all))
			Expect(s.LastID()).To(Equal("3"))
		}
	})

	It("splits events that end with either kind of line", func() {
		for _, all := range []string{
			"id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\nid: 3\r\ndata: c\r\n\r\n",
			"id: 1\ndata: a\r\n\nid: 2\ndata: b\n\r\n\n",
		} {
			for size := 1; size <= len(all); size++ {
				s := streamer.NewSplitterAfter("")
				var out strings.Builder
				for at := 0; at < len(all); at += size {
					out.WriteString(push(s, all[at:min(at+size, len(all))]))
				}
				Expect(out.String()).To(Equal(all))
			}
		}
	})

	// Guards against work that is quadratic in the length of an event: a server that sends a
	// large event in small pieces would keep the instance busy for all other clients.
	It("copies a large event that arrives in small pieces a few times only", func() {
		event := "id: 1\ndata: " + strings.Repeat("x", 512<<10) + "\n\n"
		s := streamer.NewSplitterAfter("")
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		n := 0
		for at := 0; at < len(event); at += 512 {
			n += len(push(s, event[at:min(at+512, len(event))]))
		}
		runtime.ReadMemStats(&after)
		Expect(n).To(Equal(len(event)))
		Expect(after.TotalAlloc - before.TotalAlloc).To(BeNumerically("<", 16*len(event)))
	})

	It("keeps back an incomplete event", func() {
		s := streamer.NewSplitterAfter("")
		Expect(push(s, tokenEvent(1)+"id: 2\ndata: to")).To(Equal(tokenEvent(1)))
		Expect(s.LastID()).To(Equal("1"))
		Expect(string(s.Partial())).To(Equal("id: 2\ndata: to"))
	})

	It("drops the events that a server repeats after a resumption", func() {
		s := streamer.NewSplitterAfter("2")
		Expect(push(s, tokenEvent(1)+tokenEvent(2)+tokenEvent(3)+tokenEvent(4))).To(Equal(tokenEvent(3) + tokenEvent(4)))
	})

	It("returns ErrGap when an event is missing", func() {
		s := streamer.NewSplitterAfter("2")
		_, err := s.Push([]byte(tokenEvent(4)))
		Expect(err).To(MatchError(streamer.ErrGap))
	})

	It("passes through events without an id", func() {
		s := streamer.NewSplitterAfter("")
		Expect(push(s, ": note\n\n"+tokenEvent(1))).To(Equal(": note\n\n" + tokenEvent(1)))
	})

	// Guards against an error's text or head that is passed on as events.
	DescribeTable("reports bytes among events that have no id", func(text string, foreign bool) {
		s := streamer.NewSplitterAfter("")
		_, err := s.Push([]byte("id: 1\ndata: x\n\n"))
		Expect(err).NotTo(HaveOccurred())
		_, err = s.Push([]byte(text))
		if foreign {
			Expect(err).To(MatchError(streamer.ErrForeign))
		} else {
			Expect(err).NotTo(HaveOccurred())
		}
	},
		Entry("a head", "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n", true),
		Entry("a text", "error: no such run\n\n", true),
		Entry("an id that is no number", "id: x\ndata: x\n\n", true),
		Entry("a comment", ": still there\n\n", false),
		Entry("an event with further fields", "weights: 7\nid: 2\ndata: x\n\n", false),
	)
})
