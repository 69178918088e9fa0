package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// maxLineBytes is the longest log line that can be read, in bytes.
const maxLineBytes = 1 << 20

// logLine holds the fields of an instance's log line that are printed.
type logLine struct {
	At       float64 `json:"ts"`
	Message  string  `json:"msg"`
	Instance string  `json:"instance"`
	Request  string  `json:"request"`
	Tries    []struct {
		Server        string `json:"server"`
		At            int64  `json:"at_ms"`
		Outcome       string `json:"outcome"`
		Replicas      int    `json:"holders"`
		InFlight      int    `json:"in_flight"`
		PrefillTokens int    `json:"reading_tokens"`
		PeersAge      int64  `json:"others_age_ms"`
		RegistryAge   int64  `json:"registration_age_ms"`
	} `json:"tries"`
	fields map[string]any
}

// separateFields are the fields that are left out of the list of name=value pairs:
// they are printed separately, or not at all.
var separateFields = []string{"ts", "msg", "instance", "request", "tries", "level"}

// printLogLines prints all log lines about a request in order of time.
func (e *explain) printLogLines(request string) error {
	in := io.Reader(os.Stdin)
	if e.log != "-" {
		f, err := os.Open(e.log)
		if err != nil {
			return eris.Wrap(err, "open log")
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	found, err := readLines(in, request)
	if err != nil {
		return err
	}
	if len(found) == 0 {
		return eris.Errorf("no line on request %s: it went well and was not sampled, or its lines were dropped", request)
	}
	for _, l := range found {
		l.print(e.out)
	}
	return nil
}

// readLines returns the log lines about a request, sorted by time.
func readLines(in io.Reader, request string) ([]logLine, error) {
	var found []logLine
	err := scanLines(in, func(text string) {
		var l logLine
		if strings.Contains(text, request) && l.decode(text) && l.Request == request {
			found = append(found, l)
		}
	})
	slices.SortStableFunc(found, func(a, b logLine) int { return int((a.At - b.At) * 1e6) })
	return found, err
}

// decode parses a line's JSON and reports whether it is valid.
func (l *logLine) decode(text string) bool {
	return json.Unmarshal([]byte(text), l) == nil && json.Unmarshal([]byte(text), &l.fields) == nil
}

func (l logLine) print(out io.Writer) {
	at := time.UnixMicro(int64(l.At * 1e6)).UTC().Format("15:04:05.000000")
	_, _ = fmt.Fprintf(out, "%s %s %s", at, l.Instance, l.Message)
	names := make([]string, 0, len(l.fields))
	for name := range l.fields {
		if !slices.Contains(separateFields, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		_, _ = fmt.Fprintf(out, " %s=%v", name, l.fields[name])
	}
	_, _ = fmt.Fprintln(out)
	if why := l.accountCause(); why != "" {
		_, _ = fmt.Fprintf(out, "    %s\n", why)
	}
	for i, t := range l.Tries {
		_, _ = fmt.Fprintf(out, "    attempt %d after %d ms at %s: %s\n", i+1, t.At, t.Server, t.Outcome)
		_, _ = fmt.Fprintf(out, "        chosen among %d holders; %d requests and %d prompt tokens in flight there (told %d ms ago, registration read %d ms ago)\n",
			t.Replicas, t.InFlight, t.PrefillTokens, t.PeersAge, t.RegistryAge)
	}
}
