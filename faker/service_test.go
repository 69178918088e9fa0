package faker_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/faker"
	"primrosehook/judge"
)

var _ = Describe("Service", func() {
	var fake *faker.Service
	var url string

	start := func(settings faker.ServiceSettings) {
		fake = faker.NewService("s", settings)
		s := httptest.NewServer(fake.Handler())
		DeferCleanup(s.Close)
		url = s.URL
	}
	// call returns the status, header and body, or status 0 if the connection
	// was closed.
	call := func(method, path, key string) (int, http.Header, string) {
		q, _ := http.NewRequest(method, url+path, strings.NewReader("body"))
		q.Header.Set(faker.KeyHeader, key)
		q.GetBody = nil
		p, err := http.DefaultClient.Do(q)
		if err != nil {
			return 0, nil, ""
		}
		defer p.Body.Close()
		body, _ := io.ReadAll(p.Body)
		return p.StatusCode, p.Header, string(body)
	}

	It("returns forms and confirmations, and counts writes by key", func() {
		start(faker.ServiceSettings{})
		status, _, form := call(http.MethodGet, "/forms/7", "")
		Expect(status).To(Equal(http.StatusOK))
		Expect(form).To(ContainSubstring("/forms/7"))
		for range 2 {
			status, _, _ = call(http.MethodPost, "/receipts", "k")
			Expect(status).To(Equal(http.StatusCreated))
		}
		Expect(fake.Runs()["k"].Count).To(Equal(2))
		_, _, confirmation := call(http.MethodGet, "/confirmations/k", "")
		Expect(confirmation).To(ContainSubstring(`"count":2`))
		status, _, _ = call(http.MethodGet, "/confirmations/none", "")
		Expect(status).To(Equal(http.StatusNotFound))
	})

	It("refuses a repeated key if configured to", func() {
		start(faker.ServiceSettings{RefusesRepeatedKeys: true})
		call(http.MethodPut, "/bookings/1", "k")
		status, header, _ := call(http.MethodPut, "/bookings/1", "k")
		Expect(status).To(Equal(http.StatusConflict))
		Expect(header.Get(judge.Header)).To(Equal(judge.Ran.String()))
		Expect(fake.Runs()["k"].Count).To(Equal(1))
	})

	It("loses the reply or crashes after the effect", func() {
		start(faker.ServiceSettings{})
		fake.SetFaults(faker.ServiceFaults{Faults: faker.Faults{LoseReplies: 1}})
		status, _, _ := call(http.MethodPost, "/receipts", "a")
		Expect(status).To(BeZero())
		fake.SetFaults(faker.ServiceFaults{CrashCalls: 1})
		status, _, _ = call(http.MethodPost, "/receipts", "b")
		Expect(status).To(BeZero())
		Expect(fake.Runs()["a"].Count).To(Equal(1))
		Expect(fake.Runs()["b"].Count).To(Equal(1))
	})

	It("refuses new calls while leaving, with the verdict not-run", func() {
		start(faker.ServiceSettings{})
		Expect(putFaults(url+"/faults", `{"leaving":true}`)).To(Equal(http.StatusNoContent))
		status, header, _ := call(http.MethodPost, "/receipts", "a")
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		Expect(header.Get(judge.Header)).To(Equal(judge.NotRun.String()))
		Expect(fake.Runs()).To(BeEmpty())
		_, _, refused := call(http.MethodGet, "/refused", "")
		Expect(refused).To(ContainSubstring(`"count":1`))
	})

	It("reports its load", func() {
		start(faker.ServiceSettings{Slots: 5})
		_, _, load := call(http.MethodGet, "/load", "")
		Expect(load).To(MatchJSON(`{"running":0,"waiting":0,"slots":5}`))
	})
})
