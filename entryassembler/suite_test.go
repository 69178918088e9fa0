package entryassembler_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestEntryAssembler(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "EntryAssembler")
}
