package exposer_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestExposer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Exposer")
}
