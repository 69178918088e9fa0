package decayer_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestDecayer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Decayer")
}
