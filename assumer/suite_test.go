package assumer_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestAssumer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Assumer")
}
