package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

const (
	// failuresShown is how many failed requests are explained.
	failuresShown = 3
	// around is how long before a failure other lines are looked at, in
	// seconds: a heartbeat of a server, and an order.
	around = 3.0
	// aroundShown bounds those lines.
	aroundShown = 6
)

// event is a line that tells of a server or model and not of a request.
type event struct {
	line
	Server string `json:"server"`
	Key    string `json:"key"`
}

// failures explains some requests that failed, drawn at random, from the lines
// alone.
func (e *explain) failures() error {
	if e.log == "-" {
		return eris.New("failures are drawn from a file, which is read twice")
	}
	failed, events, err := e.survey()
	if err != nil {
		return err
	}
	if len(failed) == 0 {
		return eris.New("no line tells of a request that failed")
	}
	random := rand.New(rand.NewPCG(e.seed, e.seed))
	random.Shuffle(len(failed), func(i, j int) { failed[i], failed[j] = failed[j], failed[i] })
	_, _ = fmt.Fprintf(e.out, "%d lines on failures\n", len(failed))
	for _, l := range failed[:min(failuresShown, len(failed))] {
		_, _ = fmt.Fprintf(e.out, "\n%s: %s\n", l.Request, l.cause())
		if err := e.lines(l.Request); err != nil {
			return err
		}
		for _, x := range concerning(events, l) {
			_, _ = fmt.Fprint(e.out, "    before it: ")
			x.print(e.out)
		}
	}
	return nil
}

// survey reads the lines on failed requests, and those that tell of servers.
func (e *explain) survey() (failed []line, events []event, err error) {
	f, err := os.Open(e.log)
	if err != nil {
		return nil, nil, eris.Wrap(err, "open log")
	}
	defer func() { _ = f.Close() }()
	err = scan(f, func(text string) {
		switch {
		case strings.Contains(text, "relay: gave up"), strings.Contains(text, "relay: request is quarantined"),
			strings.Contains(text, "relay: too many"):
			var l line
			if l.decode(text) {
				failed = append(failed, l)
			}
		case strings.Contains(text, "registry: "), strings.Contains(text, "orders: "), strings.Contains(text, "server is silent"):
			var x event
			if json.Unmarshal([]byte(text), &x) == nil && x.decode(text) {
				events = append(events, x)
			}
		}
	})
	return failed, events, err
}

// scan calls use with the JSON of each log line. What stands before it, and
// lines without any, are passed over.
func scan(in io.Reader, use func(text string)) error {
	s := bufio.NewScanner(in)
	s.Buffer(nil, longestLine)
	for s.Scan() {
		if at := strings.IndexByte(s.Text(), '{'); at >= 0 {
			use(s.Text()[at:])
		}
	}
	return eris.Wrap(s.Err(), "read log")
}

// concerning returns the newest events before a failure that are about its
// model or a server that it was sent to.
func concerning(events []event, l line) []event {
	key, _ := l.rest["key"].(string)
	servers := map[string]bool{}
	for _, t := range l.Tries {
		servers[t.Server] = true
	}
	var found []event
	for _, x := range events {
		about := key != "" && x.Key == key || servers[x.Server]
		if about && x.At <= l.At && x.At > l.At-around {
			found = append(found, x)
		}
	}
	slices.SortStableFunc(found, func(a, b event) int { return int((a.At - b.At) * 1e6) })
	return found[max(len(found)-aroundShown, 0):]
}

// cause says in one sentence why a request failed.
func (l line) cause() string {
	text := func(name string) string { v, _ := l.rest[name].(string); return v }
	ran := "it did not run"
	if may, _ := l.rest["may_have_run"].(bool); may {
		ran = "it may have run"
	}
	last := "it was sent to no server"
	if n := len(l.Tries); n > 0 {
		last = fmt.Sprintf("attempt %d at %s: %s", n, l.Tries[n-1].Server, l.Tries[n-1].Outcome)
	}
	switch why := text("why"); {
	case strings.Contains(l.Message, "quarantined"):
		return "refused, since it was present when servers crashed"
	case strings.Contains(l.Message, "too many"):
		return "refused, since the instance had too many requests in work"
	case why == "no server":
		reason := map[string]string{
			"full": fmt.Sprintf("all %v servers that hold %s were busy (%v requests in flight, told %v ms ago) for longer than it could wait (%v s, allowed %v s)",
				l.rest["holders"], text("key"), l.rest["in_flight"], l.rest["others_age_ms"], l.rest["predicted_wait"], l.rest["longest_wait"]),
			"absent": "no server held " + text("key") + " in time",
			"spent":  "every server that could take it had been tried or took no connection",
			"empty":  "the service " + text("service") + " had no servers",
		}[text("status")]
		return fmt.Sprintf("refused, since %s; %s; %s", reason, last, ran)
	case why != "":
		return fmt.Sprintf("%s; %s; %s", why, last, ran)
	}
	return l.Message
}
