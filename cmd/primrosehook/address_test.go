package main_test

import (
	"net"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"github.com/onsi/gomega/gexec"
)

var _ = Describe("An instance whose address can't be opened yet", func() {
	// Guards against an exit, and a restart by the platform, while an earlier process still has the port.
	It("serves once the port is free", func() {
		p := newEntryProcess()
		taken, err := net.Listen("tcp", p.front)
		Expect(err).NotTo(HaveOccurred())
		_, store := newConfiguredStore()
		s := start(hookPath, "entry", "-settings", writeSettings(store, p))
		Eventually(s.Out, "10s").Should(gbytes.Say("listen: address can't be opened yet.*address already in use"))
		Expect(s.ExitCode()).To(Equal(-1))
		Expect(taken.Close()).To(Succeed())
		Eventually(func() int { return p.ask("kept") }, "10s", "50ms").Should(Equal(http.StatusOK))
		Expect(s.Out.Contents()).NotTo(ContainSubstring("entry: failed"))
	})

	// Guards against an exit while the machine does not have the address yet, and against a stop that
	// waits for it.
	It("ends with code 0 when it is asked to stop", func() {
		p := newEntryProcess()
		p.front = "192.0.2.1:7000"
		_, store := newConfiguredStore()
		s := start(hookPath, "entry", "-settings", writeSettings(store, p))
		Eventually(s.Out, "10s").Should(gbytes.Say("listen: address can't be opened yet.*cannot assign requested address"))
		Eventually(s.Terminate(), "3s").Should(gexec.Exit(0))
	})
})
