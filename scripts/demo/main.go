// Command demo starts simulated engines and services and three entry instances
// for each of the two example deployments, at their real sizes, and shows: a
// streamed answer, an answer from every model, a write that runs once although it
// is sent to three instances, a job whose result is fetched from another instance,
// and a new rule list that comes into force on all instances.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"primrosehook/launcher"
)

// deadline is the time limit of the whole demo.
const deadline = 5 * time.Minute

// deployment describes one of the two example deployments.
type deployment struct {
	title  string
	rules  string
	region string
	zones  []string
	// engines is the number of engines; servers is the number of service servers
	// that the heading prints (one is started in each zone).
	engines    int
	enginePool string
	servers    int
	service    string
	// storeRate is the weight store's limit in loads per second; storeSlots is the
	// number of concurrent loads that it serves at full speed.
	storeRate  string
	storeSlots string
	// chat and job are models of the rule list; write is a path of the service.
	// prompt, body and task are the contents of their requests.
	chat   string
	prompt string
	write  string
	body   string
	job    string
	task   string
}

func deployments() []deployment {
	return []deployment{
		{
			title: "Vertrekpunt", rules: "examples/vertrekpunt.yaml",
			region: "nl-west", zones: []string{"ams-a", "ams-b", "hlm-c"},
			engines: 20, enginePool: "survey", servers: 3, service: "kiosk",
			storeRate: "3", storeSlots: "3",
			chat: "summary-nl:franchise-001", prompt: "The shifts were announced too late, and nobody asked.",
			write: "/receipts", body: `{"branch":"041","form":"exit"}`,
			job: "digest-nl", task: "Themes of this week's exit surveys for HR",
		},
		{
			title: "Bunya", rules: "examples/bunya.yaml",
			region: "seq", zones: []string{"fortitude", "woolloongabba", "ipswich"},
			engines: 10, enginePool: "assistant", servers: 3, service: "booking",
			storeRate: "1", storeSlots: "2",
			chat: "assistant-en:house-01", prompt: "Which room is free tonight at eight, with a drum kit?",
			write: "/bookings", body: `{"room":"4","band":"Late Fader"}`,
			job: "roster-summary", task: "Summary of the roster for the committee",
		},
	}
}

func main() {
	logs := flag.String("logs", "", "file for the logs of all processes; if empty, logs are discarded")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	ctx, cancel := context.WithTimeout(ctx, deadline)
	err := demo(ctx, *logs)
	cancel()
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

func demo(ctx context.Context, logs string) error {
	fmt.Println("building")
	return launcher.WithPrograms(ctx, logs, func(programs launcher.Programs, output io.Writer) error {
		for _, d := range deployments() {
			if err := d.run(ctx, programs, output); err != nil {
				return fmt.Errorf("%s: %w", d.title, err)
			}
		}
		fmt.Println("\ndone")
		return nil
	})
}

func (d deployment) run(ctx context.Context, programs launcher.Programs, output io.Writer) error {
	c := launcher.New(programs, output)
	defer c.Stop()
	s := &show{deployment: d, cluster: c, clock: clockwork.NewRealClock()}
	if err := s.start(ctx); err != nil {
		return err
	}
	for _, step := range []func(context.Context) error{s.publishFirst, s.showStream, s.reachAllModels, s.showWriteOnce, s.showJob, s.publishSecond, s.checkMemory} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// show runs the demo of one deployment. version is the rule list version that it
// published last.
type show struct {
	deployment
	cluster  *launcher.Cluster
	clock    clockwork.Clock
	entries  []*launcher.Process
	engines  []string
	services []string
	version  int64
}

// start starts the simulated platform and, in each zone, one process for all of
// the zone's engines, one service server and one entry instance.
func (s *show) start(ctx context.Context) error {
	fmt.Printf("\n== %s: %d engines, %d servers of %s, %d entry instances, %d zones\n",
		s.title, s.deployment.engines, s.servers, s.service, len(s.zones), len(s.zones))
	if _, err := s.cluster.Platform(ctx, "-store-rate", s.storeRate, "-store-slots", s.storeSlots); err != nil {
		return err
	}
	for i, zone := range s.zones {
		place := []string{"-region", s.region, "-zone", zone}
		count := (s.deployment.engines + len(s.zones) - 1 - i) / len(s.zones)
		flags := append([]string{"-pool", s.enginePool, "-count", strconv.Itoa(count)}, place...)
		p, err := s.cluster.Engine(ctx, flags...)
		if err != nil {
			return err
		}
		for n := range count {
			s.engines = append(s.engines, p.Member(n))
		}
		p, err = s.cluster.Service(ctx, append([]string{"-pool", s.service}, place...)...)
		if err != nil {
			return err
		}
		s.services = append(s.services, p.URL())
		p, err = s.cluster.Entry(ctx, place...)
		if err != nil {
			return err
		}
		s.entries = append(s.entries, p)
	}
	return nil
}
