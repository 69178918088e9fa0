package throttler_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestThrottler(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Throttler")
}
