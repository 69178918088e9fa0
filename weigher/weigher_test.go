package weigher_test

import (
	"context"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/reserver"
	"primrosehook/weigher"
)

// endless is a text whose end repeats without end.
type endless struct {
	repeat string
	rest   string
	read   int
}

// Read implements io.Reader.
func (e *endless) Read(p []byte) (int, error) {
	if e.rest == "" {
		e.rest = strings.Repeat(e.repeat, 100)
	}
	n := copy(p, e.rest)
	e.rest = e.rest[n:]
	e.read += n
	return n, nil
}

var _ = Describe("Texts of others", func() {
	limits := weigher.Limits{Bytes: 256 << 10, Values: 1000}

	// Guards against texts of servers in trouble that are held, or decoded, whatever their size.
	DescribeTable("are read up to their limits only",
		func(begin, repeat string, expected error) {
			text := &endless{rest: begin, repeat: repeat}
			var into struct{ List []struct{ Name string } }
			memory := reserver.New(64 << 20)
			Expect(weigher.Decode(context.Background(), text, limits, memory, &into)).To(MatchError(expected))
			Expect(text.read).To(BeNumerically("<=", limits.Bytes))
			Expect(memory.Held(reserver.Answer)).To(BeZero())
		},
		Entry("a name", `{"list":[{"name":"`, "x", weigher.ErrTooLarge),
		Entry("commas in a name", `{"list":[{"name":"\"`, `,\"`, weigher.ErrTooLarge),
		Entry("blanks", "", " ", weigher.ErrTooLarge),
		Entry("empty objects", `{"list":[{}`, ",{}", weigher.ErrTooMany),
		Entry("lists in lists", `{"list":`, "[", weigher.ErrTooMany),
		Entry("unknown fields", `{"a":0`, `,"a":0`, weigher.ErrTooMany),
	)

	It("are decoded if bytes without end follow", func() {
		var into struct{ List []struct{ Name string } }
		text := &endless{rest: `{"list":[{"name":"a,b:c[{\\"},{"name":"d"}]}`, repeat: "x"}
		Expect(weigher.Decode(context.Background(), text, limits, nil, &into)).To(Succeed())
		Expect(weigher.DecodeWhole(context.Background(), &endless{rest: "{}", repeat: "x"}, limits, nil, &into)).NotTo(Succeed())
		Expect(weigher.DecodeWhole(context.Background(), &endless{rest: "{}", repeat: "{}"}, limits, nil, &into)).To(MatchError(weigher.ErrMore))
		Expect(weigher.DecodeWhole(context.Background(), strings.NewReader("{} \n"), limits, nil, &into)).To(Succeed())
		Expect(into.List).To(HaveLen(2))
		Expect(into.List[0].Name).To(Equal(`a,b:c[{\`))
	})

	// Guards against many servers whose reports are each within the limits and are too much together.
	It("are not decoded while others hold the memory", func() {
		memory := reserver.New(1 << 20)
		other, _ := memory.Acquire(reserver.Answer, 0)
		other.GrowInTurn(2 << 20)
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		text := `{"list":["` + strings.Repeat("x", 200<<10) + `"]}`
		var into map[string][]string
		Expect(weigher.Decode(ctx, strings.NewReader(text), limits, memory, &into)).To(MatchError(weigher.ErrMemory))
		other.Release()
		Expect(weigher.Decode(context.Background(), strings.NewReader(text), limits, memory, &into)).To(Succeed())
	})
})
