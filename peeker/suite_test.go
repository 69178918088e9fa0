package peeker_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestPeeker(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Peeker")
}
