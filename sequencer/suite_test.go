package sequencer_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSequencer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Sequencer")
}
