package reuser_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestReuser(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Reuser")
}
