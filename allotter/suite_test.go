package allotter_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestAllotter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Allotter")
}
