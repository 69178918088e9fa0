package soaker_test

import (
	"context"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"primrosehook/auditor"
	"primrosehook/launcher"
	"primrosehook/soaker"
)

// play plays a soak and returns its record, results and page.
func play(ctx context.Context, o soaker.Options) (*auditor.Record, []auditor.Result, string) {
	o.Dir = GinkgoT().TempDir()
	log := zap.New(zapcore.NewCore(zapcore.NewConsoleEncoder(zap.NewDevelopmentEncoderConfig()), zapcore.AddSync(GinkgoWriter), zapcore.InfoLevel))
	record, err := soaker.Run(ctx, o, clockwork.NewRealClock(), log)
	Expect(err).NotTo(HaveOccurred())
	results := auditor.Audit(record, auditor.Checks())
	var page strings.Builder
	Expect(auditor.WritePage(&page, record, results)).To(Succeed())
	return record, results, page.String()
}

var _ = Describe("A soak", Ordered, ContinueOnFailure, func() {
	options := soaker.Options{Seed: 213, Length: 66 * time.Second, Instances: 6, Servers: 9, Rate: 40, Faults: soaker.Names(false)}
	var program string
	BeforeAll(func(ctx context.Context) {
		dir, err := os.MkdirTemp("", "soaker")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(os.RemoveAll, dir)
		programs, err := launcher.Build(ctx, dir)
		Expect(err).NotTo(HaveOccurred())
		program = programs.Primrosehook
	})

	// Guards against faults that only real processes show. SOAKER_SEED and SOAKER_FAULTS play others.
	It("of the current program keeps all promises", func(ctx context.Context) {
		o := options
		o.Program = program
		if text := os.Getenv("SOAKER_SEED"); text != "" {
			seed, err := strconv.ParseUint(text, 10, 64)
			Expect(err).NotTo(HaveOccurred())
			o.Seed = seed
		}
		if text := os.Getenv("SOAKER_FAULTS"); text != "" {
			o.Faults = strings.Split(text, ",")
		}
		record, results, page := play(ctx, o)
		AddReportEntry("page", page)
		Expect(auditor.Held(results)).To(BeTrue(), page)
		Expect(len(record.Faults)).To(BeNumerically(">=", 4))
	})

	// Guards against a soak that leaves processes behind when it is interrupted, and one that calls
	// their ends those of the system.
	It("that is interrupted ends its processes and returns what it saw so far", func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
		defer cancel()
		o := options
		o.Program = program
		record, results, page := play(ctx, o)
		Expect(record.Interrupted).To(BeTrue())
		Expect(record.Processes).To(HaveLen(o.Instances))
		Expect(auditor.Held(results)).To(BeTrue(), page)
		for _, p := range record.Processes {
			Expect(syscall.Kill(p.PID, 0)).To(MatchError(syscall.ESRCH))
		}
	})

	// Guards against processes that end by themselves unnoticed.
	It("sees that a program ends at each start", func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
		defer cancel()
		o := options
		o.Program = "/bin/false"
		_, results, page := play(ctx, o)
		Expect(results[0].Broken).NotTo(BeEmpty())
		Expect(page).To(ContainSubstring("ended by itself"))
		Expect(page).To(ContainSubstring("exit status 1"))
	})

	DescribeTable("is not begun with bad input", func(change func(*soaker.Options), text string) {
		o := options
		o.Program = program
		change(&o)
		record, err := soaker.Run(context.Background(), o, clockwork.NewRealClock(), zap.NewNop())
		Expect(record).To(BeNil())
		Expect(err).To(MatchError(ContainSubstring(text)))
	},
		Entry("an unknown fault", func(o *soaker.Options) { o.Faults = []string{"flood"} }, `no fault "flood"`),
		Entry("too few instances", func(o *soaker.Options) { o.Instances = 2 }, "3 to 90 instances"),
		Entry("no program", func(o *soaker.Options) { o.Program = "/none" }, "is no program"),
	)
})
