package stocker_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestStocker(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Stocker")
}
