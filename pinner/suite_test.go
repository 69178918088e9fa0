package pinner_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestPinner(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Pinner")
}
