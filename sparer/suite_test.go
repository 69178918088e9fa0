package sparer_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSparer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Sparer")
}
