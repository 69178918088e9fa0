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

// longestLine bounds a log line, in bytes.
const longestLine = 1 << 20

// line is one log line of an instance, as far as it is shown.
type line struct {
	At       float64 `json:"ts"`
	Message  string  `json:"msg"`
	Instance string  `json:"instance"`
	Request  string  `json:"request"`
	Tries    []struct {
		Server      string `json:"server"`
		At          int64  `json:"at_ms"`
		Outcome     string `json:"outcome"`
		Holders     int    `json:"holders"`
		InFlight    int    `json:"in_flight"`
		Reading     int    `json:"reading_tokens"`
		OthersAge   int64  `json:"others_age_ms"`
		RegistryAge int64  `json:"registration_age_ms"`
	} `json:"tries"`
	rest map[string]any
}

// shown are the fields that have a place of their own in the output.
var shown = []string{"ts", "msg", "instance", "request", "tries", "level"}

// lines prints what the log says of a request, in the order of time.
func (e *explain) lines(request string) error {
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

// readLines returns the lines on a request.
func readLines(in io.Reader, request string) ([]line, error) {
	var found []line
	err := scan(in, func(text string) {
		var l line
		if strings.Contains(text, request) && l.decode(text) && l.Request == request {
			found = append(found, l)
		}
	})
	slices.SortStableFunc(found, func(a, b line) int { return int((a.At - b.At) * 1e6) })
	return found, err
}

// decode takes a line's JSON. It reports whether it is one of an instance.
func (l *line) decode(text string) bool {
	return json.Unmarshal([]byte(text), l) == nil && json.Unmarshal([]byte(text), &l.rest) == nil
}

func (l line) print(out io.Writer) {
	at := time.UnixMicro(int64(l.At * 1e6)).UTC().Format("15:04:05.000000")
	_, _ = fmt.Fprintf(out, "%s %s %s", at, l.Instance, l.Message)
	names := make([]string, 0, len(l.rest))
	for name := range l.rest {
		if !slices.Contains(shown, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		_, _ = fmt.Fprintf(out, " %s=%v", name, l.rest[name])
	}
	_, _ = fmt.Fprintln(out)
	for i, t := range l.Tries {
		_, _ = fmt.Fprintf(out, "    attempt %d after %d ms at %s: %s\n", i+1, t.At, t.Server, t.Outcome)
		_, _ = fmt.Fprintf(out, "        chosen among %d holders; %d requests and %d prompt tokens in flight there (told %d ms ago, registration read %d ms ago)\n",
			t.Holders, t.InFlight, t.Reading, t.OthersAge, t.RegistryAge)
	}
}
