package ruler_test

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/ruler"
)

const small = `
name: small
models:
  - {name: tiny, pool: gpu, memory: 100, adapters: [{name: a1, memory: 2}]}
services:
  - {name: kiosk, pool: kiosk, writes: [/receipts]}
weights: {attainment: 0.7, moves: 0.3}
rules:
  - name: urgent
    when: kind == "chat" && model == "tiny" && hour >= 16
    then: {class: urgent, priority: 10, deadline: 800ms, queue: 2s}
  - name: rest
    when: true
    then: {class: normal}
`

func parse(text string) *ruler.List {
	GinkgoHelper()
	list, err := ruler.Parse("rules.yaml", []byte(text))
	Expect(err).NotTo(HaveOccurred())
	return list
}

func faults(text string) ruler.Faults {
	GinkgoHelper()
	_, err := ruler.Parse("rules.yaml", []byte(text))
	var f ruler.Faults
	Expect(errors.As(err, &f)).To(BeTrue(), "%v", err)
	return f
}

// manyKeys returns a mapping with that many fields.
func manyKeys(count int) string {
	var text strings.Builder
	for i := range count {
		fmt.Fprintf(&text, "k%d: 1\n", i)
	}
	return text.String()
}

// rule returns a list with one rule.
func rule(text string) string { return "rules:\n  - " + text + "\n" }

var _ = Describe("a rule list", func() {
	It("decides by the first rule that matches", func() {
		list := parse(small)
		d := list.Decide(ruler.Situation{Kind: ruler.KindChat, Model: "tiny", Hour: 17})
		Expect(d.Name).To(Equal("urgent"))
		Expect(d.Then.Deadline).To(Equal(800 * time.Millisecond))
		d = list.Decide(ruler.Situation{Kind: ruler.KindChat, Model: "tiny", Hour: 9})
		Expect(d.Rule).To(Equal(1))
		Expect(list.Warnings).To(BeEmpty())
	})

	It("uses the hour and weekday of its own time zone", func() {
		// Friday 23:30 UTC is Saturday 01:30 in Amsterdam, on summer time.
		now := time.Date(2026, time.July, 3, 23, 30, 0, 0, time.UTC)
		at := ruler.Situation{Kind: ruler.KindChat}
		Expect(parse(small).WithTime(now, at)).To(Equal(ruler.Situation{Kind: ruler.KindChat, Hour: 23, Weekday: 5}))
		zoned := parse("timezone: Europe/Amsterdam\n" + small)
		Expect(zoned.WithTime(now, at)).To(Equal(ruler.Situation{Kind: ruler.KindChat, Hour: 1, Weekday: 6}))
	})

	It("explains the outcome of every rule for a situation", func() {
		all := parse(small).Explain(ruler.Situation{Kind: ruler.KindChat, Model: "tiny", Hour: 17})
		Expect(all).To(HaveLen(2))
		Expect(all[0].Matched).To(BeTrue())
		Expect(all[1].Holds).To(BeTrue())
		Expect(all[1].Matched).To(BeFalse())
	})

	DescribeTable("classifies calls to a service as writes",
		func(method, path string, write bool) {
			v, ok := parse(small).Service("kiosk")
			Expect(ok).To(BeTrue())
			Expect(v.IsWrite(method, path)).To(Equal(write))
		},
		Entry("a POST to a listed path", "POST", "/receipts", true),
		Entry("a POST below a listed path", "POST", "/receipts/7", true),
		Entry("a GET", "GET", "/receipts", false),
		Entry("a path that only shares the prefix", "POST", "/receiptsx", false),
	)

	It("reports all faults at once, each with its line, rule and field", func() {
		f := faults(`
name: bad
models:
  - {name: tiny, memory: 0}
weights: {attainment: 0.9, moves: 0.3}
rules:
  - name: one
    when: kind = "chat"
    then: {deadline: soon, priorty: 3}
  - name: one
    when: nobody == 1
    then: {ready: 900}
`)
		text := f.Error()
		Expect(strings.Split(text, "\n")).To(ConsistOf(
			ContainSubstring(`rules.yaml:4:26: model 1: memory: "0" must be a whole number from 1`),
			ContainSubstring(`rules.yaml:4:5: model 1 "tiny": pool: is missing`),
			ContainSubstring(`weights: attainment and moves must add up to 1, not 1.2`),
			MatchRegexp(`rules.yaml:8:\d+: rule 1 "one": when: at character \d+`),
			ContainSubstring(`rules.yaml:9:22: rule 1 "one": then.deadline: "soon" must be a duration`),
			ContainSubstring(`rules.yaml:9:28: rule 1 "one": then: field "priorty" is unknown; there are class,`),
			MatchRegexp(`rules.yaml:11:\d+: rule 2 "one": when: .*unknown name nobody`),
			ContainSubstring(`rules.yaml:12:19: rule 2 "one": then.ready: "900" must be`),
			ContainSubstring(`has the name of rule 1`),
		))
	})

	DescribeTable("rejects",
		func(text, reason string) { Expect(faults(text).Error()).To(ContainSubstring(reason)) },
		Entry("an empty document", "", "one YAML document"),
		Entry("two documents", "name: a\n---\nname: b\n", "one YAML document"),
		Entry("truncated YAML", "rules: [", "YAML"),
		Entry("a list in place of a mapping", "- a", "must be a mapping"),
		Entry("an unknown field", "modells: []", `field "modells" is unknown`),
		Entry("an anchor", "name: &a x\n", "anchors"),
		Entry("an alias", "name: *a\n", "aliases"),
		Entry("a tag", "name: !!str x\n", "tags"),
		Entry("a mapping with too many fields", manyKeys(40_000), "over 64 fields"),
		Entry("a flow mapping with too many fields", "{"+strings.ReplaceAll(manyKeys(100), "\n", ",\n")+"}", "over 64 fields"),
		Entry("too many sequence dashes on one line", strings.Repeat("- ", 100)+"\n", "nested"),
		Entry("an unknown time zone", "timezone: Europe/Nowhere", "is no time zone"),
		Entry("the time zone Local", "timezone: Local", "is no time zone"),
		Entry("a model listed twice", "models: [{name: a, pool: p, memory: 1}, {name: a, pool: p, memory: 1}]", "twice"),
		Entry("a model without a pool", "models: [{name: a, memory: 1}]", "pool: is missing"),
		Entry("an adapter without memory", "models: [{name: a, pool: p, memory: 1, adapters: [{name: x}]}]", "memory: is missing"),
		Entry("a name with a space", "models: [{name: a b, pool: p, memory: 1}]", "letters, digits"),
		Entry("a write path without a leading slash", "services: [{name: a, pool: p, writes: [x]}]", "starts with a slash"),
		Entry("a negative deadline", rule("{when: true, then: {deadline: -1s}}"), "must be a duration"),
		Entry("a queue time over the limit", rule("{when: true, then: {queue: 99h}}"), "must be a duration"),
		Entry("a rule without a condition", rule("{then: {class: a}}"), "when: is missing"),
		Entry("a rule without a decision", rule("{when: true}"), "then: is missing"),
		Entry("a condition that is not a boolean", rule(`{when: "hour + 1", then: {}}`), "bool"),
		Entry("a condition that reads the clock", rule(`{when: "now().Hour() > 3", then: {}}`), "now"),
		Entry("a condition that loops", rule(`{when: "any([1, 2], # == 2)", then: {}}`), "function any is not allowed"),
		Entry("a condition with a range", rule(`{when: "hour in 1..900000", then: {}}`), "range is not allowed"),
		Entry("a condition with too many nodes", rule("{when: '"+strings.Repeat("hour == 1 || ", 150)+"true', then: {}}"), "exceeds"),
		Entry("brackets nested too deep", strings.Repeat("[", 100), "nested"),
		Entry("a line over the limit", "name: "+strings.Repeat("x", 5000), "line over"),
		Entry("a text over the size limit", strings.Repeat("#\n", ruler.MaxBytes), "over 524288 bytes"),
	)

	It("warns about unreachable rules and unknown names", func() {
		list := parse(`
models: [{name: tiny, pool: p, memory: 1}]
rules:
  - {name: a, when: model == "tyni", then: {class: x}}
  - {name: b, when: true, then: {class: x}}
  - {name: c, when: hour > 3, then: {class: x}}
`)
		Expect(list.Warnings).To(ConsistOf(ContainSubstring(`names "tyni"`), ContainSubstring("rule 2 matches always")))
	})

	It("sets fields of a situation from text", func() {
		var s ruler.Situation
		Expect(s.Set("hour", "17")).To(Succeed())
		Expect(s.Set("demand", "2.5")).To(Succeed())
		Expect(s.Set("model", "tiny")).To(Succeed())
		Expect(s).To(Equal(ruler.Situation{Hour: 17, Demand: 2.5, Model: "tiny"}))
		Expect(s.Set("hour", "x")).NotTo(Succeed())
		Expect(s.Set("phase", "x")).To(MatchError(ContainSubstring("there are kind, model")))
	})
})

