package headchecker_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestHeadchecker(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Headchecker")
}
