// Command standin runs test doubles of the systems that primrosehook depends on: the
// platform, engines and plain services. Each flag can also be set by an environment
// variable: STANDIN_ and its name in upper case, with _ in place of -.
package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/jonboulle/clockwork"

	"primrosehook/faker"
	"primrosehook/lister"
)

// Intervals and timeouts of a stand-in.
const (
	renewInterval     = time.Second
	readHeaderTimeout = 10 * time.Second
	// leavePeriod is how long a leaving stand-in stays on the instance list before it
	// closes its listener.
	leavePeriod = 5 * time.Second
	// drainTimeout limits the wait for requests in flight at a stop.
	drainTimeout = 60 * time.Second
)

// statusCrash is the exit status of a stand-in that crashes by an injected fault.
const statusCrash = 3

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(&platform{}, "")
	subcommands.Register(&engine{}, "")
	subcommands.Register(&service{}, "")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	status := subcommands.Execute(ctx)
	stop()
	os.Exit(int(status))
}

// setFromEnvironment sets flags from environment variables. The command line is
// parsed later and takes precedence.
func setFromEnvironment(f *flag.FlagSet) {
	f.VisitAll(func(one *flag.Flag) {
		name := "STANDIN_" + strings.ToUpper(strings.ReplaceAll(one.Name, "-", "_"))
		value, ok := os.LookupEnv(name)
		if !ok {
			return
		}
		if err := f.Set(one.Name, value); err != nil {
			fail(fmt.Errorf("%s=%q: %w", name, value, err))
			os.Exit(int(subcommands.ExitUsageError))
		}
	})
}

// fail prints an error and returns the exit status for a failure.
func fail(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "standin:", err)
	return subcommands.ExitFailure
}

// member is one engine or service that the process runs.
type member struct {
	addr    string
	handler http.Handler
	// instance returns the member's entry on the instance list.
	instance func() lister.Instance
	// leave makes the member refuse new work and show as leaving.
	leave func()
}

// address returns the base address "IP:port" with n added to its port.
func address(base string, n int) (string, error) {
	host, text, err := net.SplitHostPort(base)
	if err != nil {
		return "", err
	}
	port, err := strconv.Atoi(text)
	if err != nil {
		return "", err
	}
	return net.JoinHostPort(host, strconv.Itoa(port+n)), nil
}

// runMembers runs members until ctx is canceled, then stops them gracefully: they show
// as leaving and refuse new work, and close once their requests have finished or
// drainTimeout has passed.
func runMembers(ctx context.Context, listURL string, members []member) error {
	list := lister.NewClient(listURL, http.DefaultClient)
	clock := clockwork.NewRealClock()
	listed, unlist := context.WithCancel(context.Background())
	defer unlist()
	failed := make(chan error, len(members))
	servers := make([]*http.Server, 0, len(members))
	withdrawn := make([]chan struct{}, 0, len(members))
	for _, m := range members {
		// A member is listed before it accepts connections, so that every member that
		// can be reached is on the list.
		announcer := faker.NewAnnouncer(list, clock, renewInterval, m.instance)
		announcer.Announce(ctx)
		l, err := net.Listen("tcp", m.addr)
		if err != nil {
			return err
		}
		s := &runningMember{
			server:    &http.Server{Handler: m.handler, ReadHeaderTimeout: readHeaderTimeout},
			listener:  l,
			announcer: announcer,
			failed:    failed,
			withdrawn: make(chan struct{}),
		}
		servers = append(servers, s.server)
		withdrawn = append(withdrawn, s.withdrawn)
		go s.runServer()
		go s.runAnnouncer(listed)
	}
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	for _, m := range members {
		m.leave()
	}
	clock.Sleep(leavePeriod)
	drain, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	for _, s := range servers {
		_ = s.Shutdown(drain)
	}
	unlist()
	for _, w := range withdrawn {
		<-w
	}
	return nil
}

// runningMember is a member with its HTTP server and announcer. Its server reports
// its error on failed; withdrawn is closed when the announcer has returned.
type runningMember struct {
	server    *http.Server
	listener  net.Listener
	announcer *faker.Announcer
	failed    chan<- error
	withdrawn chan struct{}
}

func (s *runningMember) runServer() { s.failed <- s.server.Serve(s.listener) }

func (s *runningMember) runAnnouncer(ctx context.Context) {
	s.announcer.Run(ctx)
	close(s.withdrawn)
}
