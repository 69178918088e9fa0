package detourer_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestDetourer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Detourer")
}
