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

	"primrosehook/allotter"
)

const (
	// failuresShown is the number of failed requests to explain.
	failuresShown = 3
	// eventWindowSeconds is how long before a failure an event may have happened to
	// be shown with it. It covers a server's heartbeat interval and an order.
	eventWindowSeconds = 3.0
	// maxEventsShown is the largest number of events shown with one failure.
	maxEventsShown = 6
)

// The lines on requests that are refused for their client account.
const (
	lineNoKey   = "relay: key is missing or unknown"
	lineOverCap = "relay: account is over its cap"
)

// serverEvent is a log line about a server or a model rather than a request.
type serverEvent struct {
	logLine
	Server string `json:"server"`
	Key    string `json:"key"`
}

// failures explains randomly selected failed requests from the log lines alone.
func (e *explain) failures() error {
	if e.log == "-" {
		return eris.New("failures are drawn from a file, which is read twice")
	}
	failed, events, err := e.readFailures()
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
		if err := e.printLogLines(l.Request); err != nil {
			return err
		}
		for _, x := range relatedEvents(events, l) {
			_, _ = fmt.Fprint(e.out, "    before it: ")
			x.print(e.out)
		}
	}
	return nil
}

// readFailures returns the log lines about failed requests, and those about servers
// and orders.
func (e *explain) readFailures() (failed []logLine, events []serverEvent, err error) {
	f, err := os.Open(e.log)
	if err != nil {
		return nil, nil, eris.Wrap(err, "open log")
	}
	defer func() { _ = f.Close() }()
	err = scanLines(f, func(text string) {
		switch {
		case strings.Contains(text, "relay: gave up"), strings.Contains(text, "relay: request is quarantined"),
			strings.Contains(text, "relay: too many"), strings.Contains(text, lineNoKey), strings.Contains(text, lineOverCap):
			var l logLine
			if l.decode(text) {
				failed = append(failed, l)
			}
		case strings.Contains(text, "registry: "), strings.Contains(text, "orders: "), strings.Contains(text, "server is silent"):
			var x serverEvent
			if json.Unmarshal([]byte(text), &x) == nil && x.decode(text) {
				events = append(events, x)
			}
		}
	})
	return failed, events, err
}

// scanLines calls use with the JSON object of each log line. It ignores text before
// the object, and lines without one.
func scanLines(in io.Reader, use func(text string)) error {
	s := bufio.NewScanner(in)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		if at := strings.IndexByte(s.Text(), '{'); at >= 0 {
			use(s.Text()[at:])
		}
	}
	return eris.Wrap(s.Err(), "read log")
}

// relatedEvents returns the newest events before a failure that concern the
// request's model or a server that the request was sent to, sorted by time.
func relatedEvents(events []serverEvent, l logLine) []serverEvent {
	key, _ := l.fields["key"].(string)
	servers := map[string]bool{}
	for _, t := range l.Tries {
		servers[t.Server] = true
	}
	var found []serverEvent
	for _, x := range events {
		about := key != "" && x.Key == key || servers[x.Server]
		if about && x.At <= l.At && x.At > l.At-eventWindowSeconds {
			found = append(found, x)
		}
	}
	slices.SortStableFunc(found, func(a, b serverEvent) int { return int((a.At - b.At) * 1e6) })
	return found[max(len(found)-maxEventsShown, 0):]
}

// accountCause returns why a request was refused for its client account, empty if it was not.
func (l logLine) accountCause() string {
	switch l.Message {
	case lineNoKey:
		what := "its key belongs to no account"
		if missing, _ := l.fields["missing"].(bool); missing {
			what = "it did not have exactly one key"
		}
		return fmt.Sprintf("refused with 401, since %s in version %v of the configuration, and route %v is not public; it did not run", what, l.fields["config"], l.fields["route"])
	case lineOverCap:
		return fmt.Sprintf("refused with 429, since %s in version %v of the configuration: the request counts %v, which the account would have again after %v s; it did not run",
			l.capCause(), l.fields["config"], l.fields["usage"], l.fields["wait"])
	}
	return ""
}

// capCause returns why the usage cap of an account refused a request.
func (l logLine) capCause() string {
	account := fmt.Sprintf("account %v", l.fields["account"])
	switch l.fields["cause"] {
	case allotter.CauseCapLowered.String():
		return account + " was over its cap, which was lowered a short time before,"
	case allotter.CauseNoEntitlement.String():
		return "a part of the cap of " + account + " was assigned to no instance"
	case allotter.CauseNoArbiter.String():
		return "no instance answered that grants from the cap of " + account
	case allotter.CauseLate.String():
		return "credit of " + account + " came too late"
	}
	return account + " was over its cap"
}

// cause returns one sentence about why a request failed.
func (l logLine) cause() string {
	text := func(name string) string { v, _ := l.fields[name].(string); return v }
	ran := "it did not run"
	if may, _ := l.fields["may_have_run"].(bool); may {
		ran = "it may have run"
	}
	last := "it was sent to no server"
	if n := len(l.Tries); n > 0 {
		last = fmt.Sprintf("attempt %d at %s: %s", n, l.Tries[n-1].Server, l.Tries[n-1].Outcome)
	}
	switch why := text("why"); {
	case l.accountCause() != "":
		return l.accountCause()
	case strings.Contains(l.Message, "quarantined"):
		return "refused, since it was present when servers crashed"
	case strings.Contains(l.Message, "too many"):
		return "refused, since the instance had too many requests in work"
	case why == "no server":
		reason := map[string]string{
			"full": fmt.Sprintf("all %v servers that hold %s were busy (%v requests in flight, told %v ms ago) for longer than it could wait (%v s, allowed %v s)",
				l.fields["holders"], text("key"), l.fields["in_flight"], l.fields["others_age_ms"], l.fields["predicted_wait"], l.fields["longest_wait"]),
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
