package faker_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"primrosehook/driver"
	"primrosehook/faker"
	"primrosehook/sender"
)

// BenchmarkGenerate measures the cost of a short answer of the stand-in, to
// subtract it from measurements of an entry instance.
func BenchmarkGenerate(b *testing.B) {
	settings := faker.DefaultEngine()
	settings.StepTime = 100 * time.Microsecond
	settings.StepTimePerRequest = 0
	settings.PrefillTimePerToken = 0
	settings.MaxRunning = 256
	fake := faker.NewEngine("e", settings)
	for n := range 4 {
		fake.Preload(driver.Weights{Model: fmt.Sprint("m", n)}, 100)
	}
	s := httptest.NewServer(fake.Handler())
	defer s.Close()
	client := driver.NewClient(strings.TrimPrefix(s.URL, "http://"), sender.NewClient())
	var id atomic.Int64
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			q := driver.Request{ID: fmt.Sprint(id.Add(1)), Weights: driver.Weights{Model: "m1"}, Prompt: "x", MaxTokens: 8}
			stream, err := client.Generate(context.Background(), q)
			if err != nil {
				b.Error(err)
				return
			}
			for {
				t, err := stream.Next()
				if err != nil {
					b.Error(err)
					return
				}
				if t.Finish != "" {
					break
				}
			}
			_ = stream.Close()
		}
	})
}
