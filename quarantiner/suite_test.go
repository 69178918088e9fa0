package quarantiner_test

import (
	"flag"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// TestMain fixes the seed of the property tests unless -rapid.seed is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("1")
	}
	os.Exit(m.Run())
}

func TestQuarantiner(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Quarantiner")
}