func FuzzParse(f *testing.F) {
	f.Add([]byte(small))
	f.Add([]byte("rules: [{when: 'true', then: {class: a}}]"))
	f.Add([]byte("a: &x [*x]\nb: *x"))
	f.Add([]byte("rules:\n- when: hour in [1..900000]\n  then: {}"))
	f.Add([]byte("? [a]\n: {b: c}\n---\n..."))
	f.Add([]byte(strings.Repeat("- ", 200)))
	f.Add([]byte("{a: {a: {a: {a: |\n  x"))
	for _, name := range []string{"vertrekpunt", "bunya"} {
		if data, err := os.ReadFile("../examples/" + name + ".yaml"); err == nil {
			f.Add(data)
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		list, err := ruler.Parse("fuzz.yaml", data)
		var faults ruler.Faults
		if err != nil && !errors.As(err, &faults) {
			t.Fatalf("error is not of type Faults: %v", err)
		}
		if err == nil {
			list.Decide(ruler.Situation{Kind: ruler.KindChat, Model: "tiny", Caller: "x"})
		}
	})
}

// hundredRules returns a list of 100 rules of which only the last matches.
func hundredRules() string {
	text := "rules:\n"
	for i := range 99 {
		text += fmt.Sprintf("  - {name: r%d, when: 'kind == \"chat\" && model == \"m%d\" && hour >= 16', then: {class: c}}\n", i, i)
	}
	return text + "  - {name: last, when: true, then: {class: c}}\n"
}

func BenchmarkDecide100Rules(b *testing.B) {
	list, err := ruler.Parse("rules.yaml", []byte(hundredRules()))
	if err != nil {
		b.Fatal(err)
	}
	s := ruler.Situation{Kind: ruler.KindChat, Model: "tiny", Hour: 17}
	b.ReportAllocs()
	for b.Loop() {
		if list.Decide(s).Rule != 99 {
			b.Fatal("wrong rule")
		}
	}
}
