package main

import (
	"context"
	"flag"
	"net/http"
	"time"

	"github.com/google/subcommands"

	"primrosehook/faker"
)

// platform is the subcommand that runs the log service, the instance list and the
// weight store.
type platform struct {
	listen  string
	parts   string
	log     faker.LogSettings
	renewal time.Duration
	lag     time.Duration
	store   faker.StoreSettings
}

func (*platform) Name() string { return "platform" }
func (*platform) Synopsis() string {
	return "run the log service, the instance list and the weight store"
}

func (*platform) Usage() string {
	return "platform [-listen IP:PORT] [flags]\n\n" +
		"Run once with all parts, or once for each with -parts.\n\n"
}

func (p *platform) SetFlags(f *flag.FlagSet) {
	f.StringVar(&p.listen, "listen", "127.0.0.1:7000", "address")
	f.StringVar(&p.parts, "parts", "log,list,store", "parts to run, with commas")
	f.IntVar(&p.log.Records, "log-records", 0, "records that a stream keeps; 0 for all")
	f.DurationVar(&p.log.Age, "log-age", time.Hour, "age at which records are dropped; 0 for never")
	f.Float64Var(&p.log.Rate, "log-rate", 400, "appends a second in all; 0 for no limit")
	f.DurationVar(&p.renewal, "list-renewal", 10*time.Second, "how long an instance stays listed without renewal; 0 for ever")
	f.DurationVar(&p.lag, "list-lag", 0, "how old the list is")
	f.Float64Var(&p.store.Rate, "store-rate", 3, "loads that may start a second; 0 for no limit")
	f.IntVar(&p.store.Slots, "store-slots", 3, "loads at full speed at once; 0 for no limit")
	f.Float64Var(&p.store.Speed, "store-speed", 20_000, "full speed of a load in MB a second; 0 for no limit")
	setFromEnvironment(f)
}

func (p *platform) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	all := faker.Platform{
		Log:   faker.NewLog(p.log),
		List:  faker.NewList(faker.ListSettings{Renewal: p.renewal}),
		Store: faker.NewStore(p.store),
	}
	all.List.SetFaults(faker.ListFaults{Lag: p.lag})
	s := &http.Server{Addr: p.listen, Handler: all.Only(p.parts).Handler(), ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := s.ListenAndServe(); err != nil && ctx.Err() == nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}
