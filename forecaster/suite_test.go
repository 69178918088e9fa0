package forecaster_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestForecaster(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Forecaster")
}
