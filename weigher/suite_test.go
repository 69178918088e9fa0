package weigher_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestWeigher(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Weigher")
}
