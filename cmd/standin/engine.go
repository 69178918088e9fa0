package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"

	"primrosehook/driver"
	"primrosehook/faker"
	"primrosehook/lister"
)

const journalMode = 0o600

// memberFlags are the flags that engines and services share: the addresses and the
// entries on the instance list of the members of one process.
type memberFlags struct {
	listen string
	count  int
	list   string
	pool   string
	region string
	zones  string
	// journal is the path of a file to which each run and violation is appended, so
	// that they outlive the process; empty for none.
	journal string
}

func (p *memberFlags) setFlags(f *flag.FlagSet, listen string) {
	f.StringVar(&p.listen, "listen", listen, "address of the first; the others have the ports after it")
	f.IntVar(&p.count, "count", 1, "how many to run in this process")
	f.StringVar(&p.list, "list", "http://127.0.0.1:7000", "URL of the instance list")
	f.StringVar(&p.pool, "pool", "", "pool of the instance list")
	f.StringVar(&p.region, "region", "local", "region")
	f.StringVar(&p.zones, "zone", "a", "zones to spread over, with commas")
	f.StringVar(&p.journal, "journal", "", "file to add each run and violation to; empty for none")
}

// options returns the options that all members of the process share.
func (p *memberFlags) options() ([]faker.Option, error) {
	set := []faker.Option{faker.WithCrash(crash)}
	if p.journal == "" {
		return set, nil
	}
	// With O_APPEND, lines of processes that share the file don't overwrite each
	// other.
	f, err := os.OpenFile(p.journal, os.O_APPEND|os.O_CREATE|os.O_WRONLY, journalMode)
	if err != nil {
		return nil, err
	}
	return append(set, faker.WithJournal(f)), nil
}

// run creates the members and runs them until ctx is canceled.
func (p *memberFlags) run(ctx context.Context, build func(n int) (member, error)) subcommands.ExitStatus {
	var members []member
	for n := range p.count {
		m, err := build(n)
		if err != nil {
			return fail(err)
		}
		members = append(members, m)
	}
	if err := runMembers(ctx, p.list, members); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}

// instance returns the entry of the n-th member on the instance list. The name
// contains the process id, which makes it unique to this incarnation.
func (p *memberFlags) instance(kind, addr string, n int) lister.Instance {
	zones := strings.Split(p.zones, ",")
	return lister.Instance{
		Name: fmt.Sprintf("%s-%s-%d", kind, addr, os.Getpid()),
		Kind: kind, Pool: p.pool, Region: p.region, Zone: zones[n%len(zones)],
		Addr: addr, State: lister.StateLive,
	}
}

// engine is the subcommand that runs model engines and puts them on the instance
// list.
type engine struct {
	memberFlags
	store    string
	models   string
	memory   int64
	settings faker.EngineSettings
	faults   faker.EngineFaults
}

func (*engine) Name() string     { return "engine" }
func (*engine) Synopsis() string { return "run model engines" }
func (*engine) Usage() string    { return "engine [-listen IP:PORT] [-list URL] [flags]\n\n" }

func (e *engine) SetFlags(f *flag.FlagSet) {
	e.settings = faker.DefaultEngine()
	e.setFlags(f, "127.0.0.1:7100")
	f.StringVar(&e.store, "store", "", "URL of the weight store; empty loads at once")
	f.StringVar(&e.models, "model", "tiny", "weights resident from the start, as MODEL[+ADAPTER][@VERSION], with commas")
	f.Int64Var(&e.memory, "model-memory", 1000, "memory of each of them, in MB")
	f.Int64Var(&e.settings.TotalMB, "total", e.settings.TotalMB, "accelerator memory in MB")
	f.Int64Var(&e.settings.ReserveMB, "reserve", e.settings.ReserveMB, "part of it for requests in flight and caches, in MB")
	f.IntVar(&e.settings.MaxRunning, "batch", e.settings.MaxRunning, "requests that run at once")
	f.DurationVar(&e.settings.StepTime, "step", e.settings.StepTime, "time of a step that gives each running request a token")
	f.DurationVar(&e.settings.PrefillTimePerToken, "prefill", e.settings.PrefillTimePerToken, "time of one uncached prompt token")
	f.DurationVar(&e.settings.ResumeTimeout, "keep", e.settings.ResumeTimeout, "how long a cut stream can be resumed")
	f.BoolVar(&e.settings.ChecksFence, "fences", true, "refuse orders with an old fencing number")
	f.BoolVar(&e.settings.DeduplicatesOrders, "remembers", true, "run an order id at most once")
	f.StringVar(&e.faults.Poison, "poison", "", "text in a prompt that crashes the process")
	f.DurationVar(&e.faults.ReportLag, "report-lag", 0, "how old reports are")
	f.DurationVar(&e.faults.EventLag, "event-lag", 0, "how late cache events come")
	f.IntVar(&e.faults.DropEveryNthEvent, "event-gap", 0, "every how many cache events one is lost; 0 for none")
	setFromEnvironment(f)
}

