package crowder_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCrowder(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Crowder")
}
