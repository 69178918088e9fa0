package configurer_test

import (
	"bytes"
	"errors"
	"flag"
	"io"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/configurer"
)

// load loads settings from flags and environment variables, as the serve command
// does.
func load(args []string, environ ...string) (configurer.Settings, error) {
	GinkgoHelper()
	for _, pair := range environ {
		name, text, _ := strings.Cut(pair, "=")
		GinkgoT().Setenv(name, text)
	}
	var s configurer.Settings
	f := flag.NewFlagSet("test", flag.ContinueOnError)
	f.SetOutput(io.Discard)
	all := configurer.Register(f, &s)
	Expect(f.Parse(args)).To(Succeed())
	err := configurer.Load(f, &s, all, environ)
	return s, err
}

var _ = Describe("settings", func() {
	It("have valid defaults", func() {
		s, err := load(nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Listen).To(Equal("127.0.0.1:8080"))
		Expect(s.Lease).To(Equal(6 * time.Second))
		Expect(s.RetryBudgetRatio).To(Equal(0.1))
	})

	It("are taken from flags in preference to the environment", func() {
		s, err := load([]string{"-zone", "ams-a"}, "PRIMROSEHOOK_ZONE=hlm-c", "PRIMROSEHOOK_WRITE_SHARDS=16")
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Zone).To(Equal("ams-a"))
		Expect(s.WriteShards).To(Equal(16))
	})

	It("are rejected with all invalid values at once", func() {
		_, err := load([]string{"-listen", "localhost:80", "-tries", "99", "-absence", "1s", "-trace", "otlp"},
			"PRIMROSEHOOK_STALL=soon", "PRIMROSEHOOK_LISTN=x")
		var faults configurer.InvalidSettings
		Expect(errors.As(err, &faults)).To(BeTrue())
		Expect(strings.Split(err.Error(), "\n")).To(ConsistOf(
			`-listen (PRIMROSEHOOK_LISTEN): "localhost:80" is not allowed; want IP:port with a port from 1 to 65535`,
			`-tries (PRIMROSEHOOK_TRIES): "99" is not allowed; want a whole number from 1 to 16`,
			`-stall (PRIMROSEHOOK_STALL): "soon" is not allowed; want a duration from 100ms to 10m0s`,
			`-trace-url (PRIMROSEHOOK_TRACE_URL): "" is not allowed; want the collector's URL, since -trace is otlp`,
			`-absence (PRIMROSEHOOK_ABSENCE): "1s" is not allowed; want at least -delay`,
			`-listn (PRIMROSEHOOK_LISTN): "x" is not allowed; want a known setting; see primrosehook help serve`,
		))
	})

	DescribeTable("are rejected", func(flags ...string) {
		_, err := load(flags)
		Expect(err).To(MatchError(ContainSubstring(flags[0] + " (PRIMROSEHOOK_")))
	},
		Entry(nil, "-operate", "127.0.0.1:8080"),
		Entry(nil, "-peer", "127.0.0.1:8081"),
		Entry(nil, "-listen", "127.0.0.1:0"),
		Entry(nil, "-log", "ftp://x"),
		Entry(nil, "-store", ""),
		Entry(nil, "-zone", "a b"),
		Entry(nil, "-zone", ""),
		Entry(nil, "-retry-share", "NaN"),
		Entry(nil, "-retry-share", "2"),
		Entry(nil, "-log-level", "loud"),
		Entry(nil, "-default-tokens", "40000"),
	)

	It("set the level and format of the log", func() {
		var out bytes.Buffer
		log, err := configurer.NewLog(configurer.Settings{Name: "e1", LogLevel: "warn", LogFormat: "json"}, &out)
		Expect(err).NotTo(HaveOccurred())
		log.Info("holder: hidden")
		log.Warn("holder: lease lost")
		Expect(out.String()).To(And(ContainSubstring(`"msg":"holder: lease lost","instance":"e1"`), Not(ContainSubstring("hidden"))))
	})
})
