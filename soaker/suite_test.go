package soaker_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSoaker(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Soaker")
}
