package lister_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/judge"
	"primrosehook/lister"
	"primrosehook/sender"
)

// fixedHandler gives a fixed answer and keeps the path of the last request.
type fixedHandler struct {
	status int
	body   string
	path   string
}

func (f *fixedHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.path = r.URL.EscapedPath()
	w.WriteHeader(f.status)
	_, _ = io.WriteString(w, f.body)
}

// Package faker tests the faults of a complete instance list.
var _ = Describe("Client", func() {
	start := func(f *fixedHandler) *lister.Client {
		s := httptest.NewServer(f)
		DeferCleanup(s.Close)
		return lister.NewClient(s.URL, sender.NewClient())
	}

	It("reads the list", func(ctx context.Context) {
		all, err := start(&fixedHandler{status: http.StatusOK, body: `{"instances":[{"name":"a","kind":"engine","fences":true}]}`}).Instances(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(all).To(Equal([]lister.Instance{{Name: "a", Kind: lister.KindEngine, SupportsFencing: true}}))
	})

	DescribeTable("fails", func(ctx context.Context, f *fixedHandler) {
		_, err := start(f).Instances(ctx)
		Expect(err).To(HaveOccurred())
		Expect(judge.Of(err)).To(Equal(judge.MayHaveRun))
	},
		Entry("on an internal error", &fixedHandler{status: http.StatusInternalServerError}),
		Entry("on a body that is not a list", &fixedHandler{status: http.StatusOK, body: "<html>"}),
	)

	It("escapes the name of an instance", func(ctx context.Context) {
		f := &fixedHandler{status: http.StatusNoContent}
		Expect(start(f).Announce(ctx, lister.Instance{Name: "a/b"})).To(Succeed())
		Expect(f.path).To(Equal("/instances/a%2Fb"))
	})

	It("returns verdict not run if the list service does not listen", func(ctx context.Context) {
		s := httptest.NewServer(&fixedHandler{})
		s.Close()
		err := lister.NewClient(s.URL, sender.NewClient()).Announce(ctx, lister.Instance{Name: "a"})
		Expect(judge.Of(err)).To(Equal(judge.NotRun))
	})
})
