package reserver_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestReserver(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Reserver")
}