func (e *engine) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return e.run(ctx, e.member)
}

func (e *engine) member(n int) (member, error) {
	addr, err := address(e.listen, n)
	if err != nil {
		return member{}, err
	}
	set, err := e.options()
	if err != nil {
		return member{}, err
	}
	if e.store != "" {
		set = append(set, faker.WithSource(faker.NewStoreClient(e.store, http.DefaultClient)))
	}
	i := e.instance(lister.KindEngine, addr, n)
	i.SupportsFencing = e.settings.ChecksFence
	fake := faker.NewEngine(i.Name, e.settings, set...)
	fake.SetFaults(e.faults)
	for _, text := range strings.FieldsFunc(e.models, isComma) {
		fake.Preload(parseWeights(text), e.memory)
	}
	return memberOf(addr, i, fake, func(f *faker.EngineFaults) *bool { return &f.Leaving }), nil
}

// parseWeights parses "model" or "model+adapter", either with an optional
// "@version".
func parseWeights(text string) driver.Weights {
	name, version, _ := strings.Cut(text, "@")
	model, adapter, _ := strings.Cut(name, "+")
	return driver.Weights{Model: model, Adapter: adapter, Version: version}
}

// withState returns the instance, marked as leaving if it is.
func withState(i lister.Instance, leaving bool) lister.Instance {
	if leaving {
		i.State = lister.StateLeaving
	}
	return i
}

func isComma(r rune) bool { return r == ',' }

func crash() { os.Exit(statusCrash) }

// service is the subcommand that runs plain services and puts them on the instance
// list.
type service struct {
	memberFlags
	settings faker.ServiceSettings
}

func (*service) Name() string     { return "service" }
func (*service) Synopsis() string { return "run plain services" }
func (*service) Usage() string    { return "service [-listen IP:PORT] [-list URL] [flags]\n\n" }

func (s *service) SetFlags(f *flag.FlagSet) {
	s.setFlags(f, "127.0.0.1:7200")
	f.DurationVar(&s.settings.CallTime, "time", 2*time.Millisecond, "time of a call")
	f.IntVar(&s.settings.Slots, "slots", 64, "calls that run at once; 0 for no limit")
	f.BoolVar(&s.settings.RefusesRepeatedKeys, "refuses", false, "refuse an idempotency key that has run")
	setFromEnvironment(f)
}

func (s *service) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return s.run(ctx, s.member)
}

func (s *service) member(n int) (member, error) {
	addr, err := address(s.listen, n)
	if err != nil {
		return member{}, err
	}
	i := s.instance(lister.KindService, addr, n)
	set, err := s.options()
	if err != nil {
		return member{}, err
	}
	fake := faker.NewService(i.Name, s.settings, set...)
	return memberOf(addr, i, fake, func(f *faker.ServiceFaults) *bool { return &f.Leaving }), nil
}

// fakeServer is a stand-in whose injected faults are of type F.
type fakeServer[F any] interface {
	Handler() http.Handler
	Faults() F
	SetFaults(f F)
}

// memberOf returns a stand-in as a member. The function leaving returns a pointer to
// the field of its faults that marks it as leaving.
func memberOf[F any](addr string, i lister.Instance, fake fakeServer[F], leaving func(*F) *bool) member {
	return member{
		addr:    addr,
		handler: fake.Handler(),
		instance: func() lister.Instance {
			f := fake.Faults()
			return withState(i, *leaving(&f))
		},
		leave: func() {
			f := fake.Faults()
			*leaving(&f) = true
			fake.SetFaults(f)
		},
	}
}
