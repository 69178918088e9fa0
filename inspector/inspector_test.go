package inspector_test

import (
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/types"

	"primrosehook/inspector"
	"primrosehook/platform"
)

// sound is a configuration without findings.
const sound = `{"version":7,
"routes":[
 {"name":"chat","host":"api.example","path-prefix":"/chat/","kind":"streaming","timeout-ms":30000,"target-latency-ms":800,"gap-aim-ms":300,"priority":1,"service":"llm","max-attempts":2,"resumable":true},
 {"name":"chat-new","host":"api.example","path-prefix":"/chat/new/","kind":"streaming","timeout-ms":30000,"traffic-split":[{"service":"llm","weight":90},{"service":"llm-next","weight":10}],"max-attempts":2,"session-affinity":true},
 {"name":"form","host":"API.example","path-prefix":"/form/","kind":"non_idempotent","timeout-ms":2000,"target-latency-ms":200,"service":"forms"},
 {"name":"help","host":"www.example","path-prefix":"/form/","kind":"idempotent","service":"forms","public":true}],
"services":[
 {"name":"llm","max-connections":100,"engine":{"slots":8,"kv-capacity":60000,"weights-mb":40000,"adapter-slots":4,"loads-per-s":2,
  "models":[{"name":"base","weights-mb":16000,"load-s":9,"warm-s":1,"disk-s":4,"adapters":6,"adapter-mb":200},{"name":"small","weights-mb":9000,"load-s":5}]}},
 {"name":"llm-next","engine":{"slots":8,"weights-mb":40000,"models":[{"name":"base","weights-mb":16000,"load-s":9}]}},
 {"name":"forms","max-connections":50}],
"tenants":[
 {"name":"north","api-keys":["key-n1","key-n2"],"priority":1,"unit":"tokens","plain-tokens":200,"rate-per-s":9000,"burst":18000},
 {"name":"south","api-keys":["key-s1"],"unit":"requests","rate-per-s":20,"burst":40},
 {"name":"free","api-keys":["key-f1"]}],
"limits":{"max-header-bytes":16384,"max-body-bytes":1048576,"header-timeout-ms":2000,"idle-timeout-ms":60000}}`

// edited returns the sound configuration with text replaced.
func edited(pairs ...string) *platform.Entries {
	GinkgoHelper()
	text := sound
	for i := 0; i < len(pairs); i += 2 {
		Expect(text).To(ContainSubstring(pairs[i]))
		text = strings.Replace(text, pairs[i], pairs[i+1], 1)
	}
	e, err := platform.DecodeEntries([]byte(text))
	Expect(err).NotTo(HaveOccurred())
	return e
}

func finding(severity inspector.Severity, place, text string) types.GomegaMatcher {
	return And(HaveField("Severity", severity), HaveField("Place", place), HaveField("Text", ContainSubstring(text)))
}

