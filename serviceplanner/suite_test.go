package serviceplanner_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestServiceplanner(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Serviceplanner")
}
