package main_test

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"

	"primrosehook/inspector"
)

const configuration = `{"version":4,"services":[{"name":"api"}],"tenants":[{"name":"a","api-keys":["secret-1"]}],
"routes":[{"name":"form","host":"h","path-prefix":"/form/","kind":"idempotent","timeout-ms":2000,"service":"api","max-attempts":2}],
"limits":{"max-body-bytes":65536}}`

var _ = Describe("check of a configuration", func() {
	edited := func(from, to string) string {
		GinkgoHelper()
		Expect(configuration).To(ContainSubstring(from))
		return writeTempFile(strings.Replace(configuration, from, to, 1))
	}

	It("exits with 0 for no findings and for notes only", func() {
		Expect(runCommand(0, "check", "-routes", writeTempFile(configuration)).Out).To(gbytes.Say("version 4 is good: 1 services"))
		s := runCommand(0, "check", "-routes", edited(`"secret-1"`, `"secret-2"`), "-against", edited(`"version":4`, `"version":3`))
		Expect(s.Out).To(gbytes.Say(`note: tenants "a", api-keys: 1 added, 1 removed`))
		Expect(string(s.Out.Contents())).NotTo(ContainSubstring("secret"))
	})

	It("exits with 1 for warnings, also those from the settings", func() {
		Expect(runCommand(1, "check", "-routes", edited(`"max-body-bytes":65536`, ``)).Out).To(gbytes.Say("warning: limits, max-body-bytes"))
		s := strings.Replace(fmt.Sprintf(settings, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4"), "retry-budget-ratio = 0.2", "retry-budget-ratio = 0", 1)
		Expect(runCommand(1, "check", "-routes", writeTempFile(configuration), "-platform", writeTempFile(s)).Out).To(gbytes.Say(`warning: routes\[0\] "form", max-attempts`))
	})

	It("exits with 2 for errors and names their places", func() {
		Expect(runCommand(2, "check", "-routes", edited("/form/", "/form")).Out).To(gbytes.Say(`error: routes\[0\] "form", path-prefix`))
		Expect(runCommand(2, "check", "-routes", edited(`"limits":`, `"limits"`)).Out).To(gbytes.Say(`error: .*rules.yaml:3:9: invalid character`))
		Expect(runCommand(2, "check", "-routes", writeTempFile(configuration), "-against", writeTempFile(configuration)).Out).To(gbytes.Say("error: version: 4 is not higher"))
		Expect(runCommand(2, "check", "-routes", writeTempFile(configuration), "-platform", writeTempFile(`node = "n"`)).Out).To(gbytes.Say("error: settings .*: settings lack"))
		Expect(runCommand(2, "check", "-json").Err).To(gbytes.Say("need -routes"))
	})

	It("exits with 3 if a file can't be read", func() {
		absent, present := filepath.Join(GinkgoT().TempDir(), "absent"), writeTempFile(configuration)
		for _, args := range [][]string{{"-routes", absent}, {"-routes", present, "-against", absent}, {"-routes", present, "-platform", absent}} {
			Expect(runCommand(3, append([]string{"check"}, args...)...).Err).To(gbytes.Say("no such file"))
		}
	})

	It("prints findings as JSON, without keys", func() {
		s := runCommand(1, "check", "-json", "-largest-request", "10", "-routes", edited(`["secret-1"]`, `["secret-1"],"unit":"tokens","plain-tokens":1,"rate-per-s":9,"burst":9`))
		var findings []inspector.Finding
		Expect(json.Unmarshal(s.Out.Contents(), &findings)).To(Succeed())
		Expect(findings).To(ConsistOf(And(HaveField("Severity", inspector.Warning), HaveField("Place", `tenants[0] "a", burst`))))
		Expect(string(s.Out.Contents())).NotTo(ContainSubstring("secret"))
		Expect(string(runCommand(0, "check", "-json", "-routes", writeTempFile(configuration)).Out.Contents())).To(Equal("[]\n"))
	})
})
