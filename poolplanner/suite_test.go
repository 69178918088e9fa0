package poolplanner_test

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Uses a fixed rapid seed by default, so that runs are reproducible.
var _ = flag.Set("rapid.seed", "1")

func TestPlacer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Poolplanner")
}
