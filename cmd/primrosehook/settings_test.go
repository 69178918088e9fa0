package main_test

import (
	"net/http"
	"os"
	"regexp"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
)

var _ = Describe("An instance whose settings name no bounds", func() {
	// Guards against an exit with code 2 at every start where the part of the rules that has a
	// bound is not in force.
	It("serves, and logs what it assumes", func() {
		p := newEntryProcess()
		_, store := newConfiguredStore()
		path := writeSettings(store, p)
		text, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		text = regexp.MustCompile(`(?s)\[bounds\].*\[platform\]`).ReplaceAll(text, []byte("[platform]"))
		Expect(os.WriteFile(path, text, 0o600)).To(Succeed())
		s := start(hookPath, "entry", "-settings", path)
		Eventually(s.Out, "10s").Should(gbytes.Say("entry: settings are missing.*Drain=1s"))
		Eventually(func() int { return p.ask("kept") }, "15s", "50ms").Should(Equal(http.StatusOK))
	})
})
