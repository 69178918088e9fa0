package main_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	toml "github.com/pelletier/go-toml/v2"
)

var _ = Describe("deploy/system.toml", func() {
	var file struct {
		Build    string
		Packages []string
	}
	BeforeEach(func() {
		text, err := os.ReadFile("../../deploy/system.toml")
		Expect(err).NotTo(HaveOccurred())
		Expect(toml.Unmarshal(text, &file)).To(Succeed())
	})

	// Guards against a build that fails on a clean machine, which has no C compiler.
	It("names the packages that the build needs", func() {
		Expect(file.Packages).To(ContainElements("gcc", "libc6-dev", "ca-certificates"))
	})

	// Guards against a build that fails where git refuses the checkout, as it does if another
	// user owns it, where there is no home directory, or where cgo is switched off.
	It("builds in a checkout that git refuses, without a home directory", func() {
		cache, err := exec.Command("go", "env", "GOCACHE").Output()
		Expect(err).NotTo(HaveOccurred())
		dir, bin := GinkgoT().TempDir(), GinkgoT().TempDir()
		for path, content := range map[string]string{
			filepath.Join(dir, "go.mod"):                         "module primrosehook\n",
			filepath.Join(dir, "cmd", "primrosehook", "main.go"): "package main\n\nfunc main() {}\n",
			filepath.Join(dir, ".git", "HEAD"):                   "ref: refs/heads/main\n",
			filepath.Join(bin, "git"):                            "#!/bin/sh\necho 'fatal: detected dubious ownership' >&2\nexit 128\n",
		} {
			Expect(os.MkdirAll(filepath.Dir(path), 0o700)).To(Succeed())
			Expect(os.WriteFile(path, []byte(content), 0o700)).To(Succeed())
		}
		build := exec.Command("sh", "-c", file.Build)
		build.Dir = dir
		build.Env = []string{"PATH=" + bin + ":" + os.Getenv("PATH"), "GOENV=off", "CGO_ENABLED=0", "GOCACHE=" + strings.TrimSpace(string(cache))}
		output, err := build.CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), "%s", output)
		Expect(filepath.Join(dir, "target", "primrosehook")).To(BeARegularFile())
	})
})
