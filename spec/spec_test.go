// Package spec_test runs the model checker Spin on the specifications in this folder.
package spec_test

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSpec(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "spec")
}

const (
	// checkTimeout limits the time of one check, including the build of the checker.
	checkTimeout = 10 * time.Minute
	// memoryLimitMB limits the memory of one run, in MB.
	memoryLimitMB = "4000"
)

var (
	errorCount = regexp.MustCompile(`errors: (\d+)`)
	stateCount = regexp.MustCompile(`(\S+) states, stored`)
)

// check translates a specification, builds its checker and runs it. The argument
// optimise is an option of gcc: -O0 suits mutants, which are refuted so soon that the
// time of the build matters more.
func check(ctx context.Context, optimise, file string, defines ...string) (errors, states, out string) {
	if _, err := exec.LookPath("spin"); err != nil {
		Skip("spin is not installed")
	}
	source, err := filepath.Abs(file)
	Expect(err).NotTo(HaveOccurred())
	dir := GinkgoT().TempDir()
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	run := func(program string, args ...string) string {
		c := exec.CommandContext(ctx, program, args...)
		c.Dir = dir
		data, err := c.CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), string(data))
		return string(data)
	}
	run("spin", append(defines, "-a", source)...)
	// State vectors are stored in full (COLLAPSE compresses them without loss), not as
	// hashes: a run that ends without an error has visited every state.
	run("gcc", "-w", optimise, "-DSAFETY", "-DCOLLAPSE", "-DMEMLIM="+memoryLimitMB, "-o", "pan", "pan.c")
	start := time.Now()
	out = run("./pan", "-E", "-m2000000")
	took := time.Since(start)
	errors = submatch(errorCount, out)
	states = submatch(stateCount, out)
	GinkgoWriter.Printf("%s %v: %s states, %s errors, %s\n", file, defines, states, errors, took.Round(time.Millisecond))
	return errors, states, out
}

// submatch returns the first group of a match, or "" without a match.
func submatch(r *regexp.Regexp, text string) string {
	m := r.FindStringSubmatch(text)
	if m == nil {
		return ""
	}
	return m[1]
}

// expectHolds expects that the checker visits every state and finds no error.
// Specifications with large bounds are skipped unless SPEC=large is set.
func expectHolds(large bool, file string, defines ...string) {
	if large && os.Getenv("SPEC") != "large" {
		Skip("larger bounds run with SPEC=large")
	}
	errors, _, out := check(context.Background(), "-O2", file, defines...)
	Expect(errors).To(Equal("0"), out)
	Expect(out).NotTo(ContainSubstring("Search not completed"), "the search hit a limit")
	Expect(out).NotTo(ContainSubstring("max search depth too small"), "the search hit a limit")
}

// expectRefuted expects that the checker finds an assertion that a mutant violates.
func expectRefuted(file string, defines ...string) {
	errors, _, out := check(context.Background(), "-O0", file, defines...)
	Expect(errors).NotTo(Equal("0"), "the checker must refute the mutant")
	Expect(out).To(ContainSubstring("assertion violated"))
}

var _ = DescribeTable("A specification holds", expectHolds,
	Entry("two orders, engine ignores fencing tokens", false, "orders.pml", "-DN=2", "-DCAP=1", "-DFAULTS=2"),
	Entry("two orders, engine rejects old fencing tokens", false, "orders.pml", "-DN=2", "-DCAP=1", "-DFAULTS=2", "-DFENCES=1"),
	Entry("three orders, engine ignores fencing tokens", true, "orders.pml", "-DCAP=1"),
	Entry("three orders, engine rejects old fencing tokens", true, "orders.pml", "-DCAP=1", "-DFENCES=1"),
	Entry("three orders, engine rejects duplicate order ids", true, "orders.pml", "-DCAP=1", "-DREMEMBERS=1"),
	Entry("writes, two attempts", false, "writes.pml", "-DT=2"),
	Entry("writes, three attempts", true, "writes.pml", "-DT=3"),
	Entry("rule lists, log of three entries", false, "rules.pml", "-DL=3"),
	Entry("rule lists, log of four entries", true, "rules.pml", "-DL=4"),
)

var _ = DescribeTable("A mutant of orders is refuted", func(defines ...string) { expectRefuted("orders.pml", defines...) },
	Entry("a new lease holder ignores orders under older tokens", "-DMUTANT_COUNT"),
	Entry("every engine is assumed to check fencing tokens", "-DMUTANT_TRUST"),
	Entry("an order is sent before its intent is confirmed", "-DCAP=1", "-DMUTANT_CONFIRM"),
	Entry("an outdated engine report is accepted", "-DCAP=1", "-DCLAIMS=3", "-DMUTANT_BASIS"),
	Entry("an executed order is assumed to have no duplicate", "-DCAP=1", "-DMUTANT_ECHO"),
	Entry("a restart of the engine is assumed to end all orders", "-DCAP=1", "-DMUTANT_RESTART"),
	Entry("the same for an engine that rejects old fencing tokens", "-DCAP=1", "-DFENCES=1", "-DMUTANT_RESTART"),
	Entry("the memory needed if a restarted engine runs orders again is not counted", "-DCAP=1", "-DFENCES=1", "-DMUTANT_AGAIN"),
	Entry("an order is closed with its message in transit", "-DCAP=1", "-DMUTANT_DELAY"),
	Entry("a lease is taken over before it expires", "-DCAP=1", "-DMUTANT_LEASE"),
)

var _ = DescribeTable("A mutant of writes is refuted", func(defines ...string) { expectRefuted("writes.pml", defines...) },
	Entry("a write is sent before its claim is read back", "-DMUTANT_EARLY"),
	Entry("a write with a lost answer is assumed not to have run", "-DMUTANT_RESEND"),
	Entry("a write is sent again after its claimant crashed", "-DMUTANT_TAKEOVER"),
	Entry("the last claim wins rather than the first", "-DMUTANT_LAST"),
	Entry("a withdrawal releases the claim of another attempt", "-DMUTANT_WITHDRAW"),
	Entry("keys are free again right after a reset", "-DT=2", "-DMUTANT_RESET"),
)

var _ = DescribeTable("A mutant of rules is refuted", func(defines ...string) { expectRefuted("rules.pml", defines...) },
	Entry("a publish replaces a version that is not in force", "-DL=4", "-DMUTANT_BASE"),
	Entry("a snapshot is used though log entries after it are missing", "-DL=4", "-DMUTANT_SNAPSHOT"),
	Entry("the state is assumed complete though log entries were lost", "-DL=4", "-DMUTANT_START"),
	Entry("an instance applies an older list of a peer", "-DL=4", "-DMUTANT_REVERT"),
)
