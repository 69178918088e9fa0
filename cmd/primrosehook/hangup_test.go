package main_test

import (
	"fmt"
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
)

// statusField returns a field of a process's status file.
func statusField(status []byte, name string, base int) uint64 {
	GinkgoHelper()
	m := regexp.MustCompile(name + `:\s+([0-9a-f]+)`).FindSubmatch(status)
	Expect(m).NotTo(BeNil(), "%s", status)
	n, err := strconv.ParseUint(string(m[1]), base, 64)
	Expect(err).NotTo(HaveOccurred())
	return n
}

var _ = Describe("A process that has just started", func() {
	// Guards against a SIGHUP in the first milliseconds that ends the process: the signal must be
	// ignored by the time that Go's runtime has a second thread, before packages are initialized.
	It("ignores SIGHUP from before its Go code runs", func() {
		for range 10 {
			c := exec.Command(hookPath, "serve", "-listen", freeAddr(), "-operate", freeAddr(), "-peer", freeAddr())
			Expect(c.Start()).To(Succeed())
			var status []byte
			for start := time.Now(); time.Since(start) < 10*time.Second; {
				var err error
				status, err = os.ReadFile(fmt.Sprintf("/proc/%d/status", c.Process.Pid))
				Expect(err).NotTo(HaveOccurred())
				if statusField(status, "Threads", 10) > 1 {
					break
				}
			}
			Expect(c.Process.Kill()).To(Succeed())
			_ = c.Wait()
			Expect(statusField(status, "SigIgn", 16)&1).To(Equal(uint64(1)), "%s", status)
		}
	})

	It("reads its settings again at SIGHUP once it serves", func() {
		p := newEntryProcess()
		_, store := newConfiguredStore()
		s := start(hookPath, "entry", "-settings", writeSettings(store, p))
		Eventually(s.Out, "10s").Should(gbytes.Say("entry: started"))
		s.Signal(syscall.SIGHUP)
		Eventually(s.Out, "5s").Should(gbytes.Say("entry: settings read again"))
	})
})
