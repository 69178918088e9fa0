package exporter_test

import (
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/exporter"
)

var _ = Describe("Set", func() {
	It("serves counters, values and quantiles as sorted text", func() {
		s := exporter.New()
		s.Add("b_count", 2)
		s.Gauge("a_now", func() int64 { return 7 })
		for i := range 100 {
			s.Observe("c_ms", time.Duration(i+1)*time.Millisecond)
		}
		w := httptest.NewRecorder()
		s.ServeHTTP(w, nil)
		Expect(w.Body.String()).To(MatchRegexp(`^a_now 7\nb_count 2\nc_ms_count 100\nc_ms\{quantile="0.5"\} (49|50|51)\.\d\n` +
			`c_ms\{quantile="0.95"\} 9[456]\.\d\nc_ms\{quantile="0.99"\} (98|99|100)\.\d\n$`))
		Expect(s.Names()).To(Equal([]string{"a_now", "b_count", "c_ms"}))
	})

	It("accepts latencies outside the range of its histograms", func() {
		s := exporter.New()
		s.Observe("c_ms", -time.Second)
		s.Observe("c_ms", time.Hour)
		Expect(s.Names()).To(HaveLen(1))
	})
})
