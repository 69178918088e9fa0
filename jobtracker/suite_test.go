package jobtracker_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestJobtracker(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "jobtracker")
}
