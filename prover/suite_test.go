// Package prover_test tests with real processes that the system's invariants hold
// under failures. The package consists of tests only.
package prover_test

import (
	"context"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/launcher"
)

var programs launcher.Programs

var _ = BeforeSuite(func() {
	dir, err := os.MkdirTemp("", "prover")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(os.RemoveAll, dir)
	programs, err = launcher.Build(context.Background(), dir)
	Expect(err).NotTo(HaveOccurred())
})

func TestProver(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "prover")
}
