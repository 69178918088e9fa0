package sender_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"primrosehook/sender"
)

// BenchmarkDo compares a small POST sent by Do with one sent by the client
// alone, in one run.
func BenchmarkDo(b *testing.B) {
	s := httptest.NewServer(&upstream{})
	defer s.Close()
	client := sender.NewClient()
	for _, c := range []struct {
		name string
		send func(*http.Request) (*http.Response, error)
	}{
		{"client", client.Do},
		{"sender", func(q *http.Request) (*http.Response, error) { return sender.Do(client, q, "up", "lost") }},
	} {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				q, err := http.NewRequest(http.MethodPost, s.URL, bytes.NewReader([]byte("x")))
				if err != nil {
					b.Fatal(err)
				}
				p, err := c.send(q)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, p.Body)
				p.Body.Close()
			}
		})
	}
}