var _ = Describe("Inspect", func() {
	It("finds nothing in a sound configuration", func() {
		settings := platform.Settings{RetryRatio: 0.2}
		Expect(inspector.Inspect(edited(), inspector.WithSettings(settings), inspector.WithLargestRequest(8000))).To(BeEmpty())
		Expect(inspector.Inspect(edited(`"version":7`, `"version":8`), inspector.WithVersionInForce(edited()))).To(BeEmpty())
	})

	DescribeTable("finds a planted fault, and nothing else, at its place",
		func(from, to string, severity inspector.Severity, place, text string) {
			found := inspector.Inspect(edited(from, to), inspector.WithLargestRequest(8000))
			Expect(found).To(ConsistOf(finding(severity, place, text)))
			Expect(found[0].Remedy).NotTo(BeEmpty())
			Expect(inspector.Worst(found)).To(Equal(severity))
			Expect(fmt.Sprint(found)).NotTo(ContainSubstring("key-"))
		},
		Entry("an unknown kind", `"kind":"idempotent"`, `"kind":"safe"`, inspector.Error, `routes[3] "help", kind`, `"safe" is unknown`),
		Entry("a prefix without a slash at its end", `"/chat/new/"`, `"/chat/new"`, inspector.Error, `routes[1] "chat-new", path-prefix`, "slash"),
		Entry("a prefix without a slash at its start", `"/chat/new/"`, `"chat/new/"`, inspector.Error, `routes[1] "chat-new", path-prefix`, "slash"),
		Entry("a route without a service", `"service":"forms","public":true`, `"public":true`, inspector.Error, `routes[3] "help", service`, "no service"),
		Entry("a name of two routes", `"name":"help"`, `"name":"chat"`, inspector.Error, `routes[3] "chat", name`, "routes[0] has the same name"),
		Entry("a name of two services", `{"name":"forms","max`, `{"name":"forms"},{"name":"forms","max`, inspector.Error, `services[3] "forms", name`, "services[2]"),
		Entry("a name of two models", `"name":"small"`, `"name":"base"`, inspector.Error, `services[0] "llm", models[1] "base", name`, "models[0]"),
		Entry("a name of two accounts", `{"name":"free"`, `{"name":"free","api-keys":["key-f2"]},{"name":"free"`, inspector.Error, `tenants, account 3 "free"`, "same name"),
		Entry("a key of two accounts", `"key-f1"`, `"key-f1","key-n1"`, inspector.Error, `tenants, accounts "north" and "free"`, "share a key"),
		Entry("an account whose field is of another type", `["key-f1"]`, `"key-f1"`, inspector.Error, `tenants, account 2 "free"`, "another type"),
		Entry("a negative time of a route", `"timeout-ms":2000,`, `"timeout-ms":-1,`, inspector.Error, `routes[2] "form", timeout-ms`, "negative"),
		Entry("a negative time of a model", `"load-s":5`, `"load-s":-5`, inspector.Error, `services[0] "llm", models[1] "small", load-s`, "negative"),
		Entry("a negative time to load from host memory", `"warm-s":1`, `"warm-s":-1`, inspector.Error, `services[0] "llm", models[0] "base", warm-s`, "negative"),
		Entry("a negative time to load from the disk", `"disk-s":4`, `"disk-s":-4`, inspector.Error, `services[0] "llm", models[0] "base", disk-s`, "negative"),
		Entry("a negative idle time", `"idle-timeout-ms":60000`, `"idle-timeout-ms":-1`, inspector.Error, "limits, idle-timeout-ms", "negative"),
		Entry("a negative time of the limits", `"header-timeout-ms":2000`, `"header-timeout-ms":-1`, inspector.Error, "limits, header-timeout-ms", "negative"),
		Entry("a negative header size", `16384`, `-1`, inspector.Error, "limits, max-header-bytes", "negative"),
		Entry("a negative body size", `1048576`, `-1`, inspector.Error, "limits, max-body-bytes", "negative"),
		Entry("a route that is hidden by one whose host has other letters", `"www.example"`, `"api.EXAMPLE"`, inspector.Warning, `routes[3] "help", path-prefix`, `routes[2] "form"`),
		Entry("a host with a port", `"www.example"`, `"www.example:80"`, inspector.Warning, `routes[3] "help", host`, "port"),
		Entry("a route without a host", `"host":"www.example",`, ``, inspector.Warning, `routes[3] "help", host`, "no request"),
		Entry("an engine without models", `"models":[{"name":"base","weights-mb":16000,"load-s":9}]`, `"models":[]`, inspector.Warning, `services[1] "llm-next", models`, "no models"),
		Entry("slots without adapters", `"adapters":6,`, ``, inspector.Note, `services[0] "llm", adapter-slots`, "none of its models"),
		Entry("a split without weight", `"service":"llm","weight":90`, `"service":"llm","weight":0`, inspector.Warning, `routes[1] "chat-new", traffic-split[0]`, "no requests"),
		Entry("a split of negative weight", `"service":"llm","weight":90`, `"service":"llm","weight":-9`, inspector.Warning, `routes[1] "chat-new", traffic-split[0]`, "no requests"),
		Entry("a split whose weight is cut", `"weight":90`, `"weight":90.5`, inspector.Warning, `routes[1] "chat-new", traffic-split[0]`, "counts as 90"),
		Entry("splits without any weight", `90},{"service":"llm-next","weight":10}`, `0},{"service":"llm","weight":0},{"service":"llm-next","weight":0}],"traffic-split":[{"service":"llm-next","weight":0.5}`,
			inspector.Warning, `routes[1] "chat-new", traffic-split`, `first service, "llm-next"`),
		Entry("a service without a route", `{"name":"forms","max`, `{"name":"spare"},{"name":"forms","max`, inspector.Warning, `services[2] "spare"`, "no route"),
		Entry("a service that isn't defined", `"service":"forms","public"`, `"service":"from","public"`, inspector.Error, `routes[3] "help", service`, `"from" is not defined`),
		Entry("a model that doesn't fit", `"weights-mb":9000`, `"weights-mb":49000`, inspector.Error, `services[0] "llm", models[1] "small", weights-mb`, "can't be loaded"),
		Entry("adapters that don't fit", `"adapter-mb":200`, `"adapter-mb":30000`, inspector.Error, `services[0] "llm", models[0] "base", adapter-mb`, "no adapter"),
		Entry("adapters without slots", `"adapter-slots":4`, `"adapter-slots":0`, inspector.Error, `services[0] "llm", adapter-slots`, "6 adapters"),
		Entry("places below models", `"weights-mb":9000`, `"weights-mb":39000`, inspector.Note, `services[0] "llm", weights-mb`, "at least 2 servers are needed to have all of them loaded; how many there are is not known"),
		Entry("a timeout below the objective", `"target-latency-ms":200`, `"target-latency-ms":2001`, inspector.Warning, `routes[2] "form", timeout-ms`, "2s, before their objective target-latency-ms of 2.001s"),
		Entry("a gap aim above the timeout", `"gap-aim-ms":300`, `"gap-aim-ms":30001`, inspector.Warning, `routes[0] "chat", gap-aim-ms`, "timeout of 30s"),
		Entry("a cap below a request that states nothing", `"plain-tokens":200`, `"plain-tokens":18001`, inspector.Warning, `tenants[0] "north", burst`, "below one request of 18001"),
		Entry("a cap below the largest request", `"burst":18000`, `"burst":7999`, inspector.Warning, `tenants[0] "north", burst`, "below one request of 8000"),
		Entry("a cap below one request", `"burst":40`, `"burst":0.5`, inspector.Warning, `tenants[1] "south", burst`, "below one request of 1"),
		Entry("a rate without a burst", `"burst":40`, `"burst":0`, inspector.Error, `tenants[1] "south", burst`, "every request is refused"),
		Entry("a burst without a rate", `"rate-per-s":20,`, ``, inspector.Warning, `tenants[1] "south", burst`, "no cap"),
		Entry("a cap in tokens that counts nothing", `"plain-tokens":200,`, ``, inspector.Warning, `tenants[0] "north", plain-tokens`, "not counted"),
		Entry("an account without keys", `["key-f1"]`, `[]`, inspector.Warning, `tenants[2] "free", api-keys`, "no key"),
		Entry("no limit of bodies", `"max-body-bytes":1048576,`, ``, inspector.Warning, "limits, max-body-bytes", "no limit"),
		Entry("an idle timeout below the header timeout", `"idle-timeout-ms":60000`, `"idle-timeout-ms":1999`, inspector.Warning, "limits, idle-timeout-ms", "1.999s is below"),
		Entry("a resumable route without streams", `"public":true`, `"public":true,"resumable":true`, inspector.Warning, `routes[3] "help", resumable`, "only streams"),
	)

	It("finds attempts that the retry budget of the settings does not allow", func() {
		Expect(inspector.Inspect(edited(), inspector.WithSettings(platform.Settings{RetrySlack: 5}))).To(ConsistOf(
			finding(inspector.Warning, `routes[0] "chat", max-attempts`, "2 attempts"),
			finding(inspector.Warning, `routes[1] "chat-new", max-attempts`, "at most 5 retries")))
	})

	It("finds a version that is not higher than the one in force", func() {
		Expect(inspector.Inspect(edited(), inspector.WithVersionInForce(edited()))).To(ConsistOf(finding(inspector.Error, "version", "7 is not higher than version 7")))
	})

	DescribeTable("says what differs from the version in force",
		func(from, to, place, text string) {
			found := inspector.Inspect(edited(`"version":7`, `"version":8`, from, to), inspector.WithVersionInForce(edited()))
			Expect(found).To(ContainElement(finding(inspector.Note, place, text)))
			Expect(fmt.Sprint(found)).NotTo(ContainSubstring("key-"))
		},
		Entry("a new route", `{"name":"help"`, `{"name":"more","service":"forms"},{"name":"help"`, `routes "more"`, "added"),
		Entry("a route that is gone", `"name":"help"`, `"name":"aid"`, `routes "help"`, "removed"),
		Entry("a route that moves", `"service":"forms","public"`, `"service":"llm","public"`, `routes "help", service`, `moved from "forms" to "llm"`),
		Entry("other weights", `"weight":10`, `"weight":30`, `routes "chat-new", service`, `to "llm" weight 90 and "llm-next" weight 30`),
		Entry("another time", `"timeout-ms":2000,`, `"timeout-ms":1500,`, `routes "form", timeout-ms`, "changed from 2s to 1.5s"),
		Entry("a route that becomes public", `"public":true`, `"public":false`, `routes "help", public`, "from true to false"),
		Entry("other keys", `"key-n1","key-n2"`, `"key-n3","key-n4","key-n2"`, `tenants "north", api-keys`, "2 added, 1 removed"),
		Entry("another cap", `"rate-per-s":20`, `"rate-per-s":10`, `tenants "south", rate-per-s`, "from 20 to 10"),
		Entry("another priority", `"priority":1,"unit"`, `"unit"`, `tenants "north", priority`, "from 1 to none"),
		Entry("an account that is gone", `"name":"free"`, `"name":"late"`, `tenants "free"`, "removed"),
		Entry("a new model", `"name":"small"`, `"name":"tiny"`, `services "llm", models "tiny"`, "added"),
		Entry("a model that is gone", `"name":"small"`, `"name":"tiny"`, `services "llm", models "small"`, "removed"),
		Entry("another size of a model", `"weights-mb":9000`, `"weights-mb":8000`, `services "llm", models "small", weights-mb`, "from 9000 to 8000"),
		Entry("another number of slots", `"slots":8,"kv`, `"slots":6,"kv`, `services "llm", slots`, "from 8 to 6"),
		Entry("another limit", `1048576`, `2048`, "limits, max-body-bytes", "from 1048576 to 2048"),
	)

	It("names each field that differs, and no other", func() {
		for _, c := range []struct{ from, to, place string }{
			{`"www.example"`, `"w.example"`, `routes "help", host`},
			{`"/chat/new/"`, `"/chat/newer/"`, `routes "chat-new", path-prefix`},
			{`"idempotent"`, `"non_idempotent"`, `routes "help", kind`},
			{`"priority":1,"service"`, `"priority":2,"service"`, `routes "chat", priority`},
			{`"max-attempts":2`, `"max-attempts":3`, `routes "chat", max-attempts`},
			{`"resumable":true`, `"resumable":false`, `routes "chat", resumable`},
			{`"max-connections":100`, `"max-connections":90`, `services "llm", max-connections`},
			{`60000,`, `50000,`, `services "llm", kv-capacity`},
			{`"weights-mb":40000`, `"weights-mb":50000`, `services "llm", weights-mb`},
			{`"adapter-slots":4`, `"adapter-slots":5`, `services "llm", adapter-slots`},
			{`"loads-per-s":2`, `"loads-per-s":3`, `services "llm", loads-per-s`},
			{`"adapter-mb":200`, `"adapter-mb":100`, `services "llm", models "base", adapter-mb`},
			{`"adapters":6`, `"adapters":7`, `services "llm", models "base", adapters`},
			{`"load-s":9`, `"load-s":8`, `services "llm", models "base", load-s`},
			{`"warm-s":1`, `"warm-s":2`, `services "llm", models "base", warm-s`},
			{`"disk-s":4`, `"disk-s":5`, `services "llm", models "base", disk-s`},
			{`"unit":"requests"`, `"unit":"tokens","plain-tokens":0`, `tenants "south", unit`},
			{`"plain-tokens":200`, `"plain-tokens":300`, `tenants "north", plain-tokens`},
			{`"burst":40`, `"burst":50`, `tenants "south", burst`},
			{`16384`, `8192`, `limits, max-header-bytes`},
			{`"header-timeout-ms":2000`, `"header-timeout-ms":3000`, `limits, header-timeout-ms`},
			{`"idle-timeout-ms":60000`, `"idle-timeout-ms":50000`, `limits, idle-timeout-ms`},
		} {
			var differences []inspector.Finding
			for _, f := range inspector.Inspect(edited(`"version":7`, `"version":8`, c.from, c.to), inspector.WithVersionInForce(edited())) {
				if f.Severity == inspector.Note {
					differences = append(differences, f)
				}
			}
			Expect(differences).To(ConsistOf(finding(inspector.Note, c.place, "changed from")))
		}
	})
})

var _ = DescribeTable("A configuration that can't be decoded has a line and a column and no value in its error",
	func(text string, line, column int, reason string) {
		_, err := platform.DecodeEntries([]byte(text))
		Expect(err).To(And(HaveField("Line", line), HaveField("Column", column), MatchError(ContainSubstring(reason)), Not(MatchError(ContainSubstring("key-")))))
	},
	Entry("a stray comma", "{\"version\":1,\n \"routes\":[,]}", 2, 12, "invalid character ','"),
	Entry("the end is missing", "{\"version\":1,\n\"tenants\":[{\"api-keys\":[\"key-1\"", 2, 31, "unexpected end"),
	Entry("an empty text", "", 1, 1, "unexpected end"),
	Entry("a field of another type", "{\n\"version\":\"key-1\"}", 2, 17, "field version"),
)
